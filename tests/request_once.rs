//! At-most-once execution: a request that is not idempotent runs at most once, an
//! outcome `NotRun` is true, and every request has exactly one outcome.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use ragwortlb::{node::Ticket, wire::Outcome};
use rand::RngExt;
use support::{
    Net, folder,
    targets::{Key, Targets},
};

const LEFT_MS: u64 = 1_500;

/// Faults to inject into a history of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    kills: usize,
    freezes: usize,
    /// Sends duplicates of first attempts, as the fabric may do.
    duplicates: bool,
}

struct History {
    net: Net,
    targets: Targets,
    attempts: BTreeMap<(u64, u64), Vec<Ticket>>,
}

fn start(seed: u64) -> History {
    let mut net = Net::new(seed);
    net.start_all(3, 2, &folder(&(0..6).collect(), &BTreeSet::new()));
    let targets = Targets { cost_ms: (10, 120), lose_one_in: 20, ..Targets::default() };
    History { net, targets, attempts: BTreeMap::new() }
}

impl History {
    fn send(&mut self, key: Key, attempt: u32) {
        if let Some(ticket) = self.targets.request(&mut self.net, key, attempt, false, LEFT_MS) {
            self.attempts.entry((key.flow, key.number)).or_default().push(ticket);
        }
    }

    fn run(&mut self, faults: Faults) {
        const REQUESTS: u64 = 150;
        let mut frozen: Option<usize> = None;
        for number in 0..REQUESTS {
            let key = Key { flow: number % 40 + 1, number: number / 40 };
            self.send(key, 1);
            if faults.duplicates && number % 3 == 0 {
                self.send(key, 1);
            }
            let pause = self.net.rng.random_range(5..60);
            self.targets.advance(&mut self.net, pause);
            let again = self.net.rng.random_range(0..=number);
            let late = Key { flow: again % 40 + 1, number: again / 40 };
            self.send(late, 2);
            self.inject_fault(number, faults, &mut frozen);
        }
        if let Some(index) = frozen {
            self.net.freeze(index, false);
        }
        self.targets.advance(&mut self.net, 4_000);
    }

    fn inject_fault(&mut self, number: u64, faults: Faults, frozen: &mut Option<usize>) {
        const EVERY: u64 = 30;
        if number % EVERY != EVERY - 1 {
            return;
        }
        let turn = (number / EVERY) as usize;
        let live = self.net.fabric(None);
        let index = live[self.net.rng.random_range(0..live.len())];
        if let Some(index) = frozen.take() {
            self.net.freeze(index, false);
        }
        if turn < faults.kills {
            let zone = self.net.instances[index].zone;
            self.net.kill(index);
            self.net.start(zone);
        } else if turn < faults.kills + faults.freezes {
            self.net.freeze(index, true);
            *frozen = Some(index);
        }
    }

    fn check(&self) {
        for (key, count) in &self.targets.ran {
            assert!(*count <= 1, "{key:?} ran {count} times, expected at most once");
        }
        for ((flow, number), tickets) in &self.attempts {
            let outcomes: Vec<&Outcome> =
                tickets.iter().filter_map(|ticket| self.net.outcomes.get(ticket)).collect();
            let ran = self.targets.ran.contains_key(&Key { flow: *flow, number: *number });
            let all_not_run = outcomes.len() == tickets.len()
                && outcomes.iter().all(|outcome| matches!(outcome, Outcome::NotRun(_)));
            assert!(
                !(ran && all_not_run),
                "flow {flow} number {number} ran, but all its outcomes are NotRun"
            );
        }
        for (ticket, instance) in &self.targets.instance_of {
            let instance = &self.net.instances[*instance];
            let answered = self.net.outcomes.contains_key(ticket);
            assert!(answered || !instance.alive, "{ticket:?} has no outcome although its instance is alive");
        }
    }
}

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(1);
    ProptestConfig { cases: 40, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_and_duplicates(seed in any::<u64>()) {
        let mut history = start(seed);
        history.run(Faults { duplicates: true, ..Faults::default() });
        history.check();
        let done = history.targets.count_outcomes(&history.net, |outcome| matches!(outcome, Outcome::Done(_)));
        prop_assert!(done > 100, "only {} requests done", done);
    }

    #[test]
    fn replicas_killed(seed in any::<u64>()) {
        let mut history = start(seed);
        history.run(Faults { kills: 4, duplicates: true, ..Faults::default() });
        history.check();
    }

    #[test]
    fn replicas_frozen(seed in any::<u64>()) {
        let mut history = start(seed);
        history.run(Faults { freezes: 4, ..Faults::default() });
        history.check();
    }
}
