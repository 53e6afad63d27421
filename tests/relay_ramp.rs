//! Results for callers when targets start, recover, fail in part or flap, with and without
//! ramps, and the estimator of ramps.

#[path = "support/relay.rs"]
#[allow(dead_code)]
mod relay;

use ragwortlb::{
    relay::{
        Class,
        forwarder::Notice,
        ramp::{MAX_TRIAL_INTERVAL_MS, Ramp, Start},
    },
    time::Time,
};
use relay::{Load, Simulation};

const INSTANCES: usize = 6;

const TARGETS: usize = 10;

/// Warm-up time of a target, in milliseconds.
const COLD_MS: u64 = 4_000;

/// Reads and posts of one cell of the site solano at a multiple of its standard rate.
fn loads(factor: f64) -> Vec<Load> {
    let class =
        |priority, objective_ms, timeout_ms| Class { priority, objective_ms, timeout_ms, ..Class::default() };
    let load = |port, class, work_ms, per_s: f64, value| Load {
        port,
        class,
        work_ms,
        per_s: per_s * factor,
        value,
        lasting: None,
    };
    vec![
        load(443, class(2, 500, 2_500), 55.0, 96.0, (1.0, 0.3)),
        load(8080, class(1, 600, 3_000), 61.0, 27.5, (2.0, 0.6)),
    ]
}

/// Credit and share of requests on time, summed over seeds.
#[derive(Debug)]
struct Outcome {
    credit: f64,
    on_time: f64,
    failed: u64,
}

/// Plays a case on several seeds, with ramps or without.
fn play(is_ramped: bool, factor: f64, case: impl Fn(&mut Simulation)) -> Outcome {
    let (seeds, mut credit, mut on_time, mut started, mut failed) = (1..=5, 0.0, 0, 0, 0);
    for seed in seeds.clone() {
        let mut sim = Simulation::new(seed, INSTANCES, TARGETS, 2, loads(factor));
        sim.set_warm_up(if is_ramped { COLD_MS } else { 0 });
        sim.run_to(3_000);
        sim.reset_tallies();
        case(&mut sim);
        sim.finish();
        credit += sim.credit();
        for load in 0..2 {
            let tally = sim.tally(load);
            (on_time, started) = (on_time + tally.on_time, started + tally.started);
            failed += tally.failed;
        }
    }
    Outcome { credit: credit / seeds.count() as f64, on_time: on_time as f64 / started as f64, failed }
}

/// Plays a case with and without ramps; checks that ramps do not cost more than noise, and
/// that they earn at least `gain` of the credit.
fn compare(name: &str, factor: f64, gain: f64, case: impl Fn(&mut Simulation)) {
    let (without, with) = (play(false, factor, &case), play(true, factor, &case));
    let figures = format!("{name}: without {without:?}, with {with:?}");
    println!("{figures}");
    assert!(with.credit >= without.credit + gain, "{figures}");
    assert!(with.on_time >= without.on_time + gain, "{figures}");
    assert!(with.failed <= without.failed, "{figures}");
}

/// Credit that ramps may cost by the noise of a few hundred requests.
const NOISE: f64 = 0.003;

/// Guards against a flood of flows to targets that start with slow work.
#[test]
fn cold() {
    for factor in [1.0, 1.5] {
        compare(&format!("cold {factor}"), factor, -NOISE, |sim| {
            for index in 0..3 {
                sim.restart_target(index, COLD_MS, 8.0);
            }
            sim.run_to(9_000);
        });
    }
}

/// Guards against targets that are left idle although they work well from their start.
#[test]
fn warm_start() {
    compare("warm start", 1.9, -NOISE, |sim| {
        for index in 0..3 {
            sim.restart_target(index, COLD_MS, 1.0);
        }
        sim.run_to(9_000);
    });
}

/// Guards against refusals when all targets have a ramp.
#[test]
fn all_start() {
    compare("all start", 1.5, -NOISE, |sim| {
        for index in 0..TARGETS {
            sim.restart_target(index, 0, 1.0);
        }
        sim.run_to(6_000);
    });
}

/// Guards against worse results at a target that is slow for a time without having started.
#[test]
fn slow() {
    compare("slow", 1.5, -NOISE, |sim| {
        sim.slow_target(0, 4_000, 4.5);
        sim.run_to(11_000);
    });
}

/// Guards against a full share for a target that fails many of its requests after its start.
#[test]
fn grey() {
    compare("grey", 1.0, 0.0, |sim| {
        sim.restart_target(0, 0, 1.0);
        sim.set_failing_share(0, 0.5);
        sim.run_to(9_000);
    });
}

/// Guards against a full share for a target at each of its short recoveries.
#[test]
fn flapping() {
    compare("flapping", 1.0, -NOISE, |sim| {
        for half in 0..8 {
            sim.set_down(0, half % 2 == 0);
            sim.run_to(sim.now + 1_400);
        }
        sim.set_down(0, false);
    });
}

