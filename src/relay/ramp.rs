/*!
Ramp-up of targets that have just started or recovered: how many requests such a target
gets at a time, found from how it answers.

The load that this answers is a target that comes back with no requests among busy ones. It
seems to be the best choice, so every instance sends its flows there, although its work may
still take longer, or it may fail again. The opposite fault is a target that works well and
is left idle for a fixed time.

An instance sees the client's packets only. An acknowledgement of answer bytes, the next
request or the close of the flow shows the time to the answer. A retransmitted opening packet,
a flow that the client does not go on with, or a reset before the answer shows a failure. A
close does not tell an answer from an error, but errors come quickly: an answer in a fraction
of the expected time proves nothing.

The limit counts the requests of all instances of the cell, whose running flows are known from
their reports. Each instance keeps its own estimate. An answer that it sees stands for one at
each instance of the cell, so estimates grow about as fast as the cell gets answers. Rises and
falls of the failures that peers report count as failures and answers too. So the limit needs
no message of its own.

Slow answers do not decrease the limit below one: the target serves, and placement knows its
service time. A limit below one means that it fails, and that it gets single trials only, until
it answers. Trials go on at intervals of
at most [`MAX_TRIAL_INTERVAL_MS`], so that a target that is well again is found.

# Example

```
use ragwortlb::{relay::ramp::{Ramp, Start}, time::Time};

let mut ramp = Ramp::default();
assert_eq!(ramp.limit(3, 2.0), 2.0, "no ramp");
ramp.record_start(3, Start::Fresh, Time(1_000));
assert_eq!(ramp.limit(3, 2.0), 1.0);
for now in [1_050, 1_100] {
    ramp.record_answer(3, 50, 50.0, 6, Time(now));
}
assert_eq!(ramp.end_completed(3, 2.0, Time(1_100)), Some(100));
assert_eq!(ramp.limit(3, 2.0), 2.0);
```
*/

use std::collections::BTreeMap;

use super::load::PeerId;
use crate::time::Time;

/// Requests at a time of a target that has just started. Fewer would leave it to trials.
const FRESH_LIMIT: f32 = 1.0;

/// Limit of a target that was ejected again shortly after its last recovery. Its next failure
/// would delay a flow, so it has to answer a trial first.
const UNSTABLE_LIMIT: f32 = 0.5;

/// Time from one recovery to the next within which a target counts as unstable, in
/// milliseconds.
const UNSTABLE_MS: u64 = 10_000;

/// Lowest limit. Trials are at their longest interval there.
const MIN_LIMIT: f32 = 0.125;

/// Largest ratio of an answer's time to the expected one with which the limit grows. Service
/// times vary by half around their mean, and the ratio allows for a queue at the target.
const IN_TIME_FACTOR: f32 = 2.0;

/// Ratio from which on the limit decreases.
const SLOW_FACTOR: f32 = 3.0;

/// Ratio below which an answer may be an error rather than the result of work.
const ERROR_FACTOR: f32 = 0.25;

/// Growth of the limit with each answer that the cell gets in time.
const GROWTH: f32 = 0.25;

/// Largest growth with one answer, as a share of the limit: an answer at a low limit does not
/// show that the target bears a much higher one.
const MAX_GROWTH_SHARE: f32 = 0.5;

/// Factor on the limit with each slow answer, down to one. Some requests take long at any
/// target, so that it is milder than with a failure.
const SLOW_DECREASE: f32 = 0.75;

/// Factor on the limit with each failure.
const FAILURE_DECREASE: f32 = 0.5;

/// Time within which several failures count once, in milliseconds: clients retransmit
/// their opening packets after 200 ms, so that failures of one moment arrive within it.
const FAILURE_INTERVAL_MS: u64 = 100;

/// Interval of trials at a limit of one, over all instances of a cell, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 250;

/// Longest interval of trials over all instances of a cell, in milliseconds.
pub const MAX_TRIAL_INTERVAL_MS: u64 = 1_000;

/// Why a target gets a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It has started, or the evacuation of its zone has ended.
    Fresh,
    /// Its ejection has ended.
    Recovered,
}

/// Ramp of one target.
#[derive(Clone, Debug)]
struct Estimate {
    limit: f32,
    started: Time,
    last_failure: Option<Time>,
    /// Consecutive slow answers.
    slow_answers: u32,
    /// When this instance last sent a request.
    last_use: Time,
    /// Failures in the last report of each peer, unless zero.
    peer_failures: Vec<(PeerId, u32)>,
}

/// Ramps by target.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    estimates: BTreeMap<usize, Estimate>,
    /// Last ends of ejections.
    recoveries: BTreeMap<usize, Time>,
}

impl Ramp {
    /// Starts a ramp; returns whether the target had none. One that has a ramp keeps its limit
    /// if that is lower.
    pub fn record_start(&mut self, target: usize, start: Start, now: Time) -> bool {
        let limit = match start {
            Start::Fresh => FRESH_LIMIT,
            Start::Recovered => {
                let former = self.recoveries.insert(target, now);
                let is_unstable = former.is_some_and(|former| now.since(former) < UNSTABLE_MS);
                if is_unstable { UNSTABLE_LIMIT } else { FRESH_LIMIT }
            }
        };
        if let Some(estimate) = self.estimates.get_mut(&target) {
            // A new incarnation owes nothing to the failures of the former one.
            estimate.limit = if start == Start::Fresh { limit } else { estimate.limit.min(limit) };
            return false;
        }
        let estimate = Estimate {
            limit,
            started: now,
            last_failure: None,
            slow_answers: 0,
            last_use: now,
            peer_failures: Vec::new(),
        };
        self.estimates.insert(target, estimate);
        true
    }

