//! State that an instance fetches from a peer: no more than it lacks, and nothing missing.

#[path = "support/relay.rs"]
#[allow(dead_code)]
mod relay;

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        catalog::{Record, State},
        forwarder::{Forwarder, Observation, Reading, Settings},
        gossip::{KnownState, Snapshot},
    },
    time::Time,
};
use relay::{entry, forwarder, plan, site_loads};

const TARGETS: usize = 600;

/// Largest snapshot after a few changes, in bytes: two datagrams.
const MAX_CHANGES_BYTES: usize = 2_800;

/// Time after which a target that is gone is no longer in the catalog, with a margin.
const FORGOTTEN_AT: Time = Time(200_000);

fn instance(index: usize) -> Forwarder {
    forwarder(index, 1, &plan(&site_loads(1.0)), TARGETS, 2)
}

/// Instance without any state.
fn empty() -> Forwarder {
    Forwarder::new(Settings::default())
}

fn assert_same_targets(one: &Forwarder, other: &Forwarder, message: &str) {
    assert!(targets(one) == targets(other), "{message}");
}

fn change(forwarder: &mut Forwarder, target: usize, state: State, revision: u64, now: Time) {
    let revision = revision.into();
    let record = Record { entry: entry(target, 2), state, revision };
    let observations = vec![Observation::Record(record)];
    forwarder.apply_reading(Reading { observations, revision, ..Reading::default() }, now);
}

fn fetch(from: &Forwarder, to: &mut Forwarder, now: Time) -> Snapshot {
    let known = KnownState::from_bytes(&to.known_state().to_bytes()).unwrap();
    let snapshot = Snapshot::from_bytes(&from.snapshot(&known).to_bytes()).unwrap();
    to.apply_snapshot(snapshot.clone(), now);
    snapshot
}

/// Names and states of the targets that are not gone.
fn targets(forwarder: &Forwarder) -> Vec<(String, State)> {
    let records = forwarder.catalog().records().filter(|record| record.state != State::Gone);
    let mut targets: Vec<_> = records.map(|record| (record.entry.name.to_string(), record.state)).collect();
    targets.sort();
    targets
}

#[test]
fn few_changes() {
    let (mut ahead, mut behind) = (instance(0), instance(1));
    for (target, revision) in (0..5).zip(2..) {
        change(&mut ahead, target, State::Leaving, revision, Time(1_000));
    }
    let mut later = plan(&site_loads(1.0));
    later.version = 2;
    ahead.adopt(later);
    let snapshot = fetch(&ahead, &mut behind, Time(1_100));
    let bytes = snapshot.to_bytes().len();
    assert!(bytes <= MAX_CHANGES_BYTES, "{bytes} bytes");
    assert_same_targets(&ahead, &behind, "a change is missing");
    assert_eq!((behind.catalog().revision(), behind.catalog().plan().version), (6.into(), 2));
    let snapshot = fetch(&ahead, &mut behind, Time(1_200));
    assert_eq!((snapshot.records.len(), snapshot.plan.version), (0, 0), "nothing is sent twice");
}

#[test]
fn first_state() {
    let (ahead, mut started) = (instance(0), empty());
    let snapshot = fetch(&ahead, &mut started, Time(1_000));
    assert!(snapshot.is_complete);
    assert_same_targets(&ahead, &started, "a target is missing");
}

#[test]
fn forgotten_target() {
    let (mut ahead, mut behind) = (instance(0), instance(1));
    change(&mut ahead, 7, State::Gone, 2, Time(1_000));
    ahead.tick(FORGOTTEN_AT);
    let snapshot = fetch(&ahead, &mut behind, FORGOTTEN_AT);
    assert!(snapshot.is_complete);
    assert_same_targets(&ahead, &behind, "the target has ended, and no record of it is left");
}

#[test]
fn recent_peer() {
    let (mut ahead, mut started, mut behind) = (instance(0), empty(), instance(2));
    change(&mut ahead, 7, State::Gone, 2, Time(1_000));
    let snapshot = ahead.snapshot(&KnownState::default());
    started.apply_snapshot(snapshot, Time(1_000));
    // The instance that has just started has no record of the target that is gone.
    fetch(&started, &mut behind, Time(1_100));
    assert_same_targets(&ahead, &behind, "a target is left that has ended");
}

#[test]
fn after_complete_snapshot() {
    let (mut ahead, mut started, mut older, mut behind) = (instance(0), empty(), instance(1), instance(2));
    change(&mut ahead, 7, State::Gone, 20, Time(1_000));
    started.apply_snapshot(ahead.snapshot(&KnownState::default()), Time(1_000));
    assert!(fetch(&started, &mut older, Time(1_100)).is_complete, "the peer has just started");
    // An instance that got a complete snapshot still knows all that another one lacks.
    let snapshot = fetch(&older, &mut behind, Time(1_200));
    assert!(!snapshot.is_complete);
    assert_same_targets(&ahead, &behind, "a target is left that has ended");
}

#[test]
fn skipped_revisions() {
    let (mut ahead, mut older, mut behind) = (instance(0), instance(1), instance(2));
    // A target is added and ends. One instance never hears of it, another one only of the start.
    change(&mut ahead, TARGETS, State::Ready, 10, Time(1_000));
    fetch(&ahead, &mut behind, Time(1_000));
    change(&mut ahead, TARGETS, State::Gone, 20, Time(1_100));
    let mut started = empty();
    started.apply_snapshot(ahead.snapshot(&KnownState::default()), Time(1_100));
    fetch(&started, &mut older, Time(1_200));
    let snapshot = fetch(&older, &mut behind, Time(1_300));
    assert!(snapshot.is_complete);
    assert_same_targets(&ahead, &behind, "a target is left that has ended");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn same_targets(changes in prop::collection::vec((0usize..20, 0usize..4), 0..60), fetched in 0usize..60) {
        let (mut ahead, mut behind) = (instance(0), instance(1));
        let states = [State::Ready, State::Leaving, State::Missing, State::Gone];
        for (step, (target, state)) in changes.iter().enumerate() {
            let now = Time(1_000 + step as u64);
            change(&mut ahead, *target, states[*state], 2 + step as u64, now);
            if step % (fetched + 1) == fetched {
                fetch(&ahead, &mut behind, now);
                prop_assert!(targets(&ahead) == targets(&behind), "different after step {}", step);
            }
        }
        fetch(&ahead, &mut behind, Time(2_000));
        prop_assert!(targets(&ahead) == targets(&behind), "different at the end");
    }

    #[test]
    fn any_request(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        if let Ok(known) = KnownState::from_bytes(&bytes) {
            instance(0).snapshot(&known);
        }
    }
}
