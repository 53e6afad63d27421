//! Counts the slots of one service of which this instance is the home.

use std::{collections::BTreeMap, sync::Arc};

use super::owners::TargetSlot;
use crate::time::Time;

/// Slots of one target at their home.
#[derive(Clone, Debug, Default)]
struct Share {
    /// Indices of the slots, in order.
    indices: Vec<u32>,
    /// Slots that are in use, by this instance or on loan.
    used: usize,
}

/// Slot lent to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    target: u16,
    until: Time,
}

/// Home slots of one service.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    shares: BTreeMap<u16, Share>,
    leases: BTreeMap<(Arc<str>, u32), Lease>,
    turn: u64,
}

impl Slots {
    /// Sets the home slots. What is in use stays in use.
    pub fn assign(&mut self, target_slots: &[TargetSlot]) {
        for share in self.shares.values_mut() {
            share.indices.clear();
        }
        for target_slot in target_slots {
            self.shares.entry(target_slot.target).or_default().indices.push(target_slot.index);
        }
        self.shares.retain(|_, share| share.used > 0 || !share.indices.is_empty());
    }

    /// Free slots of a target whose first `allowed` slots may be used.
    pub fn free(&self, target: u16, allowed: u32) -> usize {
        let Some(share) = self.shares.get(&target) else {
            return 0;
        };
        let usable = share.indices.iter().filter(|index| **index < allowed).count();
        usable.saturating_sub(share.used)
    }

    /// Target with the most free slots; ties are taken in turn.
    pub fn pick(&mut self, allowed: impl Fn(u16) -> u32) -> Option<u16> {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let free = |target: &u16| self.free(*target, allowed(*target));
        let rank = |target: &u16| (free(target), crate::hash::pair(turn, u64::from(*target)));
        let best = self.shares.keys().copied().max_by_key(rank)?;
        (free(&best) > 0).then_some(best)
    }

    /// Marks a slot of a target as in use.
    pub fn acquire(&mut self, target: u16) {
        self.shares.entry(target).or_default().used += 1;
    }

    /// Gives a slot of a target back.
    pub fn release(&mut self, target: u16) {
        if let Some(share) = self.shares.get_mut(&target) {
            share.used = share.used.saturating_sub(1);
        }
    }

    /// Lends a slot of a target.
    pub fn grant_lease(&mut self, peer: Arc<str>, query_id: u32, target: u16, until: Time) {
        self.acquire(target);
        self.leases.insert((peer, query_id), Lease { target, until });
    }

    /// Ends a loan. Returns whether there was one.
    pub fn end_lease(&mut self, peer: &Arc<str>, query_id: u32) -> bool {
        let Some(lease) = self.leases.remove(&(peer.clone(), query_id)) else {
            return false;
        };
        self.release(lease.target);
        true
    }

    /// Ends the loans whose time is over, and those of peers that are not alive.
    pub fn expire(&mut self, now: Time, is_live: impl Fn(&str) -> bool) {
        let over = |peer: &str, lease: &Lease| lease.until <= now || !is_live(peer);
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|((peer, _), lease)| over(peer, lease))
            .map(|(key, _)| key.clone())
            .collect();
        for (peer, query_id) in ended {
            self.end_lease(&peer, query_id);
        }
    }

    /// Slots in use, own and lent.
    pub fn used(&self) -> usize {
        self.shares.values().map(|share| share.used).sum()
    }

    /// Reports whether no slot is lent.
    pub fn has_no_leases(&self) -> bool {
        self.leases.is_empty()
    }

    /// Home slots.
    pub fn len(&self) -> usize {
        self.shares.values().map(|share| share.indices.len()).sum()
    }

    /// Reports whether this instance is home of no slot.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
