//! Two targets whose names have the same token: the one that runs keeps its open flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry, Token,
        catalog::{Catalog, Record, State},
    },
    time::Time,
};

/// Names with the same token, found by search.
const NAMES: [&str; 2] = ["i-d353da32", "i-1c17c480"];

const FLOW_LIFETIME_MS: u64 = 60_000;

fn record(index: usize, born_ms: u64, revision: u64, state: State) -> Record {
    let entry = Entry {
        name: NAMES[index].into(),
        number: index as u64 + 1,
        born_ms,
        service: "matching".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: state == State::Leaving,
        warm_up_ms: 0,
        heartbeat: revision,
    };
    Record { entry, state, revision: revision.into() }
}

/// Number of the target that gets packets with the token.
fn holder(catalog: &Catalog) -> Option<u64> {
    Some(catalog.target(catalog.find(Token::of(NAMES[0]))?)?.record.entry.number)
}

#[test]
fn same_token() {
    assert_eq!(Token::of(NAMES[0]), Token::of(NAMES[1]));
}

// Guards against open flows that are sent to a target that is added, as its name has the
// token of theirs.
#[test]
fn running_target() {
    for (running, added) in [(0, 1), (1, 0)] {
        let mut catalog = Catalog::default();
        catalog.apply(record(running, 1_000, 1, State::Ready), Time(0));
        catalog.apply(record(added, 2_000, 2, State::Ready), Time(1));
        assert_eq!(holder(&catalog), Some(running as u64 + 1));
        assert_eq!(catalog.service_targets(0).len(), 1, "the added target gets no flows");

        // Its flows are still forwarded when it has ended, for as long as a flow may last.
        catalog.apply(record(running, 1_000, 3, State::Gone), Time(10));
        catalog.forget(Time(10 + FLOW_LIFETIME_MS), FLOW_LIFETIME_MS);
        assert_eq!(holder(&catalog), Some(running as u64 + 1));
        assert!(catalog.service_targets(0).is_empty());
        catalog.forget(Time(11 + FLOW_LIFETIME_MS), FLOW_LIFETIME_MS);
        assert_eq!(holder(&catalog), Some(added as u64 + 1));
        assert_eq!(catalog.service_targets(0).len(), 1);
    }
}

proptest! {
    #[test]
    fn any_order(
        born in prop::array::uniform2(0u64..4),
        states in prop::collection::vec((0usize..2, 0usize..2), 1..8),
        order in Just((0usize..9).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let state = |state| [State::Ready, State::Leaving][state];
        let mut records = vec![record(0, born[0], 1, State::Ready), record(1, born[1], 2, State::Ready)];
        let more = states.iter().zip(3..);
        records.extend(more.map(|((index, kind), at)| record(*index, born[*index], at, state(*kind))));
        let apply = |records: Vec<&Record>| {
            let mut catalog = Catalog::default();
            for record in records {
                catalog.apply(record.clone(), Time(1));
            }
            catalog
        };
        let sorted = apply(records.iter().collect());
        let shuffled = apply(order.iter().filter_map(|index| records.get(*index)).collect());
        prop_assert_eq!(holder(&shuffled), holder(&sorted));
        let age = |index: usize| (born[index] == 0, born[index], NAMES[index]);
        let oldest = (0..2).min_by_key(|index| age(*index)).unwrap();
        prop_assert_eq!(holder(&sorted), Some(oldest as u64 + 1));
    }
}
