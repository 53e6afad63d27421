/*!
Queue for concurrency slots, earliest deadline first.

The queue is bounded by time: an entry is removed at the end of its longest wait,
even if it has got no slot. An entry waits for a slot of one target or of any.
*/

use std::{collections::BTreeMap, sync::Arc};

use crate::{ticket::Ticket, time::Time};

/// Origin of a queue entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// Request of this instance, by its ticket.
    Request(Ticket),
    /// Peer that asks for a lease: its name and its query id.
    Peer(Arc<str>, u32),
}

/// Entry of the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Origin of the entry.
    pub waiter: Waiter,
    /// Required target; `None` accepts any target.
    pub target: Option<u16>,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// End of the longest wait.
    pub until: Time,
}

/// Queue order: deadline, then arrival.
type Key = (Time, u64);

/// Queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeMap<Key, Entry>,
    arrivals: u64,
}

impl Queue {
    /// Adds an entry.
    pub fn push(&mut self, entry: Entry) {
        self.arrivals += 1;
        self.entries.insert((entry.deadline, self.arrivals), entry);
    }

    /// Removes the first entry that can use a free slot; returns it with its target.
    ///
    /// `pick` returns the target with a free slot that an entry may use, if any.
    pub fn take(&mut self, mut pick: impl FnMut(&Entry) -> Option<u16>) -> Option<(Entry, u16)> {
        let found = self.entries.iter().find_map(|(key, entry)| Some((*key, pick(entry)?)));
        let (key, target) = found?;
        self.entries.remove(&key).map(|entry| (entry, target))
    }

    /// Removes the entry of a waiter.
    pub fn remove(&mut self, waiter: &Waiter) -> Option<Entry> {
        let key = *self.entries.iter().find(|(_, entry)| entry.waiter == *waiter)?.0;
        self.entries.remove(&key)
    }

    /// Removes the entries whose longest wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<Entry> {
        let expired: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| entry.until <= now).map(|(key, _)| *key).collect();
        expired.into_iter().filter_map(|key| self.entries.remove(&key)).collect()
    }

    /// Entries in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
