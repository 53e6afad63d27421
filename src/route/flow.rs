/*!
The flows that an instance holds, with idle expiry and bounded memory.

Each entry is a key, a target's number and a time in seconds: 16 bytes before
the map's own overhead. When the table is full, a sweep over part of it drops
idle flows; if none is idle the flow is not held, which is safe as long as its
target is the computed one.
*/

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use crate::time::Time;

/// Passes keys through that are hashes already.
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

/// Flow held by an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the target in its service's list.
    pub target: u16,
    /// When the last packet passed, in seconds.
    seen_s: u32,
}

/// Flows of one service.
#[derive(Clone, Debug)]
pub struct Flows {
    entries: KeyMap<Entry>,
    limit: usize,
    idle_s: u64,
}

impl Flows {
    /// Empty table of at most `limit` flows.
    pub fn new(limit: usize, idle_s: u64) -> Flows {
        Flows { entries: KeyMap::default(), limit, idle_s }
    }

    /// Changes the idle time, in seconds.
    pub fn set_idle(&mut self, idle_s: u64) {
        self.idle_s = idle_s;
    }

    /// Target of a flow that is held; notes that a packet passed.
    pub fn touch(&mut self, flow: u64, now: Time) -> Option<u16> {
        let entry = self.entries.get_mut(&flow)?;
        entry.seen_s = seconds(now);
        Some(entry.target)
    }

    /// Target of a flow that is held.
    pub fn get(&self, flow: u64) -> Option<u16> {
        self.entries.get(&flow).map(|entry| entry.target)
    }

    /// Holds a flow, if there is room. Returns whether it is held.
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

    /// Forgets a flow that has ended.
    pub fn remove(&mut self, flow: u64) -> Option<u16> {
        self.entries.remove(&flow).map(|entry| entry.target)
    }

    /// Drops the flows that have been idle too long.
    pub fn expire(&mut self, now: Time) {
        let idle_s = self.idle_s;
        let now_s = u64::from(seconds(now));
        self.entries.retain(|_, entry| now_s.saturating_sub(u64::from(entry.seen_s)) <= idle_s);
    }

    /// Drops the flows of a target.
    pub fn drop_target(&mut self, target: u16) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.target != target);
        before - self.entries.len()
    }

    /// Number of flows held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Flows with their targets, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u16)> + '_ {
        self.entries.iter().map(|(flow, entry)| (*flow, entry.target))
    }
}

fn seconds(now: Time) -> u32 {
    (now.0 / 1_000) as u32
}

/// Hash of a flow's key, as the shell reads it from a packet or a message.
pub fn key_hash(key: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key)
}
