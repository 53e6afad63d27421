/*!
Flows that this instance placed, counted while they probably load a target.

The table only counts load. Packets after the first are forwarded by their token,
so a lost record does no harm, but a record must not outlive its flow by much.

When the network fabric rehashes flows to other instances, those see the ends and
this instance does not. [`MoveDetector`] infers this from ends of flows that were not
placed here; the records of that time then expire after the usual length of a
flow. Otherwise a record is kept until its end is seen: growing queues make flows
last longer, and those flows must stay in the count.
*/

use std::{collections::HashMap, net::SocketAddrV4};

use crate::{hash, time::Time};

/// Identifies a flow by the addresses of both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowKey(u64);

impl FlowKey {
    /// Key of a flow between two addresses.
    pub fn of(client: SocketAddrV4, address: SocketAddrV4) -> FlowKey {
        let ends = |end: SocketAddrV4| (u64::from(u32::from(*end.ip())) << 16) | u64::from(end.port());
        FlowKey(hash::pair(ends(client), ends(address)))
    }

    /// Evenly distributed bits of the key.
    pub fn bits(self) -> u64 {
        self.0
    }
}

/// Flow placed by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Target's index.
    pub target: usize,
    /// When its opening packet was forwarded.
    pub opened: Time,
    /// When it last carried an opening packet or a request.
    pub last_active: Time,
    /// Whether the client has gone on after the target's answer.
    pub is_open: bool,
    /// Whether the target was idle when the flow was placed, so that the flow's duration
    /// is a sample of the service time without queueing.
    pub is_sample: bool,
    /// Whether it counts as load: from its opening or a request until it expires.
    pub is_counted: bool,
    /// When it stops counting as load or, if it does not count, is removed.
    pub expires: Time,
}

/// Flow that expired before its end was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// Key.
    pub key: FlowKey,
    /// Record.
    pub flow: Flow,
}

/// Records of flows.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    table: HashMap<FlowKey, Flow>,
}

impl Flows {
    /// Returns the record of a flow.
    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.table.get(&key)
    }

    /// Returns the record of a flow for changes.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.table.get_mut(&key)
    }

    /// Adds a record; returns the one that it replaces.
    pub fn insert(&mut self, key: FlowKey, flow: Flow) -> Option<Flow> {
        self.table.insert(key, flow)
    }

    /// Removes a record.
    pub fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        self.table.remove(&key)
    }

    /// Expires records. Open flows stay in the table for `retention_ms` without counting,
    /// as further requests may follow; others are removed. Returns the flows that no longer
    /// count.
    pub fn expire(&mut self, now: Time, retention_ms: u64) -> Vec<Expired> {
        let mut ended = Vec::new();
        self.table.retain(|key, flow| {
            if flow.expires > now {
                return true;
            }
            if !flow.is_counted {
                return false;
            }
            ended.push(Expired { key: *key, flow: flow.clone() });
            flow.is_counted = false;
            flow.expires = now + retention_ms;
            flow.is_open
        });
        ended
    }

    /// Limits the expiry of all counted flows to a time.
    pub fn limit_expiry(&mut self, limit: Time) {
        for flow in self.table.values_mut().filter(|flow| flow.is_counted) {
            flow.expires = flow.expires.min(limit);
        }
    }

    /// Removes all records, as after a pause of the process.
    pub fn clear(&mut self) {
        self.table.clear();
    }

    /// Number of counted flows.
    pub fn len(&self) -> usize {
        self.table.values().filter(|flow| flow.is_counted).count()
    }

    /// Whether no flow is counted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Detects from the ends of flows whether the fabric has moved flows between instances.
#[derive(Clone, Debug, Default)]
pub struct MoveDetector {
    since: Time,
    own_ends: u32,
    foreign_ends: u32,
    /// Mean number of ends in a slice.
    mean_ends: f32,
}

/// Length of a time slice, in milliseconds.
const SLICE_MS: u64 = 100;

/// Largest number of foreign ends in a slice that is required to report a move.
const MAX_FOREIGN_ENDS: u32 = 3;

/// Foreign ends that are required, as a share of the mean number of ends in a slice, as
/// an instance of a large fleet sees few.
const FOREIGN_END_SHARE: f32 = 0.5;

/// Weight of a new slice in the exponential moving average of ends.
const SLICE_WEIGHT: f32 = 0.05;

impl MoveDetector {
    /// Records the end of a flow, and whether this instance placed it.
    pub fn record_end(&mut self, is_own: bool) {
        match is_own {
            true => self.own_ends += 1,
            false => self.foreign_ends += 1,
        }
    }

    /// Ends a slice if it is due; returns whether flows were moved in it.
    pub fn tick(&mut self, now: Time) -> bool {
        if now.since(self.since) < SLICE_MS {
            return false;
        }
        let threshold = ((FOREIGN_END_SHARE * self.mean_ends) as u32).clamp(1, MAX_FOREIGN_ENDS);
        let moved = self.foreign_ends >= threshold && 2 * self.foreign_ends > self.own_ends;
        let mean_ends =
            self.mean_ends + SLICE_WEIGHT * ((self.own_ends + self.foreign_ends) as f32 - self.mean_ends);
        *self = MoveDetector { since: now, mean_ends, ..MoveDetector::default() };
        moved
    }
}
