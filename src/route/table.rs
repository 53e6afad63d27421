/*!
Slot tables: weighted rendezvous hashing with bounded load.

Plain rendezvous leaves some targets a tenth above the mean. Here no target
takes more than its share plus [`SLACK`]; a slot whose best target is full goes
to its second best. This moves a few more slots when targets change, which costs
a little control traffic and no flow.
*/

use std::sync::Arc;

use crate::hash;

/// Slots of a service.
pub const SLOTS: usize = 4096;

/// How far a target's slots may exceed its share.
pub const SLACK: f64 = 0.02;

/// Candidate for the slots of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Name.
    pub name: Arc<str>,
    /// Relative share.
    pub weight: u32,
}

impl WeightedTarget {
    /// Candidate with a share.
    pub fn new(name: impl Into<Arc<str>>, weight: u32) -> WeightedTarget {
        WeightedTarget { name: name.into(), weight }
    }
}

/// Slots of one service and their targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    names: Vec<Arc<str>>,
    slots: Vec<u16>,
}

impl Table {
    /// Computes the table of some candidates, in any order.
    pub fn new(members: &[WeightedTarget]) -> Table {
        let mut members: Vec<WeightedTarget> =
            members.iter().filter(|member| member.weight > 0).cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|a, b| a.name == b.name);
        members.truncate(usize::from(u16::MAX));
        let slots = assign(&members, (0..SLOTS).map(|slot| slot as u64));
        Table { names: members.into_iter().map(|member| member.name).collect(), slots }
    }

    /// Slot of a flow.
    pub fn slot(flow: u64) -> usize {
        (flow % SLOTS as u64) as usize
    }

    /// Target of a flow, unless the table is empty.
    pub fn target(&self, flow: u64) -> Option<&Arc<str>> {
        self.slot_target(Table::slot(flow))
    }

    /// Target of a slot, unless the table is empty.
    pub fn slot_target(&self, slot: usize) -> Option<&Arc<str>> {
        self.slot_index(slot).and_then(|index| self.names.get(index))
    }

    /// Index of a slot's target in [`Table::names`].
    pub fn slot_index(&self, slot: usize) -> Option<usize> {
        self.slots.get(slot).map(|index| usize::from(*index))
    }

    /// Names of all targets, in order.
    pub fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Reports whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Assigns keys to candidates, each at most its share and the slack.
fn assign(members: &[WeightedTarget], keys: impl ExactSizeIterator<Item = u64>) -> Vec<u16> {
    if members.is_empty() {
        return Vec::new();
    }
    let count = keys.len() as f64;
    let total: f64 = members.iter().map(|member| f64::from(member.weight)).sum();
    let bound = |member: &WeightedTarget| {
        let share = count * f64::from(member.weight) / total;
        (share * (1.0 + SLACK)).ceil() as usize
    };
    let mut room: Vec<usize> = members.iter().map(bound).collect();
    let hashes: Vec<u64> = members.iter().map(|member| hash::name(&member.name)).collect();
    let same_weight = members.iter().all(|member| member.weight == members[0].weight);
    let score = |key: u64, i: usize| {
        let draw = hash::draw(key, hashes[i]);
        if same_weight { draw } else { hash::score(draw, members[i].weight) }
    };
    let best_of = |key: u64, room: &[usize]| {
        let free = (0..members.len()).filter(|i| room[*i] > 0);
        let scored = free.map(|i| (i, score(key, i)));
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map_or(0, |(i, _)| i)
    };
    let mut assigned = Vec::with_capacity(keys.len());
    for key in keys {
        let best = best_of(key, &room);
        room[best] = room[best].saturating_sub(1);
        assigned.push(best as u16);
    }
    assigned
}

/// Shares keys evenly over names, alike on every instance.
///
/// Returns the index of the owner of each key.
pub fn share(names: &[Arc<str>], keys: &[u64]) -> Vec<u16> {
    let members: Vec<WeightedTarget> =
        names.iter().map(|name| WeightedTarget::new(name.clone(), 1)).collect();
    assign(&members, keys.iter().copied())
}
