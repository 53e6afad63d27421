//! Load of ten times the capacity: goodput stays at 95 % of the capacity or more,
//! every request gets an outcome, none runs twice, and targets get at most 10 % more
//! runs than there are requests, sheds included.

mod support;

use std::collections::{BTreeSet, HashMap};

use ragwortlb::wire::Outcome;
use rand::RngExt;
use support::{
    Net, folder_with,
    targets::{Key, Targets},
};

const TARGETS: usize = 6;
const SLOTS: u64 = 3;
const MEAN_COST_MS: u64 = 100;
const FLOOD_MS: u64 = 8_000;
const LEFT_MS: u64 = 1_500;
const STEP_MS: u64 = 10;

/// Offered requests, in percent of the capacity.
const OFFERED_PERCENT: u64 = 1_000;

struct Flood {
    net: Net,
    targets: Targets,
    sent: u64,
}

/// Floods a service with extra settings `more`. If `uneven`, half of the instances
/// get all requests.
fn flood(more: &str, uneven: bool) -> Flood {
    let mut net = Net::new(11);
    net.start_all(3, 2, &folder_with(&(0..TARGETS).collect(), &BTreeSet::new(), more));
    let mut targets = Targets { cost_ms: (MEAN_COST_MS / 2, MEAN_COST_MS * 3 / 2), ..Targets::default() };
    let capacity_per_s = TARGETS as u64 * SLOTS * 1_000 / MEAN_COST_MS;
    let per_step = capacity_per_s * OFFERED_PERCENT / 100 * STEP_MS / 1_000;
    if uneven {
        for index in [3, 4, 5] {
            net.instances[index].in_fabric = false;
        }
    }
    let mut sent = 0;
    for _ in 0..FLOOD_MS / STEP_MS {
        for _ in 0..per_step {
            sent += 1;
            let key = Key { flow: net.rng.random_range(1..2_000), number: sent };
            targets.request(&mut net, key, 1, true, LEFT_MS);
        }
        targets.advance(&mut net, STEP_MS);
    }
    targets.advance(&mut net, LEFT_MS + 500);
    Flood { net, targets, sent }
}

impl Flood {
    fn check(&self) {
        let capacity = TARGETS as u64 * SLOTS * FLOOD_MS / MEAN_COST_MS;
        let done =
            self.targets.count_outcomes(&self.net, |outcome| matches!(outcome, Outcome::Done(_))) as u64;
        assert!(
            done * 100 >= capacity * 95,
            "{done} requests done, capacity {capacity}, shed {}, runs {}",
            self.targets.shed,
            self.targets.runs
        );
        assert_eq!(self.net.outcomes.len() as u64, self.sent);
        let amplified = self.targets.runs + self.targets.shed;
        assert!(amplified * 10 <= self.sent * 11);
        let runs: HashMap<&Key, &u32> = self.targets.ran.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(runs.is_empty(), "{} requests ran more than once", runs.len());
    }
}

#[test]
fn movable_requests() {
    flood("\"movable\": true,", false).check();
}

#[test]
fn flow_bound_requests() {
    flood("", false).check();
}

#[test]
fn uneven_arrival() {
    flood("\"movable\": true,", true).check();
}
