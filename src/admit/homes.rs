//! Home instances of the slots of targets.

use std::{collections::BTreeMap, sync::Arc};

use crate::{hash, route::table};

/// One slot of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    /// Number of the target in its service.
    pub target: u16,
    /// Index of the slot.
    pub index: u32,
    /// Hash of both, alike on every instance.
    pub key: u64,
}

impl Unit {
    /// Slot of a target with a name.
    pub fn new(target: u16, name: &str, index: u32) -> Unit {
        Unit { target, index, key: hash::pair(hash::name(name), u64::from(index)) }
    }
}

/// Slots by their home instances. The order of slots and instances is irrelevant.
pub fn homes(mut units: Vec<Unit>, instances: &[Arc<str>]) -> BTreeMap<Arc<str>, Vec<Unit>> {
    units.sort_by_key(|unit| unit.key);
    let keys: Vec<u64> = units.iter().map(|unit| unit.key).collect();
    let mut names = instances.to_vec();
    names.sort();
    let owners = table::share(&names, &keys);
    let mut homes: BTreeMap<Arc<str>, Vec<Unit>> = BTreeMap::new();
    for (unit, owner) in units.into_iter().zip(owners) {
        homes.entry(names[usize::from(owner)].clone()).or_default().push(unit);
    }
    homes
}
