/*!
Who waits for a slot, earliest deadline first.

The queue is bounded by time: an entry leaves it when its wait is over, whether
or not a slot came free. Entries wait for one target or for any.
*/

use std::{collections::BTreeMap, sync::Arc};

use crate::{ticket::Ticket, time::Time};

/// Who waits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// Request of this instance, by its ticket.
    Request(Ticket),
    /// Another instance, by its name and the number of its question.
    Peer(Arc<str>, u32),
}

/// Place in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Who waits.
    pub waiter: Waiter,
    /// Target that it needs; any, if absent.
    pub target: Option<u16>,
    /// Time by which the answer is needed.
    pub deadline: Time,
    /// End of the wait.
    pub until: Time,
}

/// Order of service: deadline, then arrival.
type Key = (Time, u64);

/// Entries of one service.
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

    /// Takes the first entry that can use one of the free targets.
    ///
    /// `pick` gives a free target for an entry, if there is one.
    pub fn take(&mut self, mut pick: impl FnMut(&Entry) -> Option<u16>) -> Option<(Entry, u16)> {
        let found = self.entries.iter().find_map(|(key, entry)| Some((*key, pick(entry)?)));
        let (key, target) = found?;
        self.entries.remove(&key).map(|entry| (entry, target))
    }

    /// Takes out the entry of a waiter.
    pub fn remove(&mut self, waiter: &Waiter) -> Option<Entry> {
        let key = *self.entries.iter().find(|(_, entry)| entry.waiter == *waiter)?.0;
        self.entries.remove(&key)
    }

    /// Takes out the entries whose wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<Entry> {
        let over: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| entry.until <= now).map(|(key, _)| *key).collect();
        over.into_iter().filter_map(|key| self.entries.remove(&key)).collect()
    }

    /// Entries in order of service.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