    /// Whether a target has a ramp.
    pub fn is_active(&self, target: usize) -> bool {
        self.estimates.contains_key(&target)
    }

    /// Number of targets that have a ramp.
    pub fn active(&self) -> usize {
        self.estimates.len()
    }

    /// Requests at a time that a target gets from all instances of the cell: its slots if it
    /// has no ramp. Below one it gets trials only.
    pub fn limit(&self, target: usize, slots: f32) -> f32 {
        self.estimates.get(&target).map_or(slots, |estimate| estimate.limit.min(slots))
    }

    /// Records an answer to a client of this instance, one of `instances` in the cell.
    pub fn record_answer(
        &mut self,
        target: usize,
        time_ms: u64,
        expected_ms: f32,
        instances: usize,
        now: Time,
    ) {
        let Some(estimate) = self.estimates.get_mut(&target) else {
            return;
        };
        let ratio = time_ms as f32 / expected_ms.max(1.0);
        if ratio >= SLOW_FACTOR {
            estimate.slow_answers += 1;
            estimate.limit = match estimate.limit < 1.0 {
                true => (2.0 * estimate.limit).min(1.0),
                false => (estimate.limit * SLOW_DECREASE).max(1.0),
            };
            return;
        }
        // The request may be from before the failure.
        let is_older = estimate.last_failure.is_some_and(|failed| now.since(failed) < time_ms);
        if !(ERROR_FACTOR..=IN_TIME_FACTOR).contains(&ratio) || is_older {
            return;
        }
        estimate.slow_answers = 0;
        estimate.limit += match estimate.limit < 1.0 {
            true => estimate.limit,
            false => (GROWTH * instances as f32).min(MAX_GROWTH_SHARE * estimate.limit),
        };
    }

    /// Records a request that the target did not answer.
    pub fn record_failure(&mut self, target: usize, now: Time) {
        let Some(estimate) = self.estimates.get_mut(&target) else {
            return;
        };
        if estimate.last_failure.is_none_or(|failed| now.since(failed) >= FAILURE_INTERVAL_MS) {
            estimate.limit = (estimate.limit * FAILURE_DECREASE).max(MIN_LIMIT);
            estimate.last_failure = Some(now);
        }
    }

    /// Records the failures that a peer counts at a target: more than before are failures, none
    /// after some are an answer.
    pub fn record_peer(&mut self, target: usize, peer: PeerId, failures: u32, now: Time) {
        let Some(estimate) = self.estimates.get_mut(&target) else {
            return;
        };
        let known = estimate.peer_failures.iter().position(|(known, _)| *known == peer);
        let former = known.map_or(0, |known| estimate.peer_failures[known].1);
        match (known, failures) {
            (Some(known), 0) => drop(estimate.peer_failures.swap_remove(known)),
            (Some(known), _) => estimate.peer_failures[known].1 = failures,
            (None, 0) => {}
            (None, _) => estimate.peer_failures.push((peer, failures)),
        }
        if failures == 0 && former > 0 && estimate.limit < 1.0 {
            estimate.limit *= 2.0;
        }
        if failures > former {
            self.record_failure(target, now);
        }
    }

    /// Records that this instance sends a request to a target.
    pub fn record_use(&mut self, target: usize, now: Time) {
        if let Some(estimate) = self.estimates.get_mut(&target) {
            estimate.last_use = now;
        }
    }

    /// Whether a target is due for a trial by this instance, one of `instances` that take turns.
    pub fn is_trial_due(&self, target: usize, instances: usize, now: Time) -> bool {
        self.estimates.get(&target).is_some_and(|estimate| {
            // A slow trial may come too late for its caller.
            let slow = (1 << estimate.slow_answers.min(2)) as f32;
            let interval_ms = (TRIAL_INTERVAL_MS as f32 * slow.max(1.0 / estimate.limit)) as u64;
            let interval_ms = interval_ms.clamp(TRIAL_INTERVAL_MS, MAX_TRIAL_INTERVAL_MS);
            now.since(estimate.last_use) >= interval_ms * instances as u64
        })
    }

    /// Ends the ramp of a target that has reached its slots; returns its duration in
    /// milliseconds.
    pub fn end_completed(&mut self, target: usize, slots: f32, now: Time) -> Option<u64> {
        let estimate = self.estimates.get(&target).filter(|estimate| estimate.limit >= slots)?;
        let duration_ms = now.since(estimate.started);
        self.estimates.remove(&target);
        Some(duration_ms)
    }

    /// Removes the ramp of a target that has ended.
    pub fn remove(&mut self, target: usize) {
        self.estimates.remove(&target);
        self.recoveries.remove(&target);
    }

    /// Targets that have a ramp.
    pub fn targets(&self) -> impl Iterator<Item = usize> {
        self.estimates.keys().copied()
    }
}
