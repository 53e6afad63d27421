//! The catalog never returns to an older state, and a target whose entry expired while the
//! store was unavailable is not removed at once.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry, Token,
        catalog::{Catalog, Change, REREGISTRATION_MS, Record, State},
    },
    time::Time,
};

fn record(name: &str, revision: u64, state: State) -> Record {
    let entry = Entry {
        name: name.into(),
        number: 1,
        born_ms: 1,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: state == State::Leaving,
        warm_up_ms: 0,
        heartbeat: revision,
    };
    Record { entry, state, revision: revision.into() }
}

fn state(catalog: &Catalog, name: &str) -> Option<State> {
    catalog.records().find(|record| &*record.entry.name == name).map(|record| record.state)
}

#[test]
fn invalid_slots() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    for slots in [0, u32::MAX] {
        let mut later = record("a-1", 6, State::Ready);
        later.entry.slots = slots;
        assert_eq!(catalog.apply(later, Time(1)), Change::None);
    }
    let slots: Vec<_> = catalog.records().map(|record| record.entry.slots).collect();
    assert_eq!(slots, [3], "the last valid entry stays");
}

#[test]
fn older_record() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Leaving), Time(0));
    assert_eq!(catalog.apply(record("a-1", 4, State::Ready), Time(1)), Change::None);
    assert_eq!(state(&catalog, "a-1"), Some(State::Leaving));
}

#[test]
fn missing_then_registered() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    let removal = catalog.removal("a-1", 6.into(), true).unwrap();
    assert_eq!(removal.state, State::Missing);
    catalog.apply(removal, Time(10));
    assert_eq!(catalog.service_targets(0), [0], "a missing target keeps getting flows");
    catalog.apply(record("a-1", 7, State::Ready), Time(20));
    assert!(catalog.unrecovered(Time(10), Time(10 + REREGISTRATION_MS)).is_empty());
}

#[test]
fn missing_then_gone() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    catalog.apply(catalog.removal("a-1", 6.into(), true).unwrap(), Time(10));
    assert!(catalog.unrecovered(Time(10), Time(9 + REREGISTRATION_MS)).is_empty());
    for record in catalog.unrecovered(Time(10), Time(10 + REREGISTRATION_MS)) {
        catalog.apply(record, Time(10 + REREGISTRATION_MS));
    }
    assert_eq!(state(&catalog, "a-1"), Some(State::Gone));
    assert!(catalog.service_targets(0).is_empty());
}

#[test]
fn unlisted_target() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    catalog.apply(record("a-2", 6, State::Ready), Time(0));
    catalog.apply(record("a-3", 9, State::Ready), Time(0));
    let unlisted = catalog.unlisted(&["a-2".into()], 8.into(), false);
    let names: Vec<_> = unlisted.iter().map(|record| &*record.entry.name).collect();
    assert_eq!(names, ["a-1"], "a record newer than the reading stays");
}

#[test]
fn new_incarnation() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    let mut restarted = record("a-1", 6, State::Ready);
    restarted.entry.born_ms = 2;
    restarted.entry.heartbeat = 1;
    assert_eq!(catalog.apply(restarted, Time(1)), Change::Restarted(0));
    assert_eq!(catalog.find(Token::of("a-1")), Some(0));
}

#[test]
fn removed_after_flows() {
    let mut catalog = Catalog::default();
    catalog.apply(record("a-1", 5, State::Ready), Time(0));
    catalog.apply(record("a-1", 6, State::Gone), Time(10));
    catalog.forget(Time(60_000), 60_000);
    assert!(catalog.find(Token::of("a-1")).is_some());
    catalog.forget(Time(60_011), 60_000);
    assert!(catalog.find(Token::of("a-1")).is_none());
}

proptest! {
    #[test]
    fn any_order(mut order in Just((1u64..12).collect::<Vec<_>>()).prop_shuffle(), repeat in 0usize..11) {
        let states = [State::Ready, State::Leaving, State::Missing, State::Gone];
        let repeated = order[repeat];
        order.push(repeated);
        let mut catalog = Catalog::default();
        catalog.apply(record("a-1", 0, State::Ready), Time(0));
        for revision in order {
            catalog.apply(record("a-1", revision, states[revision as usize % 4]), Time(revision));
        }
        prop_assert_eq!(state(&catalog, "a-1"), Some(states[11 % 4]));
    }
}
