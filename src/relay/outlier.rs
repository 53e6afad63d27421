/*!
Outlier ejection: targets that do not answer get no new flows.

Targets answer clients directly, so an instance infers answers from the client's
next packet. Data shows that the target answered. A retransmitted opening packet
shows that it did not, and so does the lack of any packet until the record of the
flow expires; both count as a *failure*. A target with [`EJECTION_FAILURES`]
consecutive failures, counted here and at peers, is ejected. From time to time one
instance of the cell probes it with a flow. An instance that gets an answer reports
it to its peers, which lower their count to one below ejection.
*/

use crate::time::Time;

/// Consecutive failures after which a target is ejected.
pub const EJECTION_FAILURES: u32 = 2;

/// Interval of probes to an ejected target, over all instances of a cell, in
/// milliseconds. Each failed probe delays one request.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// Answers and failures of one target. Peers' failures are the greatest recent count.
#[derive(Clone, Copy, Debug, Default)]
struct Outlier {
    own_failures: u32,
    peer_failures: u32,
    peer_failures_at: Time,
    /// When a peer last reported failures.
    last_peer_failure: Option<Time>,
    last_failure: Time,
    last_answer: Time,
    last_probe: Time,
}

impl Outlier {
    /// Whether the target answered within [`OBSERVATION_VALID_MS`].
    fn has_answered_recently(&self, now: Time) -> bool {
        self.last_answer > Time(0) && now.since(self.last_answer) < OBSERVATION_VALID_MS
    }

    /// Peers' failures, zero if their report has expired.
    fn current_peer_failures(&self, now: Time) -> u32 {
        if now.since(self.peer_failures_at) < OBSERVATION_VALID_MS { self.peer_failures } else { 0 }
    }
}

/// Time for which an answer or a peer's report about a target counts, in milliseconds.
const OBSERVATION_VALID_MS: u64 = 1_000;

/// Answers and failures by target.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    table: Vec<Outlier>,
}

impl Outliers {
    fn outlier(&mut self, target: usize) -> &mut Outlier {
        if self.table.len() <= target {
            self.table.resize(target + 1, Outlier::default());
        }
        &mut self.table[target]
    }

    /// Records an opening packet that the target did not answer.
    pub fn record_failure(&mut self, target: usize, now: Time) {
        let outlier = self.outlier(target);
        outlier.own_failures = outlier.own_failures.saturating_add(1);
        outlier.last_failure = now;
        outlier.last_probe = now;
    }

    /// Records that the target answered, which clears all failures.
    pub fn record_answer(&mut self, target: usize, now: Time) {
        let outlier = self.outlier(target);
        outlier.own_failures = 0;
        outlier.peer_failures = 0;
        outlier.last_answer = now;
    }

    /// Records the failures that a peer reported. They are ignored while the target answers
    /// this instance.
    pub fn record_peer(&mut self, target: usize, failures: u32, now: Time) {
        let outlier = self.outlier(target);
        if failures > 0 {
            outlier.last_peer_failure = Some(now);
        }
        if failures > 0 && outlier.has_answered_recently(now) {
            return;
        }
        if failures >= outlier.peer_failures || now.since(outlier.peer_failures_at) >= OBSERVATION_VALID_MS {
            outlier.peer_failures = failures;
            outlier.peer_failures_at = now;
        }
    }

    /// Records that the target recently answered a peer; the next failure ejects it again.
    pub fn record_peer_answer(&mut self, target: usize, now: Time) {
        let outlier = self.outlier(target);
        // The target may answer that peer and not this instance: recent failures stay.
        if now.since(outlier.last_failure) >= OBSERVATION_VALID_MS {
            outlier.own_failures = outlier.own_failures.min(EJECTION_FAILURES - 1);
            outlier.peer_failures = 0;
        }
    }

    /// Whether the target recently answered here while peers report failures.
    pub fn contradicts_peers(&self, target: usize, now: Time) -> bool {
        let outlier = self.table.get(target);
        outlier.is_some_and(|outlier| {
            let is_contested =
                outlier.last_peer_failure.is_some_and(|at| now.since(at) < OBSERVATION_VALID_MS);
            is_contested && outlier.has_answered_recently(now)
        })
    }

    /// Own failures.
    pub fn strikes(&self, target: usize) -> u32 {
        self.table.get(target).map_or(0, |outlier| outlier.own_failures)
    }

    /// Whether a target is ejected.
    pub fn ejects(&self, target: usize, now: Time) -> bool {
        let Some(outlier) = self.table.get(target) else {
            return false;
        };
        outlier.own_failures + outlier.current_peer_failures(now) >= EJECTION_FAILURES
    }

    /// Whether a probe of an ejected target is due, if this many instances take turns.
    pub fn may_probe(&self, target: usize, instances: usize, now: Time) -> bool {
        let interval_ms = PROBE_INTERVAL_MS * instances as u64;
        self.table.get(target).is_none_or(|outlier| now.since(outlier.last_probe) >= interval_ms)
    }

    /// Records that a flow probes the target.
    pub fn record_probe(&mut self, target: usize, now: Time) {
        self.outlier(target).last_probe = now;
    }

    /// Clears the state of a target.
    pub fn reset(&mut self, target: usize) {
        *self.outlier(target) = Outlier::default();
    }
}
