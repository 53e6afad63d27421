//! Hash slot tables are even and the same for any order of targets, and few slots
//! move when a target is removed.

use proptest::prelude::*;
use ragwortlb::route::{
    flow,
    table::{SLOTS, Table, WeightedTarget},
};

fn targets(count: usize) -> Vec<WeightedTarget> {
    (0..count).map(|i| WeightedTarget::new(format!("m{i}@10.2.0.{}:9000", i + 1), 1)).collect()
}

/// Flows on the most loaded target, relative to the mean.
fn imbalance(table: &Table, flows: u64, seed: u64) -> f64 {
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..flows {
        let key = flow::key_hash(&(number ^ seed.rotate_left(17)).to_le_bytes());
        *counts.entry(table.target(key).unwrap().clone()).or_insert(0u64) += 1;
    }
    let mean = flows as f64 / table.names().len() as f64;
    *counts.values().max().unwrap() as f64 / mean
}

#[test]
fn even_distribution() {
    // Targets and flows of a user's site.
    const FLOWS: u64 = 14 * 2_000;
    let table = Table::new(&targets(14));
    for seed in 0..20 {
        assert!(imbalance(&table, FLOWS, seed) < 1.1);
    }
}

#[test]
fn weights_respected() {
    let mut targets = targets(4);
    targets[0].weight = 3;
    let table = Table::new(&targets);
    let heavy = (0..SLOTS).filter(|slot| table.slot_target(*slot) == Some(&targets[0].name)).count();
    assert!(heavy.abs_diff(SLOTS / 2) < SLOTS / 50, "{heavy} slots of the heavy target");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_is_irrelevant(count in 1..20usize, shift in 0..20usize) {
        let ordered = targets(count);
        let mut rotated = ordered.clone();
        rotated.rotate_left(shift % count);
        prop_assert_eq!(Table::new(&ordered), Table::new(&rotated));
    }

    #[test]
    fn few_slots_move(count in 8..20usize, gone in 0..20usize) {
        let before = targets(count);
        let mut after = before.clone();
        after.remove(gone % count);
        let (before, after) = (Table::new(&before), Table::new(&after));
        let moved = (0..SLOTS).filter(|slot| before.slot_target(*slot) != after.slot_target(*slot)).count();
        prop_assert!(moved <= 2 * SLOTS / count, "{} of {} slots moved", moved, SLOTS);
    }
}
