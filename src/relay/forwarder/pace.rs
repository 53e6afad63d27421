//! Ramps of targets: when they start and end, what they limit, and which targets get trials.

use super::{Forwarder, Notice};
use crate::{
    relay::{
        catalog::{State, Target},
        placement::Candidate,
        ramp::Start,
    },
    time::Time,
};

/// How far ramps limit the candidates of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Limits {
    /// Each target up to its limit; targets that get trials only are no candidates.
    Full,
    /// Targets that get trials only are no candidates, others have all their slots.
    TrialsOnly,
    /// None.
    Lifted,
}

impl Forwarder {
    /// Whether targets of a service get ramps: the plan states that they need time to warm up.
    fn has_ramps(&self, service: usize) -> bool {
        self.catalog.warm_up(service).time_ms > 0
    }

    /// Starts the ramp of a target. An instance without a complete list of targets cannot tell
    /// those that have just started from all others.
    pub(super) fn start_ramp(&mut self, index: usize, start: Start, now: Time) {
        let Some(target) = self.catalog.target(index) else {
            return;
        };
        if !self.has_ramps(target.service) || !self.catalog.revision().is_some() {
            return;
        }
        let target = target.record.entry.name.clone();
        if self.ramp.record_start(index, start, now) {
            self.notices.push(Notice::RampStarted { target });
        }
    }

    /// Starts the ramp of a target whose ejection has ended since the last call.
    pub(super) fn update_ejected(&mut self, index: usize, now: Time) {
        if self.ejected.len() <= index {
            self.ejected.resize(index + 1, false);
        }
        let is_ejected = self.outliers.ejects(index, now);
        if std::mem::replace(&mut self.ejected[index], is_ejected) && !is_ejected {
            self.start_ramp(index, Start::Recovered, now);
        }
    }

    /// Records a request that a target did not answer.
    pub(super) fn note_failure(&mut self, index: usize, now: Time) {
        self.outliers.record_failure(index, now);
        self.ramp.record_failure(index, now);
        self.update_ejected(index, now);
    }

    /// Records the time to an answer.
    pub(super) fn record_answer_time(&mut self, index: usize, service: usize, time_ms: u64, now: Time) {
        if !self.ramp.is_active(index) {
            return;
        }
        let (expected_ms, instances) = (self.loads.mean_ms(service), self.peers.cell_peers() + 1);
        self.ramp.record_answer(index, time_ms, expected_ms, instances, now);
        self.end_ramp(index, now);
    }

    /// Ends the ramp of a target that has reached its slots.
    fn end_ramp(&mut self, index: usize, now: Time) {
        let Some(target) = self.catalog.target(index) else {
            return self.ramp.remove(index);
        };
        let (name, slots) = (target.record.entry.name.clone(), target.record.entry.slots as f32);
        if let Some(duration_ms) = self.ramp.end_completed(index, slots, now) {
            // Samples of its slow time would keep new flows away for long.
            self.loads.reset(index);
            self.notices.push(Notice::RampEnded { target: name, duration_ms });
        }
    }

    /// Updates all ramps: ejections may end without a packet, targets may end, and a plan may
    /// take away the warm-up time.
    pub(super) fn update_ramps(&mut self, now: Time) {
        for index in 0..self.catalog.size() {
            self.update_ejected(index, now);
        }
        let targets: Vec<_> = self.ramp.targets().collect();
        for index in targets {
            let target = self.catalog.target(index);
            let has_ended = target.is_none_or(|target| target.record.state == State::Gone);
            if has_ended || target.is_some_and(|target| !self.has_ramps(target.service)) {
                self.ramp.remove(index);
            }
        }
    }

    /// Slots of a target as placement uses them; none if it gets trials only.
    pub(super) fn ramp_slots(&self, index: usize, slots: f32, limits: Limits) -> Option<f32> {
        let limit = self.ramp.limit(index, slots);
        match limits {
            Limits::Lifted => Some(slots),
            Limits::Full | Limits::TrialsOnly if limit < 1.0 => None,
            Limits::TrialsOnly => Some(slots),
            Limits::Full => Some(limit),
        }
    }

    /// Whether the service time of a target is assumed to be longer. With ramps it is assumed
    /// only until the target has shown what it does.
    pub(super) fn is_warming_up(&self, now: Time, index: usize, target: &Target) -> bool {
        now < target.warmed_up_at && (!self.has_ramps(target.service) || self.ramp.is_active(index))
    }

    /// Whether ramps limit all candidates that are not ejected.
    pub(super) fn are_all_limited(&self, candidates: &[Candidate]) -> bool {
        let mut healthy = candidates.iter().filter(|candidate| !candidate.is_ejected);
        self.ramp.active() > 0 && healthy.all(|candidate| self.ramp.is_active(candidate.target))
    }

    /// Target of a service that has had no request for long and is due for a trial, so that it
    /// shows whether it is well.
    pub(super) fn trial_target(&mut self, now: Time, service: usize, avoid: Option<usize>) -> Option<usize> {
        if self.ramp.active() == 0 {
            return None;
        }
        let instances = self.peers.cell_peers() + 1;
        self.cell_targets(service).iter().copied().find(|index| {
            Some(*index) != avoid
                && self.ramp.is_trial_due(*index, instances, now)
                && self.loads.running(*index) == 0
                && !self.outliers.ejects(*index, now)
                && self.catalog.target(*index).is_some_and(|target| {
                    target.record.state == State::Ready
                        && self.needs_trial(now, *index, target)
                        && self.catalog.takes_new(target)
                        && self.admits_new_cold(now, *index, target)
                })
        })
    }

    /// Whether a target is to be tried although others are the better choice. During its stated
    /// warm-up time it is known to be slower, and placement uses it when it is needed.
    fn needs_trial(&self, now: Time, index: usize, target: &Target) -> bool {
        now >= target.warmed_up_at || self.ramp.limit(index, target.record.entry.slots as f32) < 1.0
    }

    /// Number of targets that have a ramp.
    pub fn ramping_targets(&self) -> usize {
        self.ramp.active()
    }
}
