/*!
Assigns concurrency slots of targets to the instances that own them.

Rendezvous hashing spreads the slots evenly and moves few of them when instances
join or leave.
*/

use std::{collections::BTreeMap, sync::Arc};

use crate::{hash, route::table};

/// One concurrency slot of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetSlot {
    /// Index of the target in its service's router.
    pub target: u16,
    /// Index of the slot within the target.
    pub index: u32,
    /// Hash of the target's name and the slot's index, the same on every instance.
    pub key: u64,
}

impl TargetSlot {
    /// Slot of a target with the given name.
    pub fn new(target: u16, name: &str, index: u32) -> TargetSlot {
        TargetSlot { target, index, key: hash::pair(hash::name(name), u64::from(index)) }
    }
}

/// Concurrency slots by owner. The order of the arguments' elements is irrelevant.
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
