/*!
Flows that this instance placed, for as long as they are likely to keep a target
at work.

The table counts work and routes nothing: a packet after the first goes where
its token says. So a record may be lost without harm, and must not outlive its
flow by much. When the fabric moves flows to other instances, their ends are seen
there and not here. [`Shift`] notices that, as ends of flows are then seen that
were not placed here; the records of that time are kept for the usual time of a
flow only. Otherwise a record lasts until the end is seen, as a queue that grows
makes flows take longer and must not make them vanish from the count.
*/

use std::{collections::HashMap, net::SocketAddrV4};

use crate::{hash, time::Time};

/// Key of a flow: both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(u64);

impl Key {
    /// Key of a flow's ends.
    pub fn of(client: SocketAddrV4, address: SocketAddrV4) -> Key {
        let ends = |end: SocketAddrV4| (u64::from(u32::from(*end.ip())) << 16) | u64::from(end.port());
        Key(hash::pair(ends(client), ends(address)))
    }

    /// Bits of the key, spread evenly.
    pub fn bits(self) -> u64 {
        self.0
    }
}

/// Flow that may keep a target at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Target's index.
    pub target: usize,
    /// When its opening packet was sent on.
    pub opened: Time,
    /// When it last carried a request or an opening packet.
    pub active: Time,
    /// Whether the client has answered the target.
    pub is_open: bool,
    /// Whether the target looked idle when the flow was placed there, so that its
    /// time shows the target and not a queue.
    pub is_sample: bool,
    /// Whether it counts: from its opening or a request on, for a time.
    pub counts: bool,
    /// Until when it counts, or is remembered if it does not.
    pub expires: Time,
}

/// Flow whose record ended without its end being seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// Key.
    pub key: Key,
    /// Record.
    pub flow: Flow,
}

/// Records of flows.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    table: HashMap<Key, Flow>,
}

impl Flows {
    /// Record of a flow.
    pub fn get(&self, key: Key) -> Option<&Flow> {
        self.table.get(&key)
    }

    /// Record of a flow, to change.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Flow> {
        self.table.get_mut(&key)
    }

    /// Adds a record; returns the one that it replaces.
    pub fn insert(&mut self, key: Key, flow: Flow) -> Option<Flow> {
        self.table.insert(key, flow)
    }

    /// Ends a record.
    pub fn remove(&mut self, key: Key) -> Option<Flow> {
        self.table.remove(&key)
    }

    /// Ends the time of records: those of open flows are remembered for `remember_ms`,
    /// as further requests may come, the others are forgotten. Returns the flows that
    /// count no longer.
    pub fn expire(&mut self, now: Time, remember_ms: u64) -> Vec<Expired> {
        let mut ended = Vec::new();
        self.table.retain(|key, flow| {
            if flow.expires > now {
                return true;
            }
            if !flow.counts {
                return false;
            }
            ended.push(Expired { key: *key, flow: flow.clone() });
            flow.counts = false;
            flow.expires = now + remember_ms;
            flow.is_open
        });
        ended
    }

    /// Lets no record that exists now count beyond a time.
    pub fn shorten(&mut self, limit: Time) {
        for flow in self.table.values_mut().filter(|flow| flow.counts) {
            flow.expires = flow.expires.min(limit);
        }
    }

    /// Ends all records, as after a pause.
    pub fn clear(&mut self) {
        self.table.clear();
    }

    /// Number of flows that count.
    pub fn len(&self) -> usize {
        self.table.values().filter(|flow| flow.counts).count()
    }

    /// Reports whether no flow counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Ends in a row of time slices that show whether the fabric has moved flows.
#[derive(Clone, Debug, Default)]
pub struct Shift {
    since: Time,
    own: u32,
    foreign: u32,
    /// Mean number of ends in a slice.
    usual: f32,
}

/// Length of a time slice, in milliseconds.
const SLICE_MS: u64 = 100;

/// Most foreign ends in a slice that are needed to count as a move.
const MOST_NEEDED: u32 = 3;

/// Foreign ends that are needed, as a share of the ends that a slice usually has: an
/// instance of a large fleet sees few.
const NEEDED_SHARE: f32 = 0.5;

/// Share that a new slice has in the mean.
const SLICE_SHARE: f32 = 0.05;

impl Shift {
    /// Notes the end of a flow, and whether it was placed here.
    pub fn note(&mut self, is_own: bool) {
        match is_own {
            true => self.own += 1,
            false => self.foreign += 1,
        }
    }

    /// Reports at the end of a slice whether flows were moved in it.
    pub fn tick(&mut self, now: Time) -> bool {
        if now.since(self.since) < SLICE_MS {
            return false;
        }
        let needed = ((NEEDED_SHARE * self.usual) as u32).clamp(1, MOST_NEEDED);
        let moved = self.foreign >= needed && 2 * self.foreign > self.own;
        let usual = self.usual + SLICE_SHARE * ((self.own + self.foreign) as f32 - self.usual);
        *self = Shift { since: now, usual, ..Shift::default() };
        moved
    }
}
