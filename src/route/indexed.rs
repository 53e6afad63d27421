//! Tables that refer to targets by their index in a router.

use super::{
    filter::SlotSet,
    table::{SLOTS, WeightedTarget},
};

/// Index that stands for no target.
pub(super) const NONE: u16 = u16::MAX;

/// Targets of the hash slots, and the weighted targets from which they were computed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct IndexedTable {
    pub(super) targets: Vec<WeightedTarget>,
    pub(super) indices: Vec<u16>,
}

impl IndexedTable {
    /// Target of a hash slot, or [`NONE`].
    pub(super) fn get(&self, slot: usize) -> u16 {
        self.indices.get(slot).copied().unwrap_or(NONE)
    }

    /// Hash slots whose targets differ between the two tables.
    pub(super) fn differing_slots(&self, other: &IndexedTable) -> SlotSet {
        SlotSet::from_slots((0..SLOTS).filter(|slot| self.get(*slot) != other.get(*slot)))
    }
}
