/*!
Open flows of each target: own ones, and those that peers report.

Each instance sees only its own flows, so it tells its peers how many it has
open at each target. A report counts while it is fresh: a peer that falls
silent has stopped placing flows, and those that it placed end within a few
hundred milliseconds.

A target's *pace* is the mean time of flows that found it idle. It is learned
here from flows' ends and compared with that of its service, so that a slow
target shows without a health check.
*/

use std::collections::HashMap;

use crate::time::Time;

/// Age from which a report of an instance of the same cell no longer counts, in
/// milliseconds: ten reports missed, and longer than most flows take.
pub const REPORT_LIFE_MS: u64 = 250;

/// Share that a new sample has in a mean.
const SAMPLE_SHARE: f32 = 0.1;

/// Mean time of a flow before any was measured, in milliseconds.
const FIRST_MEAN_MS: f32 = 60.0;

/// Growth of a service's mean time that is believed within a second. Work does not
/// change faster, but queues that this instance cannot see do.
const BELIEVED_GROWTH: f32 = 1.05;

/// Length of the time in which the mean may grow by that, in milliseconds.
const GROWTH_MS: u64 = 1_000;

/// Samples from which on a target's own mean is believed.
const ENOUGH_SAMPLES: u32 = 5;

/// Peer, by the hash of its name.
pub type Peer = u64;

/// What a peer reports of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Target's index here.
    pub target: usize,
    /// Flows that the peer has open there.
    pub open: u32,
}

#[derive(Clone, Debug, Default)]
struct View {
    /// Until when it counts.
    until: Time,
    reports: Vec<Report>,
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    mean_ms: f32,
    samples: u32,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { mean_ms: FIRST_MEAN_MS, samples: 0 }
    }
}

impl Pace {
    fn add(&mut self, time_ms: f32) {
        self.samples = self.samples.saturating_add(1);
        let share = SAMPLE_SHARE.max(1.0 / self.samples as f32);
        self.mean_ms += share * (time_ms - self.mean_ms);
    }
}

/// Times of a service's flows.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    /// Recent mean, which paces of targets are compared with.
    recent: Pace,
    /// Mean that grows slowly.
    believed_ms: Option<f32>,
    ceiling_ms: f32,
    raised: Time,
}

impl Usual {
    fn add(&mut self, time_ms: f32, now: Time) {
        self.recent.add(time_ms);
        if self.recent.samples < ENOUGH_SAMPLES {
            return;
        }
        let recent_ms = self.recent.mean_ms;
        let believed_ms = self.believed_ms.unwrap_or(recent_ms);
        if self.believed_ms.is_none() || now.since(self.raised) >= GROWTH_MS {
            self.ceiling_ms = believed_ms * BELIEVED_GROWTH;
            self.raised = now;
        }
        self.believed_ms = Some(recent_ms.min(self.ceiling_ms));
    }
}

/// Open flows and paces of targets.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: Vec<u32>,
    others: Vec<u32>,
    views: HashMap<Peer, View>,
    paces: Vec<Pace>,
    services: HashMap<usize, Usual>,
}

impl Loads {
    /// Makes room for targets.
    pub fn resize(&mut self, targets: usize) {
        self.own.resize(targets, 0);
        self.others.resize(targets, 0);
        self.paces.resize(targets, Pace::default());
    }

    /// Own open flows at a target.
    pub fn own(&self, target: usize) -> u32 {
        self.own.get(target).copied().unwrap_or(0)
    }

    /// Open flows at a target, of all instances that report.
    pub fn all(&self, target: usize) -> u32 {
        self.own(target) + self.others.get(target).copied().unwrap_or(0)
    }

    /// Counts an own flow that starts.
    pub fn start(&mut self, target: usize) {
        self.resize(self.own.len().max(target + 1));
        self.own[target] += 1;
    }

    /// Counts an own flow that ends.
    pub fn end(&mut self, target: usize) {
        if let Some(own) = self.own.get_mut(target) {
            *own = own.saturating_sub(1);
        }
    }

    /// Forgets own flows and reports, as after a pause.
    pub fn clear(&mut self) {
        self.own.fill(0);
        self.views.clear();
        self.add_up();
    }

    /// Forgets what was measured of a target, as another life starts there.
    pub fn reset(&mut self, target: usize) {
        self.resize(self.own.len().max(target + 1));
        self.paces[target] = Pace::default();
    }

    /// Takes a peer's report in place of its last one; it counts until a time.
    pub fn report(&mut self, peer: Peer, reports: Vec<Report>, until: Time) {
        if let Some(most) = reports.iter().map(|report| report.target).max() {
            self.resize(self.own.len().max(most + 1));
        }
        self.views.insert(peer, View { until, reports });
        self.add_up();
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Time) {
        let before = self.views.len();
        self.views.retain(|_, view| view.until > now);
        if self.views.len() != before {
            self.add_up();
        }
    }

    /// Peers whose reports count.
    pub fn peers(&self) -> usize {
        self.views.len()
    }

    fn add_up(&mut self) {
        self.others.fill(0);
        for report in self.views.values().flat_map(|view| &view.reports) {
            self.others[report.target] += report.open;
        }
    }

    /// Adds the time of a flow that found its target idle.
    pub fn sample(&mut self, target: usize, service: usize, time_ms: u64, now: Time) {
        self.resize(self.own.len().max(target + 1));
        self.paces[target].add(time_ms as f32);
        self.services.entry(service).or_default().add(time_ms as f32, now);
    }

    /// Mean time of flows of a service, in milliseconds.
    pub fn mean_ms(&self, service: usize) -> f32 {
        self.services.get(&service).and_then(|usual| usual.believed_ms).unwrap_or(FIRST_MEAN_MS)
    }

    /// Mean time at a target against that of its service.
    pub fn slowness(&self, target: usize, service: usize) -> f32 {
        match (self.paces.get(target), self.services.get(&service)) {
            (Some(pace), Some(usual)) if pace.samples >= ENOUGH_SAMPLES => {
                pace.mean_ms / usual.recent.mean_ms.max(1.0)
            }
            _ => 1.0,
        }
    }
}
