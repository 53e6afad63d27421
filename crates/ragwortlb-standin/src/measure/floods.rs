//! Measurements of requests during floods and failures of instances. A flood is an
//! overload of [`FLOOD_FACTOR`] times the capacity of the slots.

use std::{sync::atomic::Ordering::Relaxed, time::Duration};

use ragwortlb::Error;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Bench;
use crate::{
    customers::{Group, Workload},
    site::{LOW_TARGETS, SLOTS, URGENT_TARGETS},
};

/// Time over which goodput is measured.
const MEASURED_TIME: Duration = Duration::from_secs(15);

/// Mean service time of a request in a flood, in milliseconds.
const COST_MS: u64 = 100;

/// Ratio of the request rate of a flood to the capacity of the slots.
const FLOOD_FACTOR: u64 = 10;

/// Goodput of a group, in answered requests per second.
async fn goodput(group: &Group) -> f64 {
    let before = group.counts().done.load(Relaxed);
    tokio::time::sleep(MEASURED_TIME).await;
    (group.counts().done.load(Relaxed) - before) as f64 / MEASURED_TIME.as_secs_f64()
}

/// Capacity of a number of targets, in requests per second.
fn capacity(targets: usize) -> f64 {
    (targets * SLOTS) as f64 * 1_000.0 / COST_MS as f64
}

/// Workload that sends `times` as many requests as the slots of the targets can run.
fn flood(workload: Workload, targets: usize, times: u64) -> Workload {
    const FLOWS: usize = 400;
    let per_flow = FLOWS as f64 / (capacity(targets) * times as f64);
    let every = (per_flow * 1_000.0) as u64;
    Workload {
        name: format!("flood-{}", workload.name),
        flows: FLOWS,
        interval_ms: every / 2..=every * 3 / 2,
        cost_ms: COST_MS / 2..=COST_MS * 3 / 2,
        deadline_ms: 1_500,
        idempotent: 1.0,
        attempts: 1,
        ..workload
    }
}

/// Workload of the urgent service at normal load. Some requests are not idempotent.
fn normal_load(bench: &Bench) -> Workload {
    Workload { flows: 300, interval_ms: 1_000..=2_000, cost_ms: 50..=150, attempts: 2, ..bench.urgent() }
}

/// Ratio of runs on targets to requests received, over all live instances.
async fn amplification(bench: &Bench) -> Result<f64, Error> {
    let (mut runs, mut requests) = (0, 0);
    for index in 0..bench.fleet.instances.len() {
        let state = bench.fleet.status(index).await?;
        runs += state.detail["counts"]["runs"].as_u64().unwrap_or_default();
        requests += state.detail["counts"]["requests"].as_u64().unwrap_or_default();
    }
    Ok(runs as f64 / requests.max(1) as f64)
}

/// Floods the low-priority service.
pub(super) async fn low_flood(bench: &mut Bench) -> Result<(), Error> {
    let alone = bench.open(normal_load(bench)).await;
    let before = goodput(&alone).await;
    let alone = alone.stop().await;
    let workload = Workload { seed: bench.seed + 1, ..normal_load(bench) };
    let urgent = bench.open(workload).await;
    let flood = bench.open(flood(bench.low_priority(), LOW_TARGETS, FLOOD_FACTOR)).await;
    let flood_done = flood.counts().done.load(Relaxed);
    let during = goodput(&urgent).await;
    let flood_goodput = (flood.counts().done.load(Relaxed) - flood_done) as f64 / MEASURED_TIME.as_secs_f64();
    let flood = flood.stop().await;
    let urgent = urgent.stop().await;
    let p99 = |report: &crate::customers::Report| report.latency.value_at_quantile(0.99) as f64;
    bench.measurements.urgent_kept = Some(during / before);
    bench.measurements.p99_over_p99_alone = Some(p99(&urgent) / p99(&alone));
    bench.measurements.goodput_over_capacity = Some(flood_goodput / capacity(LOW_TARGETS));
    bench.measurements.retry_amplification = Some(amplification(bench).await?);
    bench.collect_results(&[alone, urgent, flood]).await
}

