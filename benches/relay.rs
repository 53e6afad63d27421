//! Cost of forwarding a packet and of placing a flow, compared with a plain copy of the
//! datagram.
//!
//! `cargo bench --bench relay`

use std::net::{Ipv4Addr, SocketAddrV4};

use divan::{Bencher, black_box};
use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, Token, WeightedService,
        catalog::{Record, State},
        forwarder::{Forwarder, Settings, Verdict},
    },
    time::Time,
};

fn main() {
    divan::main();
}

/// Datagram to a target: number of the target, packet header and data, in bytes.
const DATAGRAM_BYTES: usize = 8 + 36 + 900;

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, host), 443)
}

fn forwarder(targets: usize) -> Forwarder {
    let mut forwarder = Forwarder::new(Settings::default());
    let class = Class { priority: 1, objective_ms: 300, timeout_ms: 2_000, ..Class::default() };
    let shares = vec![WeightedService { service: "booking".into(), weight: 1 }];
    forwarder.adopt(Plan {
        version: 1,
        routes: vec![Route { address: address(1), shares, class }],
        idle_ms: 15_000,
        ..Plan::default()
    });
    for index in 0..targets {
        let entry = Entry {
            name: format!("i-{index:08x}").into(),
            number: index as u64,
            born_ms: 1,
            service: "booking".into(),
            address: address(2),
            zone: "pa".into(),
            slots: 3,
            leaving: false,
            warm_up_ms: 0,
            heartbeat: 1,
        };
        forwarder.apply(Record { entry, state: State::Ready, revision: 1.into() }, Time(0));
    }
    forwarder.advance(1.into(), Time(0));
    forwarder
}

#[divan::bench]
fn bare_copy(bencher: Bencher) {
    let datagram = vec![7u8; DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(DATAGRAM_BYTES);
    bencher.bench_local(|| {
        out.clear();
        out.extend_from_slice(black_box(&datagram));
    });
}

#[divan::bench(args = [18, 150, 1_000])]
fn settled_packet(bencher: Bencher, targets: usize) {
    let mut forwarder = forwarder(targets);
    let packet = Packet {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001),
        address: address(1),
        kind: Kind::Data { request: false, acked: 0 },
        token: Token::of("i-00000007"),
    };
    bencher.bench_local(|| {
        let verdict = forwarder.receive(Time(1), black_box(&packet));
        assert!(matches!(verdict, Verdict::Forward(_)));
    });
}

#[divan::bench(args = [18, 150, 1_000])]
fn opening_packet(bencher: Bencher, targets: usize) {
    let mut forwarder = forwarder(targets);
    let mut port = 0u16;
    bencher.bench_local(|| {
        port = port.wrapping_add(1);
        let packet = Packet {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
            address: address(1),
            kind: Kind::Open { copy: 0 },
            token: Token::NONE,
        };
        forwarder.receive(Time(1), black_box(&packet))
    });
}

/// Forwarder of one instance of a fleet with two targets an instance, that has just heard from
/// all peers.
fn fleet_member(instances: usize) -> Forwarder {
    let mut forwarder = forwarder(2 * instances);
    for index in 1..instances {
        let from = SocketAddrV4::new(Ipv4Addr::new(10, 1, (index >> 8) as u8, index as u8), 7_720);
        let (name, zone) = (format!("edge-{index}").into(), format!("zone-{}", index % 5).into());
        forwarder.peers_mut().record_peer(&name, &zone, from, Time(1));
    }
    forwarder.tick(Time(1));
    forwarder
}

const FLEET_SIZES: [usize; 6] = [10, 30, 75, 150, 300, 580];

#[divan::bench(args = FLEET_SIZES)]
fn tick(bencher: Bencher, instances: usize) {
    let mut forwarder = fleet_member(instances);
    let mut now = 0;
    bencher.bench_local(|| {
        // Ten milliseconds a tick; the time starts again before peers time out.
        now = (now + 10) % 400;
        forwarder.tick(Time(3_000 + now));
    });
}

#[divan::bench(args = FLEET_SIZES)]
fn report_round(bencher: Bencher, instances: usize) {
    let mut forwarder = fleet_member(instances);
    let mut round = 0;
    bencher.bench_local(|| {
        round += 1;
        let report = forwarder.report(Time(3_000));
        (report.loads.len(), forwarder.peers().report_recipients(round, true, Time(3_000)).count())
    });
}

#[divan::bench(args = FLEET_SIZES)]
fn role_checks(bencher: Bencher, instances: usize) {
    let forwarder = fleet_member(instances);
    let plan = forwarder.catalog().plan().id();
    bencher.bench_local(|| {
        let now = Time(3_000);
        (forwarder.takeover_delay_ms(now), forwarder.peers().has_later_plan(plan, now))
    });
}
