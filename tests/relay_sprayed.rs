//! Placement behind a fabric that sends each packet of a flow to another instance.

#[path = "support/relay.rs"]
#[allow(dead_code)]
mod relay;

use std::net::{Ipv4Addr, SocketAddrV4};

use ragwortlb::{
    relay::{
        Kind, Packet, Token,
        forwarder::{Forwarder, Verdict},
    },
    time::Time,
};
use relay::{address, forwarder, instance, lasting_loads, plan};

const REQUESTS: u16 = 200;
const REQUESTS_PER_MS: u64 = 2;

/// Least requests of each of two targets: half of an even share.
const MIN_REQUESTS: u32 = 50;

fn exchange_reports(forwarders: &mut [Forwarder; 2], now: Time) {
    for (from, to) in [(0, 1), (1, 0)] {
        let report = forwarders[from].report(now);
        let (name, zone, source) = instance(from);
        forwarders[to].peers_mut().record_peer(&name, &zone, source, now);
        forwarders[to].record_peer(&name, &report, now);
    }
}

/// Sends requests one after the other: the first and the last packet of each flow to one
/// instance, the others to the other one. Returns the requests by target.
fn spread(seed: u64) -> [u32; 2] {
    let loads = lasting_loads(1.0);
    let (load, plan) = (&loads[1], plan(&loads));
    let mut forwarders = [0, 1].map(|index| forwarder(index, seed, &plan, 2, 3));
    let mut placed = [0; 2];
    for request in 0..REQUESTS {
        let passed_ms = u64::from(request) / REQUESTS_PER_MS;
        let now = Time(1_000 + passed_ms);
        let is_first_of_ms = u64::from(request).is_multiple_of(REQUESTS_PER_MS);
        if is_first_of_ms && passed_ms.is_multiple_of(10) {
            forwarders.iter_mut().for_each(|forwarder| forwarder.tick(now));
        }
        if is_first_of_ms && passed_ms.is_multiple_of(20) {
            exchange_reports(&mut forwarders, now);
        }
        let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + request);
        let packet = |kind, token| Packet { client, address: address(load.port), kind, token };
        let Verdict::Forward(destination) =
            forwarders[0].receive(now, &packet(Kind::Open { copy: 0 }, Token::NONE))
        else {
            panic!("seed {seed}: request {request} was not placed while slots were free");
        };
        placed[destination.target] += 1;
        forwarders[1].receive(now, &packet(Kind::Data { request: true, acked: 1 }, destination.token));
        forwarders[0].receive(now, &packet(Kind::Close, destination.token));
    }
    placed
}

#[test]
fn even_targets() {
    for seed in 1..=20 {
        let placed = spread(seed);
        println!("seed {seed}: {placed:?}");
        assert!(placed.iter().all(|requests| *requests >= MIN_REQUESTS), "seed {seed}: {placed:?}");
    }
}