/// Guards against a full share for a target that recovers with slow work.
#[test]
fn recovered() {
    compare("recovered", 1.5, 0.0, |sim| {
        sim.set_down(0, true);
        sim.set_down(1, true);
        sim.run_to(5_000);
        sim.set_down(0, false);
        sim.set_down(1, false);
        sim.slow_target(0, 3_000, 8.0);
        sim.slow_target(1, 3_000, 8.0);
        sim.run_to(10_000);
    });
}

/// Guards against a target that keeps a low limit after it has become well: at all loads, each
/// instance has to end its ramp and the target has to get its share.
#[test]
fn found_well() {
    for factor in [0.5, 1.0] {
        let mut sim = Simulation::new(1, INSTANCES, TARGETS, 2, loads(factor));
        sim.set_warm_up(COLD_MS);
        sim.run_to(3_000);
        sim.restart_target(0, COLD_MS, 8.0);
        sim.run_to(20_000);
        let ramping: Vec<_> = sim.forwarders.iter().map(|forwarder| forwarder.ramping_targets()).collect();
        assert_eq!(ramping, [0; INSTANCES], "load {factor}: ramps at the instances");
        let before = sim.placed.clone();
        sim.run_to(25_000);
        let placed: Vec<_> = sim.placed.iter().zip(before).map(|(now, before)| now - before).collect();
        let mean = placed.iter().sum::<u64>() / TARGETS as u64;
        assert!(placed[0] * 2 > mean, "load {factor}: {placed:?}");
    }
}

/// Guards against ramps for all targets at the first reading of an instance, and for services
/// without a warm-up time.
#[test]
fn where_ramps_start() {
    for (warm_up_ms, ramps) in [(0, 0), (COLD_MS, 2)] {
        let mut sim = Simulation::new(1, 2, TARGETS, 2, loads(0.1));
        sim.set_warm_up(warm_up_ms);
        sim.run_to(100);
        assert_eq!(sim.forwarders[0].ramping_targets(), 0, "first reading");
        sim.restart_target(4, 1_000, 1.0);
        sim.restart_target(5, 1_000, 1.0);
        assert_eq!(sim.forwarders[0].ramping_targets(), ramps);
        let notices = sim.forwarders[0].take_notices();
        let started = notices.iter().filter(|notice| matches!(notice, Notice::RampStarted { .. }));
        assert_eq!(started.count(), ramps);
    }
}

/// Guards against a limit that does not decrease, and against one that never rises again.
#[test]
fn failing_and_well_again() {
    let mut ramp = Ramp::default();
    ramp.record_start(0, Start::Fresh, Time(0));
    for now in 1..=10 {
        ramp.record_failure(0, Time(now * 200));
    }
    assert!(ramp.limit(0, 2.0) < 0.2);
    assert!(!ramp.is_trial_due(0, 6, Time(5_999)));
    assert!(ramp.is_trial_due(0, 6, Time(6 * MAX_TRIAL_INTERVAL_MS)), "instances take turns");
    let mut answers = 0;
    while ramp.end_completed(0, 2.0, Time(9_000)).is_none() {
        ramp.record_answer(0, 50, 50.0, 6, Time(8_000));
        answers += 1;
    }
    assert!(answers <= 6, "{answers} answers");
}

/// Guards against a limit that rises with slow answers or quick errors, and against failures
/// of peers that count more than once.
#[test]
fn what_counts() {
    let mut ramp = Ramp::default();
    ramp.record_start(0, Start::Fresh, Time(0));
    ramp.record_answer(0, 5, 50.0, 6, Time(100));
    ramp.record_answer(0, 120, 50.0, 6, Time(100));
    assert_eq!(ramp.limit(0, 8.0), 1.0, "quick errors and answers that are somewhat late");
    ramp.record_answer(0, 50, 50.0, 6, Time(100));
    assert_eq!(ramp.limit(0, 8.0), 1.5, "an answer in time");
    ramp.record_answer(0, 200, 50.0, 6, Time(100));
    assert_eq!(ramp.limit(0, 8.0), 1.125, "slow answer");
    ramp.record_answer(0, 200, 50.0, 6, Time(100));
    assert_eq!(ramp.limit(0, 8.0), 1.0, "a slow target still serves");
    for now in [1_000, 1_200, 1_400] {
        ramp.record_peer(0, 7, 1, Time(now));
    }
    assert_eq!(ramp.limit(0, 8.0), 0.5, "one failure that is reported many times");
    ramp.record_peer(0, 7, 0, Time(1_600));
    assert_eq!(ramp.limit(0, 8.0), 1.0, "the target has answered the peer");
}

/// Guards against a full share at each recovery of a target that fails again soon.
#[test]
fn unstable() {
    let mut ramp = Ramp::default();
    ramp.record_start(0, Start::Recovered, Time(1_000));
    assert_eq!(ramp.limit(0, 2.0), 1.0);
    ramp.record_start(0, Start::Recovered, Time(4_000));
    assert_eq!(ramp.limit(0, 2.0), 0.5);
}
