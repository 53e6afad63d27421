//! Ring of instances in the order of their hashed names, which gives each its neighbours.

use std::sync::Arc;

use crate::hash;

/// Live peers on the ring, seen from one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    names: Vec<(u64, Arc<str>)>,
    /// Index of the first peer after the instance itself.
    start: usize,
}

impl Ring {
    /// Ring of the given peers around an instance.
    pub(super) fn new<'a>(own: &str, peers: impl Iterator<Item = &'a Arc<str>>) -> Ring {
        let mut names: Vec<(u64, Arc<str>)> = peers.map(|name| (hash::name(name), name.clone())).collect();
        names.sort();
        let own = hash::name(own);
        let start = names.partition_point(|(at, _)| *at <= own);
        Ring { names, start }
    }

    /// Successors of the instance, to which it sends heartbeats.
    pub(super) fn successors(&self, count: usize) -> impl Iterator<Item = &Arc<str>> {
        let len = self.names.len();
        (0..count.min(len)).map(move |i| &self.names[(self.start + i) % len].1)
    }

    /// Number of peers.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Pseudo-random peers, which change with `turn`.
    pub(super) fn scattered(&self, count: usize, turn: u64) -> impl Iterator<Item = &Arc<str>> {
        let len = self.names.len();
        let index = move |i: usize| hash::pair(turn, i as u64 + self.start as u64 * 31) as usize % len;
        (0..count.min(len)).map(move |i| &self.names[index(i)].1)
    }

    /// Predecessors of the instance, from which it gets heartbeats.
    pub(super) fn predecessors(&self, count: usize) -> impl Iterator<Item = &Arc<str>> {
        let len = self.names.len();
        (1..=count.min(len)).map(move |i| &self.names[(self.start + len - i) % len].1)
    }
}
