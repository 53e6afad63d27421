/*!
Load and service time of each target.

A flow loads its target only while a request of it runs there, so running and idle
flows are counted apart (see [`super::flows`]). The running flows tell how long a
request that starts now has to wait. The idle ones tell where further requests will
arrive.

Each instance sees only its own flows, so instances report to each other how many
flows they have at each target. A report expires soon: a peer that stops reporting
has stopped placing flows, and its requests end within a few hundred milliseconds.

The service time of a target is the mean time to the answer of requests that arrived
while it had a free slot. Its ratio to the mean of the service reveals a slow target
without a health check.
*/

use std::collections::HashMap;

use super::flows::Activity;
use crate::time::Time;

/// Time after which a report from the same cell expires, in milliseconds: three unchanged
/// reports, and longer than most flows take.
pub const REPORT_VALID_MS: u64 = 250;

/// Weight of a new sample in an exponential moving average.
const SAMPLE_WEIGHT: f32 = 0.1;

/// Mean service time before the first samples, in milliseconds.
const INITIAL_MEAN_MS: f32 = 60.0;

/// Largest growth of a service's mean within [`MEAN_GROWTH_INTERVAL_MS`]. The work does
/// not change faster; a steeper rise comes from queues that this instance cannot see.
const MAX_MEAN_GROWTH: f32 = 1.05;

/// Interval in which a service's mean may grow by [`MAX_MEAN_GROWTH`], in milliseconds.
const MEAN_GROWTH_INTERVAL_MS: u64 = 1_000;

/// Samples that are required before a mean is used.
const MIN_SAMPLES: u32 = 5;

/// Most flows that a peer may report for one target, so that sums do not overflow.
pub const MAX_REPORTED_FLOWS: u32 = 1 << 20;

/// Identifies a peer by the hash of its name.
pub type PeerId = u64;

/// Load that a peer reports for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Index of the target in this instance's catalog.
    pub target: usize,
    /// Flows of the peer with a request there.
    pub running: u32,
    /// Flows of the peer that are idle there.
    pub idle: u32,
}

impl Report {
    /// Flows of the peer there.
    fn flows(self) -> u32 {
        self.running + self.idle
    }
}

#[derive(Clone, Debug, Default)]
struct PeerReport {
    /// When it expires.
    valid_until: Time,
    reports: Vec<Report>,
}

impl PeerReport {
    /// Takes the flows of this report out of the counts that they were added to.
    fn subtract_from(&self, counts: &mut [Count]) {
        for report in &self.reports {
            let count = &mut counts[report.target];
            count.peers_running -= report.running;
            count.peers_flows -= report.flows();
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    mean_ms: f32,
    samples: u32,
}

impl Default for ServiceTime {
    fn default() -> ServiceTime {
        ServiceTime { mean_ms: INITIAL_MEAN_MS, samples: 0 }
    }
}

impl ServiceTime {
    fn add(&mut self, time_ms: f32) {
        self.samples = self.samples.saturating_add(1);
        let share = SAMPLE_WEIGHT.max(1.0 / self.samples as f32);
        self.mean_ms += share * (time_ms - self.mean_ms);
    }
}

/// Service times of a service's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// Recent mean, the reference for the means of targets.
    recent: ServiceTime,
    /// Mean with limited growth.
    clamped_ms: Option<f32>,
    ceiling_ms: f32,
    ceiling_raised: Time,
}

impl Baseline {
    fn add(&mut self, time_ms: f32, now: Time) {
        self.recent.add(time_ms);
        if self.recent.samples < MIN_SAMPLES {
            return;
        }
        let recent_ms = self.recent.mean_ms;
        let clamped_ms = self.clamped_ms.unwrap_or(recent_ms);
        if self.clamped_ms.is_none() || now.since(self.ceiling_raised) >= MEAN_GROWTH_INTERVAL_MS {
            self.ceiling_ms = clamped_ms * MAX_MEAN_GROWTH;
            self.ceiling_raised = now;
        }
        self.clamped_ms = Some(recent_ms.min(self.ceiling_ms));
    }
}

/// Flows of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// Own flows with a request there.
    running: u32,
    /// Own idle flows.
    idle: u32,
    /// Flows of peers with a request there.
    peers_running: u32,
    /// All flows of peers.
    peers_flows: u32,
}

