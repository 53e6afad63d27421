/*!
Hash slot tables: weighted rendezvous hashing with bounded load.

Plain rendezvous hashing leaves some targets 10 % above the mean. Here no target
gets more than its share plus [`LOAD_SLACK`]; a slot whose best target is full
goes to the next best. This moves a few more slots when targets change, which
costs some control traffic but breaks no flow.
*/

use std::sync::Arc;

use crate::hash;

/// Hash slots of a service.
pub const SLOTS: usize = 4096;

/// Fraction by which a target's slots may exceed its share.
pub const LOAD_SLACK: f64 = 0.02;

/// Target with its weight in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Name in tables.
    pub name: Arc<str>,
    /// Share relative to the other targets.
    pub weight: u32,
}

impl WeightedTarget {
    /// Target with a name and a weight.
    pub fn new(name: impl Into<Arc<str>>, weight: u32) -> WeightedTarget {
        WeightedTarget { name: name.into(), weight }
    }
}

/// Hash slots of one service and their targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    names: Vec<Arc<str>>,
    slots: Vec<u16>,
}

impl Table {
    /// Computes the table; the order of the targets is irrelevant.
    pub fn new(targets: &[WeightedTarget]) -> Table {
        let mut targets: Vec<WeightedTarget> =
            targets.iter().filter(|target| target.weight > 0).cloned().collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets.truncate(usize::from(u16::MAX));
        let slots = assign(&targets, (0..SLOTS).map(|slot| slot as u64));
        Table { names: targets.into_iter().map(|target| target.name).collect(), slots }
    }

    /// Hash slot of a flow.
    pub fn slot(flow: u64) -> usize {
        (flow % SLOTS as u64) as usize
    }

    /// Target of a flow, or `None` if the table is empty.
    pub fn target(&self, flow: u64) -> Option<&Arc<str>> {
        self.slot_target(Table::slot(flow))
    }

    /// Target of a hash slot, or `None` if the table is empty.
    pub fn slot_target(&self, slot: usize) -> Option<&Arc<str>> {
        self.slot_index(slot).and_then(|index| self.names.get(index))
    }

    /// Index of a hash slot's target in [`Table::names`].
    pub fn slot_index(&self, slot: usize) -> Option<usize> {
        self.slots.get(slot).map(|index| usize::from(*index))
    }

    /// Names of all targets, sorted.
    pub fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Reports whether the table has no target.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Assigns each key to a candidate, up to the candidate's share plus the slack.
fn assign(targets: &[WeightedTarget], keys: impl ExactSizeIterator<Item = u64>) -> Vec<u16> {
    if targets.is_empty() {
        return Vec::new();
    }
    let count = keys.len() as f64;
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let bound = |target: &WeightedTarget| {
        let share = count * f64::from(target.weight) / total;
        (share * (1.0 + LOAD_SLACK)).ceil() as usize
    };
    let mut capacity: Vec<usize> = targets.iter().map(bound).collect();
    let hashes: Vec<u64> = targets.iter().map(|target| hash::name(&target.name)).collect();
    let same_weight = targets.iter().all(|target| target.weight == targets[0].weight);
    let score = |key: u64, i: usize| {
        let draw = hash::draw(key, hashes[i]);
        if same_weight { draw } else { hash::score(draw, targets[i].weight) }
    };
    let best_of = |key: u64, capacity: &[usize]| {
        let free = (0..targets.len()).filter(|i| capacity[*i] > 0);
        let scored = free.map(|i| (i, score(key, i)));
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map_or(0, |(i, _)| i)
    };
    let mut assigned = Vec::with_capacity(keys.len());
    for key in keys {
        let best = best_of(key, &capacity);
        capacity[best] = capacity[best].saturating_sub(1);
        assigned.push(best as u16);
    }
    assigned
}

/// Distributes keys evenly over names, with the same result on every instance.
///
/// Returns the index of the owner of each key.
pub fn assign_evenly(names: &[Arc<str>], keys: &[u64]) -> Vec<u16> {
    let targets: Vec<WeightedTarget> =
        names.iter().map(|name| WeightedTarget::new(name.clone(), 1)).collect();
    assign(&targets, keys.iter().copied())
}
