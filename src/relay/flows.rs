/*!
Flows that this instance has seen recently, and what each of them does at its target.

The table only counts load. Packets after the first are forwarded by their token,
so a lost record does no harm, but a record must not outlive its flow by much.

An instance sees the client's packets only. A flow is *running* from its opening
packet or the first packet of a request until the client acknowledges bytes of the
answer, which the target sends once its work is done. Then the flow is *idle*
until the next request. A flow that stays idle for [`IDLE_COUNTED_MS`] is removed:
it adds little load, and its next request adds it again, as the token names the
target.

When the network fabric rehashes flows to other instances, those see the answers and
ends and this instance does not. An instance that gets a packet of a flow without a
record announces the flow to its peers, which remove their records of it. Peers of
other cells do not hear that, so [`MoveDetector`] also infers a move from the number of
such packets; the records of that time then expire after the usual length of a request.
Otherwise a running flow is kept until its answer is seen: growing queues make requests
last longer, and those must stay in the count.
*/

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddrV4,
};

use serde::{Deserialize, Serialize};

use crate::{hash, time::Time};

/// Time after its last request for which an idle flow counts, in milliseconds: several
/// pauses between the requests of an active client.
pub const IDLE_COUNTED_MS: u64 = 3_000;

/// Identifies a flow by the addresses of both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
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

/// What a flow does at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Its opening packet was forwarded; the client has not gone on yet.
    Opening,
    /// A request is at the target, and its answer has not reached the client yet.
    Running,
    /// No request is at the target.
    Idle,
}

impl Activity {
    /// Whether the flow uses or awaits a slot of its target.
    pub fn is_running(self) -> bool {
        self != Activity::Idle
    }
}

/// Flow that this instance has seen recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Target's index.
    pub target: usize,
    /// What it does.
    pub activity: Activity,
    /// When its opening packet was forwarded, or its current request was.
    pub started: Time,
    /// When the first packet of its current request arrived; retransmissions do not change it.
    /// None if no request was seen: a later one may have the same acknowledgement.
    pub requested: Option<Time>,
    /// Whether its current request takes several packets, so that a later one is not a
    /// retransmission.
    pub spans_packets: bool,
    /// When it last carried an opening packet or a request.
    pub last_active: Time,
    /// Sequence number up to which the client had acknowledged the target's bytes when it
    /// sent its current request.
    pub acked: u32,
    /// Answered requests.
    pub answers: u32,
    /// Whether the target was idle when the opening packet or request was forwarded, so that
    /// the time to the answer is a sample of the service time without queueing.
    pub is_sample: bool,
    /// Whether this instance has forwarded its opening packet.
    pub is_own: bool,
    /// When its activity ends if no packet arrives.
    pub expires: Time,
}

impl Flow {
    /// Whether an acknowledgement covers bytes of the answer to the current request.
    pub fn is_answered_by(&self, acked: u32) -> bool {
        acked.wrapping_sub(self.acked) as i32 > 0
    }
}

#[derive(Clone, Debug)]
struct Slot {
    flow: Flow,
    /// Time of the slot's entry in the queue of expiries; other entries are outdated.
    queued: Time,
}

/// Records of flows.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    table: HashMap<FlowKey, Slot>,
    expiries: BinaryHeap<Reverse<(Time, FlowKey)>>,
}

impl Flows {
    /// Returns the record of a flow.
    pub fn get(&self, key: FlowKey) -> Option<&Flow> {
        self.table.get(&key).map(|slot| &slot.flow)
    }

    /// Returns the record of a flow for changes. Its expiry may only be put off.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Flow> {
        self.table.get_mut(&key).map(|slot| &mut slot.flow)
    }

    /// Adds a record; returns the one that it replaces.
    pub fn insert(&mut self, key: FlowKey, flow: Flow) -> Option<Flow> {
        let queued = flow.expires;
        self.expiries.push(Reverse((queued, key)));
        self.table.insert(key, Slot { flow, queued }).map(|former| former.flow)
    }

    /// Removes a record.
    pub fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        self.table.remove(&key).map(|slot| slot.flow)
    }

    /// Ends activities that expired, and returns the flows as they were. Running flows
    /// become idle, others are removed.
    pub fn expire(&mut self, now: Time) -> Vec<Flow> {
        let mut expired = Vec::new();
        while let Some(&Reverse((at, key))) = self.expiries.peek()
            && at <= now
        {
            self.expiries.pop();
            let Some(slot) = self.table.get_mut(&key).filter(|slot| slot.queued == at) else {
                continue;
            };
            if slot.flow.expires <= now {
                expired.push(slot.flow.clone());
                if slot.flow.activity != Activity::Running {
                    self.table.remove(&key);
                    continue;
                }
                slot.flow.activity = Activity::Idle;
                slot.flow.expires = now + IDLE_COUNTED_MS;
            }
            slot.queued = slot.flow.expires;
            self.expiries.push(Reverse((slot.queued, key)));
        }
        expired
    }

    /// Limits the expiry of all running flows to a time.
    pub fn limit_expiry(&mut self, limit: Time) {
        let is_later = |flow: &Flow| flow.activity.is_running() && flow.expires > limit;
        for (key, slot) in self.table.iter_mut().filter(|(_, slot)| is_later(&slot.flow)) {
            slot.flow.expires = limit;
            slot.queued = limit;
            self.expiries.push(Reverse((limit, *key)));
        }
    }

    /// Removes all records, as after a pause of the process.
    pub fn clear(&mut self) {
        self.table.clear();
        self.expiries.clear();
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }
}

/// Detects from packets of flows without a record whether the fabric has moved flows
/// between instances.
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
    /// Records an end or answer of a flow, and whether the flow had a record here.
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
