//! Home instances of the slots of targets.

use std::{collections::BTreeMap, sync::Arc};

use crate::{hash, route::table};

/// One slot of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetSlot {
    /// Number of the target in its service.
    pub target: u16,
    /// Index of the slot.
    pub index: u32,
    /// Hash of both, alike on every instance.
    pub key: u64,
}

impl TargetSlot {
    /// Slot of a target with a name.
    pub fn new(target: u16, name: &str, index: u32) -> TargetSlot {
        TargetSlot { target, index, key: hash::pair(hash::name(name), u64::from(index)) }
    }
}

/// Slots by their home instances. The order of slots and instances is irrelevant.
pub fn owners(
    mut target_slots: Vec<TargetSlot>,
    instances: &[Arc<str>],
) -> BTreeMap<Arc<str>, Vec<TargetSlot>> {
    target_slots.sort_by_key(|target_slot| target_slot.key);
    let keys: Vec<u64> = target_slots.iter().map(|target_slot| target_slot.key).collect();
    let mut names = instances.to_vec();
    names.sort();
    let indices = table::assign_evenly(&names, &keys);
    let mut owners: BTreeMap<Arc<str>, Vec<TargetSlot>> = BTreeMap::new();
    for (target_slot, index) in target_slots.into_iter().zip(indices) {
        owners.entry(names[usize::from(index)].clone()).or_default().push(target_slot);
    }
    owners
}
