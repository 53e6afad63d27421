/*!
Flow table (connection tracking) with idle expiry and bounded memory.

Each entry holds a key, a target index and a time in seconds: 16 bytes before the
overhead of the map. When the table is full, idle flows are removed. If none is
idle, the new flow is not tracked. This is safe as long as its target is the
computed one.
*/

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use crate::time::Time;

/// Hasher for keys that are hashes already: returns the key unchanged.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

/// Map whose keys are hashes already.
pub type KeyMap<V> = HashMap<u64, V, BuildHasherDefault<KeyHasher>>;

/// Tracked flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index of the target in its service's router.
    pub target: u16,
    /// Time of the last packet, in seconds.
    seen_s: u32,
}

/// Tracked flows of one service.
#[derive(Clone, Debug)]
pub struct FlowTable {
    entries: KeyMap<Entry>,
    limit: usize,
    idle_s: u64,
}

impl FlowTable {
    /// Empty table for at most `limit` flows.
    pub fn new(limit: usize, idle_s: u64) -> FlowTable {
        FlowTable { entries: KeyMap::default(), limit, idle_s }
    }

    /// Sets the idle timeout, in seconds.
    pub fn set_idle(&mut self, idle_s: u64) {
        self.idle_s = idle_s;
    }

    /// Target of a tracked flow; restarts its idle timeout.
    pub fn touch(&mut self, flow: u64, now: Time) -> Option<u16> {
        let entry = self.entries.get_mut(&flow)?;
        entry.seen_s = seconds(now);
        Some(entry.target)
    }

    /// Target of a tracked flow.
    pub fn get(&self, flow: u64) -> Option<u16> {
        self.entries.get(&flow).map(|entry| entry.target)
    }

    /// Tracks a flow unless the table is full. Returns whether the flow is tracked.
    pub fn insert(&mut self, flow: u64, target: u16, now: Time) -> bool {
        if self.entries.len() >= self.limit && !self.entries.contains_key(&flow) {
            self.expire(now);
            if self.entries.len() >= self.limit {
                return false;
            }
        }
        self.entries.insert(flow, Entry { target, seen_s: seconds(now) });
        true
    }

    /// Removes a flow that has ended. Returns its target.
    pub fn remove(&mut self, flow: u64) -> Option<u16> {
        self.entries.remove(&flow).map(|entry| entry.target)
    }

    /// Removes flows that have exceeded the idle timeout.
    pub fn expire(&mut self, now: Time) {
        let idle_s = self.idle_s;
        let now_s = u64::from(seconds(now));
        self.entries.retain(|_, entry| now_s.saturating_sub(u64::from(entry.seen_s)) <= idle_s);
    }

    /// Removes the flows of a target. Returns their number.
    pub fn drop_target(&mut self, target: u16) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.target != target);
        before - self.entries.len()
    }

    /// Number of tracked flows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Flows with their targets, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u16)> + '_ {
        self.entries.iter().map(|(flow, entry)| (*flow, entry.target))
    }
}

fn seconds(now: Time) -> u32 {
    (now.0 / 1_000) as u32
}

/// Hash of a flow's key, which the host program reads from a packet or message.
pub fn key_hash(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}
