//! Microbenchmarks of a routing decision, the computation of a table, and a tick of an
//! idle node.

use divan::Bencher;
use ragwortlb::{
    node::{Event, Node, Settings},
    route::{
        flow,
        router::Router,
        table::{Table, WeightedTarget},
    },
    time::Time,
};

const FLOWS: [u64; 3] = [1_000, 100_000, 1_000_000];
const IDLE_S: u64 = 3_600;

fn main() {
    divan::main();
}

fn members(count: usize) -> Vec<WeightedTarget> {
    (0..count)
        .map(|i| WeightedTarget::new(format!("m{i}@10.2.{}.{}:9000", i / 250, i % 250 + 1), 1))
        .collect()
}

fn key(number: u64) -> u64 {
    flow::key_hash(&number.to_le_bytes())
}

fn router(flows: u64) -> Router {
    let mut router = Router::new(2_000_000, IDLE_S);
    router.reset(&members(14));
    for number in 0..flows {
        router.decide_first(key(number), Time(0));
    }
    router
}

/// Decides for later packets of tracked flows.
fn decide(bencher: Bencher<'_, '_>, mut router: Router, flows: u64) {
    let mut number = 0;
    bencher.bench_local(|| {
        number = (number + 7_919) % flows;
        router.decide_later(divan::black_box(key(number)), Time(1))
    });
}

#[divan::bench(args = FLOWS)]
fn settled(bencher: Bencher<'_, '_>, flows: u64) {
    decide(bencher, router(flows), flows);
}

#[divan::bench(args = FLOWS)]
fn unsettled(bencher: Bencher<'_, '_>, flows: u64) {
    let mut router = router(flows);
    router.announce(&members(13));
    decide(bencher, router, flows);
}

#[divan::bench(args = FLOWS)]
fn exception(bencher: Bencher<'_, '_>, flows: u64) {
    let mut router = router(flows);
    router.announce(&members(13));
    router.take_effect();
    for number in 0..flows {
        router.store_exception(key(number + flows), 0, Time(0));
    }
    let mut number = 0;
    bencher.bench_local(|| {
        number = (number + 7_919) % flows;
        router.stored_target(divan::black_box(key(number + flows)))
    });
}

/// Decides for flows that are not tracked, from tables and filters.
#[divan::bench]
fn computed(bencher: Bencher<'_, '_>) {
    let mut router = Router::new(1, IDLE_S);
    router.reset(&members(14));
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        router.decide_later(divan::black_box(key(number)), Time(1))
    });
}

#[divan::bench(args = [14, 1_080])]
fn table(bencher: Bencher<'_, '_>, targets: usize) {
    let members = members(targets);
    bencher.bench_local(|| Table::new(divan::black_box(&members)));
}

#[divan::bench]
fn tick(bencher: Bencher<'_, '_>) {
    let mut node = Node::new(Settings::default());
    let mut now = 0;
    bencher.bench_local(|| {
        now += 5;
        node.handle(Event::Tick, Time(now))
    });
}
