//! Flows stay on their targets while targets and instances change.

mod support;

use std::collections::BTreeSet;

use proptest::prelude::*;
use rand::RngExt;
use support::{Net, folder};

/// Flows that live at once.
const FLOWS: usize = 600;

/// Time between steps, in milliseconds.
const STEP_MS: u64 = 50;

/// Sends packets for a while: each flow one every two seconds, a tenth ends.
fn traffic(net: &mut Net, millis: u64) {
    const PER_STEP: usize = FLOWS / 40;
    let mut passed = 0;
    while passed < millis {
        for _ in 0..PER_STEP / 10 + 1 {
            if let Some(oldest) = net.flows.keys().next().copied().filter(|_| net.flows.len() > FLOWS) {
                net.flows.remove(&oldest);
            }
            net.open(None);
        }
        let keys: Vec<u64> = net.flows.keys().copied().collect();
        for _ in 0..PER_STEP {
            let flow = keys[net.rng.random_range(0..keys.len())];
            net.follow(flow, None);
        }
        net.pass(STEP_MS);
        passed += STEP_MS;
    }
}

/// One joint change: a target leaves or comes back, an instance is replaced.
fn joint_change(net: &mut Net, targets: &mut BTreeSet<usize>, leaving: &mut BTreeSet<usize>) {
    let number = net.rng.random_range(0..16);
    if leaving.contains(&number) {
        leaving.remove(&number);
    } else if targets.contains(&number) {
        if targets.len() - leaving.len() > 8 {
            leaving.insert(number);
        }
    } else {
        targets.insert(number);
    }
    net.accept(&folder(targets, leaving));
    net.note_leaving(leaving);
    let live = net.fabric(None);
    let gone = live[net.rng.random_range(0..live.len())];
    let zone = net.instances[gone].zone;
    net.start(zone);
    net.drain(gone);
}

fn start(seed: u64) -> (Net, BTreeSet<usize>) {
    let mut net = Net::new(seed);
    let targets: BTreeSet<usize> = (0..14).collect();
    net.start_all(3, 3, &folder(&targets, &BTreeSet::new()));
    traffic(&mut net, 4_000);
    (net, targets)
}

fn assert_whole(net: &Net) {
    assert_eq!(net.tally.broken, 0, "{:?}\n{}", net.tally, net.explain.join("\n"));
    assert_eq!(net.tally.misdelivered, 0);
    assert_eq!(net.tally.to_leaving, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn planned_changes(seed in any::<u64>()) {
        let (mut net, mut targets) = start(seed);
        let mut leaving = BTreeSet::new();
        for _ in 0..10 {
            joint_change(&mut net, &mut targets, &mut leaving);
            let pause = net.rng.random_range(2_000..8_000);
            traffic(&mut net, pause);
        }
        traffic(&mut net, 5_000);
        assert_whole(&net);
    }

    #[test]
    fn kill_outside_change(seed in any::<u64>()) {
        let (mut net, _) = start(seed);
        let index = net.rng.random_range(0..9);
        net.kill(index);
        traffic(&mut net, 10_000);
        assert_whole(&net);
    }
}
#[test]
fn debug_planned() {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(169883834726125);
    let (mut net, mut targets) = start(seed);
    let mut leaving = BTreeSet::new();
    for i in 0..10 {
        println!("== change {i} at {}", net.now);
        joint_change(&mut net, &mut targets, &mut leaving);
        let pause = net.rng.random_range(2_000..8_000);
        traffic(&mut net, pause);
    }
    traffic(&mut net, 5_000);
    println!("{:?}", net.tally);
    for e in net.explain.iter().take(12) {
        println!("{e}");
    }
    let first: u64 = net.explain.first().map(|e| e.split(' ').nth(1).unwrap().parse().unwrap()).unwrap_or(0);
    for (at, i, n) in &net.notices {
        println!("{at} i{i} {n}");
    }
}

fn seed() -> u64 { std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1) }

fn report(net: &Net) {
    println!("{:?}", net.tally);
    for e in net.explain.iter().take(12) { println!("{e}"); }
    for (at, i, n) in &net.notices { println!("{at} i{i} {n}"); }
}

#[test]
fn debug_kill() {
    let (mut net, mut targets) = start(seed());
    let mut leaving = BTreeSet::new();
    for _ in 0..5 {
        joint_change(&mut net, &mut targets, &mut leaving);
        let pause = net.rng.random_range(0..1_500);
        traffic(&mut net, pause);
        let live = net.fabric(None);
        let index = live[net.rng.random_range(0..live.len())];
        let zone = net.instances[index].zone;
        net.kill(index);
        net.notices.push((net.now, index, "KILLED".into()));
        net.start(zone);
        let pause = net.rng.random_range(3_000..40_000);
        traffic(&mut net, pause);
    }
    traffic(&mut net, 5_000);
    report(&net);
}

#[test]
fn debug_zone() {
    let (mut net, mut targets) = start(seed());
    let mut leaving = BTreeSet::new();
    net.cut_zone(2);
    net.notices.push((net.now, 99, "CUT".into()));
    for _ in 0..2 {
        joint_change_targets(&mut net, &mut targets, &mut leaving);
        zone_traffic(&mut net, 10_000);
    }
    net.heal();
    net.notices.push((net.now, 99, "HEALED".into()));
    traffic(&mut net, 20_000);
    report(&net);
}

fn joint_change_targets(net: &mut Net, targets: &mut BTreeSet<usize>, leaving: &mut BTreeSet<usize>) {
    let number = net.rng.random_range(0..14);
    if !leaving.remove(&number) { leaving.insert(number); }
    net.accept_in(&folder(targets, leaving), &[0, 1]);
}

fn zone_traffic(net: &mut Net, millis: u64) {
    let mut passed = 0;
    while passed < millis {
        let zone = net.rng.random_range(0..3);
        if let Some(flow) = net.open(Some(zone)) { net.homes.insert(flow, zone); }
        let keys: Vec<u64> = net.flows.keys().copied().collect();
        for _ in 0..20 {
            let flow = keys[net.rng.random_range(0..keys.len())];
            let n = net.rng.random_range(0..3);
            let zone = *net.homes.entry(flow).or_insert(n);
            net.follow(flow, Some(zone));
        }
        net.pass(50);
        passed += 50;
    }
}

#[test]
fn debug_freeze() {
    let (mut net, mut targets) = start(seed());
    let mut leaving = BTreeSet::new();
    for _ in 0..4 {
        let live = net.fabric(None);
        let index = live[net.rng.random_range(0..live.len())];
        net.freeze(index, true);
        net.notices.push((net.now, index, "FROZEN".into()));
        joint_change(&mut net, &mut targets, &mut leaving);
        let pause = net.rng.random_range(500..8_000);
        traffic(&mut net, pause);
        net.freeze(index, false);
        net.notices.push((net.now, index, "THAWED".into()));
        traffic(&mut net, 3_000);
    }
    traffic(&mut net, 5_000);
    report(&net);
}