/// Floods the urgent service while the low-priority one has its normal load.
pub(super) async fn urgent_flood(bench: &mut Bench) -> Result<(), Error> {
    let normal_load = normal_load(bench);
    let low = Workload { flows: 40, interval_ms: 500..=1_000, cost_ms: 50..=150, ..bench.low_priority() };
    let urgent = bench.open(normal_load).await;
    let low = bench.open(low).await;
    let low_before = low.counts().done.load(Relaxed);
    let urgent_alone = goodput(&urgent).await;
    let low_alone = low.counts().done.load(Relaxed) - low_before;
    let flood = bench.open(flood(bench.urgent(), URGENT_TARGETS, FLOOD_FACTOR)).await;
    let low_before = low.counts().done.load(Relaxed);
    let urgent_before = urgent.counts().done.load(Relaxed);
    let during = goodput(&flood).await;
    let low_during = low.counts().done.load(Relaxed) - low_before;
    let urgent_during =
        (urgent.counts().done.load(Relaxed) - urgent_before) as f64 / MEASURED_TIME.as_secs_f64();
    let flood = flood.stop().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = goodput(&urgent).await;
    bench.measurements.goodput_over_capacity = Some((during + urgent_during) / capacity(URGENT_TARGETS));
    bench.measurements.low_kept = Some(low_during as f64 / low_alone.max(1) as f64);
    bench.measurements.goodput_after = Some(after / urgent_alone);
    bench.measurements.retry_amplification = Some(amplification(bench).await?);
    let reports = [urgent.stop().await, low.stop().await, flood];
    bench.collect_results(&reports).await
}

/// Suspends and kills instances while they run requests that are not idempotent.
pub(super) async fn replica_kill(bench: &mut Bench) -> Result<(), Error> {
    const KILLS: usize = 3;
    let mut rng = Pcg64Mcg::seed_from_u64(bench.seed);
    let workload = Workload {
        idempotent: 0.0,
        interval_ms: 500..=1_000,
        flows: 300,
        cost_ms: 20..=60,
        ..bench.urgent()
    };
    let urgent = bench.open(workload).await;
    for _ in 0..KILLS {
        let frozen = rng.random_range(0..bench.fleet.instances.len());
        bench.fleet.signal(frozen, "STOP")?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        bench.fleet.signal(frozen, "CONT")?;
        bench.record_event(format!("suspended {} for 3 s", bench.fleet.instances[frozen].name));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let killed = rng.random_range(0..bench.fleet.instances.len());
        let zone = bench.fleet.instances[killed].zone.clone();
        bench.record_event(format!("killed {}", bench.fleet.instances[killed].name));
        bench.fleet.kill(killed);
        bench.fleet.remove(killed);
        bench.fleet.start_instance(&zone)?;
        bench.watch();
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}

/// Shuts an instance and a target down gracefully during a flood.
pub(super) async fn drain_in_flood(bench: &mut Bench) -> Result<(), Error> {
    let urgent = bench.open(normal_load(bench)).await;
    let flood = bench.open(flood(bench.low_priority(), LOW_TARGETS, FLOOD_FACTOR)).await;
    bench.site.targets[1].is_leaving = true;
    bench.accept(&format!("drain-{}", bench.seed)).await?;
    bench.fleet.start_instance("spare")?;
    bench.fleet.signal(0, "TERM")?;
    let ended = bench.fleet.wait_exit(0, Duration::from_secs(45)).await;
    bench.record_event(format!("the instance exited by itself: {ended}"));
    bench.fleet.remove(0);
    bench.watch();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let reports = [urgent.stop().await, flood.stop().await];
    bench.collect_results(&reports).await
}
