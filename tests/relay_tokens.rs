//! Packets of open flows go where their token says, and nowhere else.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, Share, Token,
        catalog::{Row, State},
        path::{Loss, Path, Refusal, Settings, Unknown, Verdict},
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
        shares: vec![Share { service: service.into(), weight: 1 }],
        class: Class { priority: 1, objective_ms: 300, timeout_ms: 2_000 },
    }
}

fn plan(version: u64, routes: Vec<Route>) -> Plan {
    Plan { version, routes, idle_ms: 15_000 }
}

fn row(name: &str, service: &str, host: u8, revision: u64) -> Row {
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
        beat: 1,
    };
    Row { entry, state: State::Ready, revision }
}

fn packet(port: u16, kind: Kind, token: Token) -> Packet {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001);
    Packet { client, address: address(port), kind, token }
}

fn path() -> Path {
    let mut path = Path::new(Settings::default());
    path.adopt(plan(1, vec![route(BOOKING, "booking"), route(DOCUMENTS, "documents")]));
    path.apply(row("b-1", "booking", 1, 1), Time(0));
    path.apply(row("d-2", "documents", 2, 2), Time(0));
    path.advance(2, Time(0));
    path
}

const DATA: Kind = Kind::Data { request: true };

#[test]
fn known_token() {
    let mut path = path();
    let Verdict::Forward(way) = path.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1"))) else {
        panic!("a known token is forwarded");
    };
    assert_eq!(way.number, 1);
}

#[test]
fn foreign_token() {
    let verdict = path().receive(Time(1), &packet(BOOKING, DATA, Token::of("d-2")));
    assert_eq!(verdict, Verdict::Drop(Loss::Foreign));
}

#[test]
fn gone_target() {
    let mut path = path();
    let gone = Row { state: State::Gone, revision: 3, ..row("b-1", "booking", 1, 1) };
    path.apply(gone, Time(10));
    // Its address has another target now, which refuses its number.
    path.apply(row("d-9", "documents", 1, 4), Time(20));
    let data = packet(BOOKING, DATA, Token::of("b-1"));
    let Verdict::Forward(way) = path.receive(Time(30), &data) else {
        panic!("an open flow of a target that has gone is forwarded");
    };
    assert_eq!(way.number, 1);
    let open = path.receive(Time(31), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert_eq!(open, Verdict::Wait(Unknown::Targets));
    path.tick(Time(100_000));
    assert_eq!(path.receive(Time(100_001), &data), Verdict::Wait(Unknown::Token));
}

#[test]
fn dropped_route() {
    let mut path = path();
    path.adopt(plan(2, vec![route(DOCUMENTS, "documents")]));
    let open = path.receive(Time(1), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert_eq!(open, Verdict::Refuse(Refusal::Dropped));
    let data = path.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1")));
    assert_eq!(data, Verdict::Drop(Loss::Dropped));
    assert!(!path.adopt(plan(1, vec![route(BOOKING, "booking")])), "an older plan changes nothing");
}

#[test]
fn moved_route() {
    let mut path = path();
    path.adopt(plan(2, vec![route(BOOKING, "documents")]));
    let data = path.receive(Time(1), &packet(BOOKING, DATA, Token::of("b-1")));
    assert!(matches!(data, Verdict::Forward(_)), "open flows stay with their former service");
    let open = path.receive(Time(1), &packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE));
    assert!(matches!(open, Verdict::Forward(way) if way.number == 2), "{open:?}");
}

#[test]
fn early_copy() {
    let mut path = path();
    path.apply(row("b-3", "booking", 3, 3), Time(0));
    let open = |copy| packet(BOOKING, Kind::Open { copy }, Token::NONE);
    let first = path.receive(Time(1_000), &open(0));
    // Read late together with the first one: a second target would answer too.
    assert_eq!(path.receive(Time(1_010), &open(1)), first);
    let Verdict::Forward(later) = path.receive(Time(1_200), &open(2)) else {
        panic!("a copy is forwarded");
    };
    let Verdict::Forward(first) = first else {
        panic!("an opening packet is forwarded");
    };
    assert_ne!(later.target, first.target, "a target that did not answer is avoided");
}

#[test]
fn copy_of_open_flow() {
    let mut path = path();
    path.apply(row("b-3", "booking", 3, 3), Time(0));
    let open = |copy| packet(BOOKING, Kind::Open { copy }, Token::NONE);
    let Verdict::Forward(first) = path.receive(Time(1_000), &open(0)) else {
        panic!("an opening packet is forwarded");
    };
    path.receive(Time(1_010), &packet(BOOKING, DATA, first.token));
    let Verdict::Forward(copy) = path.receive(Time(1_300), &open(1)) else {
        panic!("a copy is forwarded");
    };
    assert_eq!(copy.target, first.target);
}

#[test]
fn after_pause() {
    let mut path = path();
    path.tick(Time(1_000));
    let open = packet(BOOKING, Kind::Open { copy: 0 }, Token::NONE);
    assert_eq!(path.receive(Time(5_000), &open), Verdict::Wait(Unknown::Pause));
    let data = packet(BOOKING, DATA, Token::of("b-1"));
    assert!(matches!(path.receive(Time(5_000), &data), Verdict::Forward(_)));
    path.confirm();
    assert!(matches!(path.receive(Time(5_010), &open), Verdict::Forward(_)));
}

proptest! {
    #[test]
    fn invented_tokens(token: u32, port in prop::sample::select(vec![BOOKING, DOCUMENTS, 9]), kind in 0usize..4) {
        let kind = [Kind::Open { copy: token % 5 }, DATA, Kind::Close, Kind::Abort][kind];
        let verdict = path().receive(Time(1), &packet(port, kind, Token(token)));
        if let Verdict::Forward(way) = verdict {
            let number = if port == BOOKING { 1 } else { 2 };
            prop_assert_eq!(way.number, number);
            prop_assert_ne!(port, 9);
        }
    }
}
