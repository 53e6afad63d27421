//! Tables with targets by their numbers in a router.

use super::{
    filter::SlotSet,
    table::{SLOTS, WeightedTarget},
};

/// No target.
pub(super) const NONE: u16 = u16::MAX;

/// Targets of the slots, and what they are computed from.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Slots {
    pub(super) members: Vec<WeightedTarget>,
    pub(super) numbers: Vec<u16>,
}

impl Slots {
    /// Target of a slot, or [`NONE`].
    pub(super) fn get(&self, slot: usize) -> u16 {
        self.numbers.get(slot).copied().unwrap_or(NONE)
    }

    /// Slots that have another target in the other table.
    pub(super) fn differing(&self, other: &Slots) -> SlotSet {
        SlotSet::from_slots((0..SLOTS).filter(|slot| self.get(*slot) != other.get(*slot)))
    }
}
