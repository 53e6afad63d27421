//! The settled packet path beside a bare copy of the same datagrams.
//!
//! `cargo bench --bench relay`

use std::net::{Ipv4Addr, SocketAddrV4};

use divan::{Bencher, black_box};
use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, Share, Token,
        catalog::{Row, State},
        path::{Path, Settings, Verdict},
    },
    time::Time,
};

fn main() {
    divan::main();
}

/// Data behind a packet's head and the number in front of it, in bytes.
const DATAGRAM: usize = 8 + 36 + 900;

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, host), 443)
}

fn path(targets: usize) -> Path {
    let mut path = Path::new(Settings::default());
    let class = Class { priority: 1, objective_ms: 300, timeout_ms: 2_000 };
    let shares = vec![Share { service: "booking".into(), weight: 1 }];
    path.adopt(Plan {
        version: 1,
        routes: vec![Route { address: address(1), shares, class }],
        idle_ms: 15_000,
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
            beat: 1,
        };
        path.apply(Row { entry, state: State::Ready, revision: 1 }, Time(0));
    }
    path.advance(1, Time(0));
    path
}

#[divan::bench]
fn bare_copy(bencher: Bencher) {
    let datagram = vec![7u8; DATAGRAM];
    let mut out = Vec::with_capacity(DATAGRAM);
    bencher.bench_local(|| {
        out.clear();
        out.extend_from_slice(black_box(&datagram));
    });
}

#[divan::bench(args = [18, 150, 1_000])]
fn settled_packet(bencher: Bencher, targets: usize) {
    let mut path = path(targets);
    let packet = Packet {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001),
        address: address(1),
        kind: Kind::Data { request: false },
        token: Token::of("i-00000007"),
    };
    bencher.bench_local(|| {
        let verdict = path.receive(Time(1), black_box(&packet));
        assert!(matches!(verdict, Verdict::Forward(_)));
    });
}

#[divan::bench(args = [18, 150, 1_000])]
fn opening_packet(bencher: Bencher, targets: usize) {
    let mut path = path(targets);
    let mut port = 0u16;
    bencher.bench_local(|| {
        port = port.wrapping_add(1);
        let packet = Packet {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
            address: address(1),
            kind: Kind::Open { copy: 0 },
            token: Token::NONE,
        };
        path.receive(Time(1), black_box(&packet))
    });
}
