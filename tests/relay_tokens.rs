//! Packets of open flows go to the target that their token names, and to no other.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, Token, WeightedService,
        catalog::{Record, State},
        forwarder::{Deferral, DropReason, Forwarder, Refusal, Settings, Verdict},
    },
    time::Time,
};

const BOOKING: u16 = 443;
const DOCUMENTS: u16 = 8080;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn route(port: u16, service: &str) -> Route {
    Route {
        address: address(port),
        shares: vec![WeightedService { service: service.into(), weight: 1 }],
        class: Class { priority: 1, objective_ms: 300, timeout_ms: 2_000, ..Class::default() },
    }
}

fn plan(version: u64, routes: Vec<Route>) -> Plan {
    Plan { version, routes, idle_ms: 15_000, ..Plan::default() }
}

fn record(name: &str, service: &str, host: u8, revision: u64) -> Record {
    let entry = Entry {
        name: name.into(),
        number: u64::from(host),
        born_ms: revision,
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, host), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 0,
        heartbeat: 1,
    };
    Record { entry, state: State::Ready, revision: revision.into() }
}

fn packet(port: u16, kind: Kind, token: Token) -> Packet {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001);
    Packet { client, address: address(port), kind, token }
}

fn forwarder() -> Forwarder {
    let mut forwarder = Forwarder::new(Settings::default());
    forwarder.adopt(plan(1, vec![route(BOOKING, "booking"), route(DOCUMENTS, "documents")]));
    forwarder.apply(record("b-1", "booking", 1, 1), Time(0));
    forwarder.apply(record("d-2", "documents", 2, 2), Time(0));
    forwarder.advance(2.into(), Time(0));
    forwarder
}

const DATA: Kind = Kind::Data { request: true, acked: 0 };

#[test]
fn known_token() {
    let mut forwarder = forwarder();
    let Verdict::Forward(destination) = forwarder.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1")))
    else {
        panic!("a known token is forwarded");
    };
    assert_eq!(destination.number, 1);
}

#[test]
fn wrong_service_token() {
    let verdict = forwarder().receive(Time(1), &packet(BOOKING, DATA, Token::of("d-2")));
    assert_eq!(verdict, Verdict::Drop(DropReason::WrongService));
}

#[test]
fn gone_target() {
    let mut forwarder = forwarder();
    let gone = Record { state: State::Gone, revision: 3.into(), ..record("b-1", "booking", 1, 1) };
    forwarder.apply(gone, Time(10));
    // Another target has its address now and refuses the old number.
    forwarder.apply(record("d-9", "documents", 1, 4), Time(20));
    let data = packet(BOOKING, DATA, Token::of("b-1"));
    let Verdict::Forward(destination) = forwarder.receive(Time(30), &data) else {
        panic!("an open flow of a gone target is forwarded");
    };
    assert_eq!(destination.number, 1);
    let open = forwarder.receive(Time(31), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert_eq!(open, Verdict::Defer(Deferral::Targets));
    forwarder.tick(Time(100_000));
    assert_eq!(forwarder.receive(Time(100_001), &data), Verdict::Defer(Deferral::Token));
}

#[test]
fn removed_route() {
    let mut forwarder = forwarder();
    forwarder.adopt(plan(2, vec![route(DOCUMENTS, "documents")]));
    let open = forwarder.receive(Time(1), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert_eq!(open, Verdict::Refuse(Refusal::RouteRemoved));
    let data = forwarder.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1")));
    assert_eq!(data, Verdict::Drop(DropReason::RouteRemoved));
    assert!(!forwarder.adopt(plan(1, vec![route(BOOKING, "booking")])), "an older plan is ignored");
}

#[test]
fn reassigned_route() {
    let mut forwarder = forwarder();
    forwarder.adopt(plan(2, vec![route(BOOKING, "documents")]));
    let data = forwarder.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1")));
    assert!(matches!(data, Verdict::Forward(_)), "open flows stay with their former service");
    let open = forwarder.receive(Time(1), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert!(matches!(open, Verdict::Forward(destination) if destination.number == 2), "{open:?}");
}

#[test]
fn early_retransmission() {
    let mut forwarder = forwarder();
    forwarder.apply(record("b-3", "booking", 3, 3), Time(0));
    let open = |copy| packet(BOOKING, Kind::Open { copy }, Token::NONE);
    let first = forwarder.receive(Time(1_000), &open(0));
    // Both packets were delayed. A second target would answer as well.
    assert_eq!(forwarder.receive(Time(1_010), &open(1)), first);
    let Verdict::Forward(later) = forwarder.receive(Time(1_200), &open(2)) else {
        panic!("a retransmission is forwarded");
    };
    let Verdict::Forward(first) = first else {
        panic!("an opening packet is forwarded");
    };
    assert_ne!(later.target, first.target, "a target that did not answer is avoided");
}

#[test]
fn open_flow_retransmission() {
    let mut forwarder = forwarder();
    forwarder.apply(record("b-3", "booking", 3, 3), Time(0));
    let open = |copy| packet(BOOKING, Kind::Open { copy }, Token::NONE);
    let Verdict::Forward(first) = forwarder.receive(Time(1_000), &open(0)) else {
        panic!("an opening packet is forwarded");
    };
    forwarder.receive(Time(1_010), &packet(BOOKING, DATA, first.token));
    let Verdict::Forward(copy) = forwarder.receive(Time(1_300), &open(1)) else {
        panic!("a retransmission is forwarded");
    };
    assert_eq!(copy.target, first.target);
}

#[test]
fn after_pause() {
    let mut forwarder = forwarder();
    forwarder.tick(Time(1_000));
    let open = packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE);
    assert_eq!(forwarder.receive(Time(5_000), &open), Verdict::Defer(Deferral::Pause));
    let data = packet(BOOKING, DATA, Token::of("b-1"));
    assert!(matches!(forwarder.receive(Time(5_000), &data), Verdict::Forward(_)));
    forwarder.confirm_after_pause();
    assert!(matches!(forwarder.receive(Time(5_010), &open), Verdict::Forward(_)));
}

proptest! {
    #[test]
    fn random_tokens(token: u32, port in prop::sample::select(vec![BOOKING, DOCUMENTS, 9]), kind in 0usize..4) {
        let kind = [Kind::Open { copy: token % 5 }, DATA, Kind::Close, Kind::Abort][kind];
        let verdict = forwarder().receive(Time(1), &packet(port, kind, Token(token)));
        if let Verdict::Forward(destination) = verdict {
            let number = if port == BOOKING { 1 } else { 2 };
            prop_assert_eq!(destination.number, number);
            prop_assert_ne!(port, 9);
        }
    }
}
