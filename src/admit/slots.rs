//! Owned concurrency slots of one service, and their leases.

use std::{collections::BTreeMap, sync::Arc};

use super::owners::TargetSlot;
use crate::time::Time;

/// Owned slots of one target.
#[derive(Clone, Debug, Default)]
struct OwnedSlots {
    /// Indices of the slots within the target, in order.
    indices: Vec<u32>,
    /// Number of slots in use, by this instance or leased to others.
    used: usize,
}

/// Slot leased to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    target: u16,
    until: Time,
}

/// Owned slots of one service.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    by_target: BTreeMap<u16, OwnedSlots>,
    leases: BTreeMap<(Arc<str>, u32), Lease>,
    turn: u64,
}

impl Slots {
    /// Sets the owned slots. Slots in use stay in use.
    pub fn assign(&mut self, target_slots: &[TargetSlot]) {
        for owned in self.by_target.values_mut() {
            owned.indices.clear();
        }
        for target_slot in target_slots {
            self.by_target.entry(target_slot.target).or_default().indices.push(target_slot.index);
        }
        self.by_target.retain(|_, owned| owned.used > 0 || !owned.indices.is_empty());
    }

    /// Number of free slots of a target of which the first `allowed` may be used.
    pub fn free(&self, target: u16, allowed: u32) -> usize {
        let Some(owned) = self.by_target.get(&target) else {
            return 0;
        };
        let usable = owned.indices.iter().filter(|index| **index < allowed).count();
        usable.saturating_sub(owned.used)
    }

    /// Target with the most free slots; ties are broken in turn.
    pub fn pick(&mut self, allowed: impl Fn(u16) -> u32) -> Option<u16> {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let free = |target: &u16| self.free(*target, allowed(*target));
        let rank = |target: &u16| (free(target), crate::hash::pair(turn, u64::from(*target)));
        let best = self.by_target.keys().copied().max_by_key(rank)?;
        (free(&best) > 0).then_some(best)
    }

    /// Marks a slot of a target as in use.
    pub fn acquire(&mut self, target: u16) {
        self.by_target.entry(target).or_default().used += 1;
    }

    /// Marks a slot of a target as free again.
    pub fn release(&mut self, target: u16) {
        if let Some(owned) = self.by_target.get_mut(&target) {
            owned.used = owned.used.saturating_sub(1);
        }
    }

    /// Leases a slot of a target to a peer until a time.
    pub fn grant_lease(&mut self, peer: Arc<str>, query_id: u32, target: u16, until: Time) {
        self.acquire(target);
        self.leases.insert((peer, query_id), Lease { target, until });
    }

    /// Ends a lease. Returns whether it existed.
    pub fn end_lease(&mut self, peer: &Arc<str>, query_id: u32) -> bool {
        let Some(lease) = self.leases.remove(&(peer.clone(), query_id)) else {
            return false;
        };
        self.release(lease.target);
        true
    }

    /// Ends the leases that have expired, and those of peers that are not live.
    pub fn expire(&mut self, now: Time, is_live: impl Fn(&str) -> bool) {
        let has_expired = |peer: &str, lease: &Lease| lease.until <= now || !is_live(peer);
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|((peer, _), lease)| has_expired(peer, lease))
            .map(|(key, _)| key.clone())
            .collect();
        for (peer, query_id) in ended {
            self.end_lease(&peer, query_id);
        }
    }

    /// Number of slots in use, by this instance or leased.
    pub fn used(&self) -> usize {
        self.by_target.values().map(|owned| owned.used).sum()
    }

    /// Reports whether no slot is leased.
    pub fn has_no_leases(&self) -> bool {
        self.leases.is_empty()
    }

    /// Number of owned slots.
    pub fn len(&self) -> usize {
        self.by_target.values().map(|owned| owned.indices.len()).sum()
    }

    /// Reports whether this instance owns no slot.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