/// Flows and mean service times by target.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    counts: Vec<Count>,
    peer_reports: HashMap<PeerId, PeerReport>,
    service_times: Vec<ServiceTime>,
    services: HashMap<usize, Baseline>,
}

impl Loads {
    /// Grows the tables to a number of targets.
    pub fn resize(&mut self, targets: usize) {
        self.counts.resize(targets, Count::default());
        self.service_times.resize(targets, ServiceTime::default());
    }

    fn count(&self, target: usize) -> Count {
        self.counts.get(target).copied().unwrap_or_default()
    }

    /// Own flows with a request at a target.
    pub fn own_running(&self, target: usize) -> u32 {
        self.count(target).running
    }

    /// Own idle flows of a target.
    pub fn own_idle(&self, target: usize) -> u32 {
        self.count(target).idle
    }

    /// Flows with a request at a target, own and reported.
    pub fn running(&self, target: usize) -> u32 {
        let count = self.count(target);
        count.running + count.peers_running
    }

    /// All flows of a target, running or idle, own and reported.
    pub fn flows(&self, target: usize) -> u32 {
        let count = self.count(target);
        count.running + count.idle + count.peers_flows
    }

    /// Counts an own flow.
    pub fn add(&mut self, target: usize, activity: Activity) {
        self.resize(self.counts.len().max(target + 1));
        let count = &mut self.counts[target];
        match activity.is_running() {
            true => count.running += 1,
            false => count.idle += 1,
        }
    }

    /// Ends the count of an own flow.
    pub fn remove(&mut self, target: usize, activity: Activity) {
        let Some(count) = self.counts.get_mut(target) else {
            return;
        };
        let flows = if activity.is_running() { &mut count.running } else { &mut count.idle };
        // Zero if the counts were cleared while the flow was open.
        *flows = flows.saturating_sub(1);
    }

    /// Removes own flows and reports, as after a pause of the process.
    pub fn clear(&mut self) {
        self.counts.fill(Count::default());
        self.peer_reports.clear();
    }

    /// Removes the samples of a target, as a new incarnation has started.
    pub fn reset(&mut self, target: usize) {
        self.resize(self.counts.len().max(target + 1));
        self.service_times[target] = ServiceTime::default();
    }

    /// Replaces the report of a peer.
    pub fn report(&mut self, peer: PeerId, reports: Vec<Report>, valid_until: Time) {
        if let Some(max_target) = reports.iter().map(|report| report.target).max() {
            self.resize(self.counts.len().max(max_target + 1));
        }
        for report in &reports {
            let count = &mut self.counts[report.target];
            count.peers_running += report.running;
            count.peers_flows += report.flows();
        }
        if let Some(former) = self.peer_reports.insert(peer, PeerReport { valid_until, reports }) {
            former.subtract_from(&mut self.counts);
        }
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Time) {
        for (_, expired) in self.peer_reports.extract_if(|_, report| report.valid_until <= now) {
            expired.subtract_from(&mut self.counts);
        }
    }

    /// Number of peers with a valid report.
    pub fn peers(&self) -> usize {
        self.peer_reports.len()
    }

    /// Adds the service time of a request that arrived while its target had a free slot.
    pub fn sample(&mut self, target: usize, service: usize, time_ms: u64, now: Time) {
        self.resize(self.counts.len().max(target + 1));
        self.service_times[target].add(time_ms as f32);
        self.services.entry(service).or_default().add(time_ms as f32, now);
    }

    /// Mean service time of a service's requests, in milliseconds, with limited growth.
    pub fn mean_ms(&self, service: usize) -> f32 {
        self.services.get(&service).and_then(|baseline| baseline.clamped_ms).unwrap_or(INITIAL_MEAN_MS)
    }

    /// Ratio of a target's mean service time to that of its service; one while unknown.
    pub fn slowness(&self, target: usize, service: usize) -> f32 {
        match (self.service_times.get(target), self.services.get(&service)) {
            (Some(service_time), Some(baseline)) if service_time.samples >= MIN_SAMPLES => {
                service_time.mean_ms / baseline.recent.mean_ms.max(1.0)
            }
            _ => 1.0,
        }
    }
}
