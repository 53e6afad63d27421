/*!
Outlier ejection: keeps new requests off targets that fail or shed.

The results of requests decide, not the health and load endpoints of targets. A
target that sheds is ejected for a short time. After several failures in a row,
sheds included, each further one ejects the target again, for twice the time up to
a limit, until it answers. If more than a third of a service's targets would be
ejected, the cause is probably elsewhere, and none is treated as ejected.
*/

use std::collections::BTreeMap;

use crate::time::Time;

/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;

/// First ejection time, in milliseconds.
const FIRST_EJECTION_MS: u64 = 50;

/// Longest ejection time, in milliseconds.
const MAX_EJECTION_MS: u64 = 5_000;

/// Number of targets for each one that may be ejected at the same time.
const TARGETS_PER_EJECTION: usize = 3;

/// What the run of a request showed of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target answered.
    Answered,
    /// The target shed the request.
    Shed,
    /// The target could not be reached or did not answer in time.
    NoResponse,
}

/// Failures and ejections of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

/// Ejection state of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    records: BTreeMap<u16, Record>,
}

impl Outliers {
    /// Records the result of a run.
    pub fn record_result(&mut self, target: u16, result: RunResult, now: Time) {
        let record = self.records.entry(target).or_default();
        if result == RunResult::Answered {
            *record = Record::default();
            return;
        }
        record.failures += 1;
        let due = result == RunResult::Shed || record.failures >= EJECTION_FAILURES;
        if due {
            let ejection_ms = (FIRST_EJECTION_MS << record.ejections.min(10)).min(MAX_EJECTION_MS);
            let first = result == RunResult::Shed && record.failures < EJECTION_FAILURES;
            record.ejected_until = Some(now + if first { FIRST_EJECTION_MS } else { ejection_ms });
            record.ejections += u32::from(!first);
        }
    }

    /// Reports whether a target is ejected now. `targets` is the number of targets of the service.
    pub fn is_ejected(&self, target: u16, targets: usize, now: Time) -> bool {
        let ejected = |record: &Record| record.ejected_until.is_some_and(|until| until > now);
        if !self.records.get(&target).is_some_and(ejected) {
            return false;
        }
        let count = self.records.values().filter(|record| ejected(record)).count();
        count <= (targets / TARGETS_PER_EJECTION).max(1)
    }
}
