/*!
What the answers of targets say of them.

Answers outrank what health and load endpoints report. A target that fails or
sheds several times in a row is paused for a while that doubles, and tried again
with one request. At most a third of a service's targets are paused at once:
beyond that the signal is distrusted.
*/

use std::collections::BTreeMap;

use crate::time::Time;

/// Failures in a row after which a target is paused.
const FAILURES: u32 = 3;

/// First pause, in milliseconds.
const FIRST_PAUSE_MS: u64 = 50;

/// Longest pause, in milliseconds.
const LAST_PAUSE_MS: u64 = 5_000;

/// Targets of which one may be paused.
const TARGETS_PER_PAUSE: usize = 3;

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target answered.
    Answered,
    /// It shed the request.
    Shed,
    /// It could not be reached, or did not answer in time.
    NoResponse,
}

/// Record of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    pauses: u32,
    paused_until: Option<Time>,
}

/// Targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    records: BTreeMap<u16, Record>,
}

impl Outliers {
    /// Notes an answer.
    pub fn record_result(&mut self, target: u16, result: RunResult, now: Time) {
        let record = self.records.entry(target).or_default();
        if result == RunResult::Answered {
            *record = Record::default();
            return;
        }
        record.failures += 1;
        let due = result == RunResult::Shed || record.failures >= FAILURES;
        if due {
            let pause = (FIRST_PAUSE_MS << record.pauses.min(10)).min(LAST_PAUSE_MS);
            let first = result == RunResult::Shed && record.failures < FAILURES;
            record.paused_until = Some(now + if first { FIRST_PAUSE_MS } else { pause });
            record.pauses += u32::from(!first);
        }
    }

    /// Reports whether a target should be left alone now, one of `targets`.
    pub fn is_ejected(&self, target: u16, targets: usize, now: Time) -> bool {
        let paused = |record: &Record| record.paused_until.is_some_and(|until| until > now);
        if !self.records.get(&target).is_some_and(paused) {
            return false;
        }
        let count = self.records.values().filter(|record| paused(record)).count();
        count <= (targets / TARGETS_PER_PAUSE).max(1)
    }
}
