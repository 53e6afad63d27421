//! Slot tables are even, alike everywhere, and move little.

use proptest::prelude::*;
use ragwortlb::route::{
    flow,
    table::{SLOTS, Table, WeightedTarget},
};

fn members(count: usize) -> Vec<WeightedTarget> {
    (0..count).map(|i| WeightedTarget::new(format!("m{i}@10.2.0.{}:9000", i + 1), 1)).collect()
}

/// Flows on the fullest target over the mean.
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
fn even_at_user_size() {
    const FLOWS: u64 = 14 * 2_000;
    let table = Table::new(&members(14));
    for seed in 0..20 {
        assert!(imbalance(&table, FLOWS, seed) < 1.1);
    }
}

#[test]
fn weights_count() {
    let mut members = members(4);
    members[0].weight = 3;
    let table = Table::new(&members);
    let heavy = (0..SLOTS).filter(|slot| table.slot_target(*slot) == Some(&members[0].name)).count();
    assert!(heavy.abs_diff(SLOTS / 2) < SLOTS / 50, "{heavy}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_is_irrelevant(count in 1..20usize, turn in 0..20usize) {
        let ordered = members(count);
        let mut turned = ordered.clone();
        turned.rotate_left(turn % count);
        prop_assert_eq!(Table::new(&ordered), Table::new(&turned));
    }

    #[test]
    fn few_slots_move(count in 8..20usize, gone in 0..20usize) {
        let before = members(count);
        let mut after = before.clone();
        after.remove(gone % count);
        let (before, after) = (Table::new(&before), Table::new(&after));
        let moved = (0..SLOTS).filter(|slot| before.slot_target(*slot) != after.slot_target(*slot)).count();
        prop_assert!(moved <= 2 * SLOTS / count, "{} of {} moved", moved, SLOTS);
    }
}
