/*!
Routing of one service on one instance.

A router holds three tables: `base`, the last one that was effective on all
instances; `current`, the one effective here; and `next`, an announced one. A
hash slot is unsettled where they differ. The target of a flow that is not in the
local flow table is computed from the tables and the filters of pinned flows.
Where that would be uncertain, the decision is [`Decision::Lookup`].
*/

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{
    filter::{Filter, SlotSet},
    flow::{FlowTable, KeyMap},
    indexed::{IndexedTable, NONE},
    table::{SLOTS, Table, WeightedTarget},
};
use crate::{hash, time::Time};

/// Identity of a target between instances: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TargetId(#[serde(with = "postcard::fixint::le")] pub u64);

impl TargetId {
    /// Identity of the target with this name.
    pub fn of(name: &str) -> TargetId {
        TargetId(hash::name(name))
    }
}

/// How to route a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Forward to this target.
    Target(u16),
    /// Register the flow with its replicas, then forward to this target.
    Register(u16),
    /// Look the flow up on its replicas; forward to this target if none knows it.
    Lookup(u16),
    /// Drop the packet: the service has no target.
    NoTarget,
}

/// Filter of flows that stay on a target although the table maps them to another.
#[derive(Clone, Debug, PartialEq)]
pub struct PinnedFlows {
    /// Target of the flows.
    pub target: u16,
    /// Hash slots of the flows.
    pub slots: SlotSet,
    /// Filter that contains the flows.
    pub filter: Filter,
    /// When the filter was built.
    pub built: Time,
}

/// Exception stored for other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredException {
    target: u16,
    at: Time,
}

impl PinnedFlows {
    fn may_contain(&self, flow: u64) -> bool {
        self.slots.contains(Table::slot(flow)) && self.filter.contains(flow)
    }
}

/// Routing state of one service.
#[derive(Clone, Debug)]
pub struct Router {
    names: Vec<Arc<str>>,
    indices: HashMap<TargetId, u16>,
    gone: Vec<bool>,
    base: IndexedTable,
    current: IndexedTable,
    next: Option<IndexedTable>,
    unsettled: SlotSet,
    registered: SlotSet,
    prefers_current: bool,
    filters: Vec<PinnedFlows>,
    pending: Vec<PinnedFlows>,
    handed_over: Vec<PinnedFlows>,
    flows: FlowTable,
    stored: KeyMap<StoredException>,
    exception_limit: usize,
    not_held: u64,
}

impl Router {
    /// Router without targets that tracks at most `limit` flows.
    pub fn new(limit: usize, idle_s: u64) -> Router {
        Router {
            names: Vec::new(),
            indices: HashMap::new(),
            gone: Vec::new(),
            base: IndexedTable::default(),
            current: IndexedTable::default(),
            next: None,
            unsettled: SlotSet::default(),
            registered: SlotSet::default(),
            prefers_current: false,
            filters: Vec::new(),
            pending: Vec::new(),
            handed_over: Vec::new(),
            flows: FlowTable::new(limit, idle_s),
            stored: KeyMap::default(),
            exception_limit: limit,
            not_held: 0,
        }
    }

    /// Routes the first packet of a flow.
    pub fn decide_first(&mut self, flow: u64, now: Time) -> Decision {
        self.decide(flow, now, |router, slot, target| {
            let is_exception =
                router.registered.contains(slot) || router.filter_target(flow, target).is_some();
            is_exception.then_some(Decision::Register(target))
        })
    }

    /// Routes a later packet of a flow.
    pub fn decide_later(&mut self, flow: u64, now: Time) -> Decision {
        self.decide(flow, now, |router, slot, target| {
            if let Some(pinned) = router.filter_target(flow, target) {
                return Some(Decision::Lookup(pinned));
            }
            router.is_unsettled(slot).then(|| Decision::Lookup(router.fallback(flow, slot)))
        })
    }

    /// Routes by the flow table, then by `uncertain` if it gives a decision, else by
    /// the current table.
    fn decide(
        &mut self,
        flow: u64,
        now: Time,
        uncertain: impl FnOnce(&Router, usize, u16) -> Option<Decision>,
    ) -> Decision {
        if let Some(target) = self.flows.touch(flow, now) {
            return Decision::Target(target);
        }
        let slot = Table::slot(flow);
        let target = self.current.get(slot);
        if target == NONE {
            return Decision::NoTarget;
        }
        if let Some(decision) = uncertain(self, slot, target) {
            return decision;
        }
        self.track(flow, target, now);
        Decision::Target(target)
    }

    /// Tracks a flow on the target that its replicas agreed on.
    pub fn track(&mut self, flow: u64, target: u16, now: Time) {
        if !self.flows.insert(flow, target, now) {
            self.not_held += 1;
        }
    }

    /// Removes a flow that has ended.
    pub fn forget(&mut self, flow: u64) {
        self.flows.remove(flow);
        self.stored.remove(&flow);
    }

    /// Target of a flow that this instance stores as a replica or tracks itself.
    pub fn stored_target(&self, flow: u64) -> Option<u16> {
        self.stored.get(&flow).map(|stored| stored.target).or_else(|| self.flows.get(flow))
    }

    /// Target of a flow by tables and filters, if its hash slot is settled.
    pub fn computed_target(&self, flow: u64) -> Option<u16> {
        if self.is_unsettled(Table::slot(flow)) {
            return None;
        }
        let target = self.current.get(Table::slot(flow));
        let target = self.filter_target(flow, target).unwrap_or(target);
        (target != NONE).then_some(target)
    }

    /// Stores an exception as a replica. An earlier target of the flow takes
    /// precedence. Returns the stored target, or `None` if there is no free space.
    pub fn store_exception(&mut self, flow: u64, target: u16, now: Time) -> Option<u16> {
        if let Some(stored_target) =
            self.stored_target(flow).filter(|stored_target| !self.is_gone(*stored_target))
        {
            self.stored.insert(flow, StoredException { target: stored_target, at: now });
            return Some(stored_target);
        }
        if self.stored.len() >= self.exception_limit {
            return None;
        }
        self.stored.insert(flow, StoredException { target, at: now });
        Some(target)
    }

    /// Exceptions that this instance stores as a replica.
    pub fn stored(&self) -> impl Iterator<Item = (u64, u16)> + '_ {
        self.stored.iter().map(|(flow, stored)| (*flow, stored.target))
    }

    /// Makes a table effective and settled at once, as at the start.
    pub fn reset(&mut self, targets: &[WeightedTarget]) {
        self.current = self.indexed_table(targets);
        self.base = self.current.clone();
        self.next = None;
        self.unsettled = SlotSet::default();
        self.registered = SlotSet::default();
    }

    /// Sets the table that may still be effective on some instances. The slots where
    /// it differs from the current table become unsettled, and `unsettled` as well.
    pub fn set_base(&mut self, targets: &[WeightedTarget], unsettled: &SlotSet) {
        self.base = self.indexed_table(targets);
        self.unsettled.merge(unsettled);
        self.unsettled.merge(&self.base.differing_slots(&self.current));
        self.registered.merge(&self.unsettled);
    }

    /// Targets of the table that may still be effective on some instances.
    pub fn base_targets(&self) -> &[WeightedTarget] {
        &self.base.targets
    }

    /// Unsettled hash slots.
    pub fn unsettled_slots(&self) -> &SlotSet {
        &self.unsettled
    }

    /// Chooses the table for unknown flows on unsettled slots: the current one, once
    /// a peer has settled on it, or else the base table.
    pub fn prefer_current_table(&mut self, prefers: bool) {
        self.prefers_current = prefers;
    }

    /// Announces the next table.
    pub fn announce(&mut self, targets: &[WeightedTarget]) {
        let next = self.indexed_table(targets);
        self.unsettled.merge(&next.differing_slots(&self.current));
        self.next = Some(next);
    }

    /// Makes the announced table effective.
    pub fn take_effect(&mut self) {
        self.discard_pending_filters();
        if let Some(next) = self.next.take() {
            self.current = next;
            self.registered.merge(&self.unsettled);
        }
    }

    /// Takes over the filters of an instance that shuts down.
    pub fn accept_handover(&mut self, pinned: PinnedFlows) {
        self.handed_over.push(pinned);
    }

    /// Filters for a handover: of the flows tracked here, unless an active filter already
    /// pins them, and of those handed over earlier.
    pub fn handover_filters(&self, now: Time) -> Vec<PinnedFlows> {
        let mut by_target: BTreeMap<u16, Vec<u64>> = BTreeMap::new();
        for (flow, target) in self.flows.iter() {
            let is_computed = self.current.get(Table::slot(flow)) == target;
            if is_computed || !self.is_covered(flow, target) {
                by_target.entry(target).or_default().push(flow);
            }
        }
        let tracked = by_target.into_iter().map(|(target, flows)| PinnedFlows {
            target,
            slots: SlotSet::of(&flows),
            filter: Filter::of(&flows),
            built: now,
        });
        tracked.chain(self.handed_over.iter().cloned()).collect()
    }

    /// Flows handed over to this instance on slots that the current table maps to
    /// another target, and that no later filter covers.
    pub fn pinned_by_handover(&self) -> Vec<PinnedFlows> {
        let mut moved = Vec::new();
        for pinned in &self.handed_over {
            let moved_slot = |slot: &usize| self.current.get(*slot) != pinned.target;
            let uncovered = |slot: &usize| {
                !self
                    .filters
                    .iter()
                    .any(|f| f.target == pinned.target && f.slots.contains(*slot) && f.built > pinned.built)
            };
            let slots =
                (0..SLOTS).filter(|slot| pinned.slots.contains(*slot)).filter(moved_slot).filter(uncovered);
            let slots = SlotSet::from_slots(slots);
            if !slots.is_empty() && !self.is_gone(pinned.target) {
                moved.push(PinnedFlows { slots, ..pinned.clone() });
            }
        }
        moved
    }

    /// Flows tracked here, by target, whose target is not the computed one and that
    /// no filter covers yet.
    pub fn pinned_flows(&self) -> Vec<(u16, Vec<u64>)> {
        let mut by_target: BTreeMap<u16, Vec<u64>> = BTreeMap::new();
        for (flow, target) in self.flows.iter() {
            if self.current.get(Table::slot(flow)) == target || self.is_gone(target) {
                continue;
            }
            if !self.is_covered(flow, target) {
                by_target.entry(target).or_default().push(flow);
            }
        }
        by_target.into_iter().collect()
    }

    /// Flows tracked here that match a pending filter and also a filter of another
    /// target. Only their replicas can tell which target is right.
    pub fn ambiguous_flows(&self) -> Vec<(u64, u16)> {
        let matched = |(flow, target): &(u64, u16)| {
            let is_pending = self.pending.iter().any(|pinned| pinned.may_contain(*flow));
            is_pending
                && self.all_filters().any(|pinned| pinned.target != *target && pinned.may_contain(*flow))
        };
        self.flows.iter().filter(matched).collect()
    }

    /// Adds a complete filter of pinned flows. It becomes active when the change
    /// settles.
    pub fn add_pending_filter(&mut self, pinned: PinnedFlows) {
        let same = |known: &PinnedFlows| known.target == pinned.target && known.filter == pinned.filter;
        if !pinned.filter.is_empty() && !self.filters.iter().chain(&self.pending).any(same) {
            self.pending.push(pinned);
        }
    }

    /// Discards pending filters before they are collected again.
    pub fn discard_pending_filters(&mut self) {
        self.pending.clear();
    }

    /// Activates the pending filters.
    pub fn activate_filters(&mut self) {
        self.filters.append(&mut self.pending);
    }

    /// Settles a change: every instance has the table and the filters.
    pub fn settle(&mut self) {
        self.base = self.current.clone();
        self.prefers_current = false;
        let next = self.next.as_ref();
        self.unsettled = next.map(|next| next.differing_slots(&self.current)).unwrap_or_default();
        self.registered = SlotSet::default();
        self.activate_filters();
        let computed = |flow: u64, target: u16| self.current.get(Table::slot(flow)) == target;
        let matched = |flow: u64| self.filters.iter().any(|pinned| pinned.may_contain(flow));
        self.stored.retain(|flow, stored| !computed(*flow, stored.target) || matched(*flow));
    }

    /// Removes flows, exceptions and filters that have exceeded the idle timeout.
    pub fn expire(&mut self, now: Time, idle_s: u64) {
        let idle_ms = idle_s * 1_000;
        self.flows.set_idle(idle_s);
        self.flows.expire(now);
        self.stored.retain(|_, stored| now.since(stored.at) <= idle_ms);
        self.filters.retain(|pinned| now.since(pinned.built) <= idle_ms);
        self.handed_over.retain(|pinned| now.since(pinned.built) <= idle_ms);
    }

    /// Removes all state of a target that is gone. Returns the number of flows removed.
    pub fn drop_target(&mut self, target: u16) -> usize {
        if let Some(gone) = self.gone.get_mut(usize::from(target)) {
            *gone = true;
        }
        self.stored.retain(|_, stored| stored.target != target);
        self.filters.retain(|pinned| pinned.target != target);
        self.pending.retain(|pinned| pinned.target != target);
        self.handed_over.retain(|pinned| pinned.target != target);
        self.flows.drop_target(target)
    }

    /// Records that a target which was gone is available again.
    pub fn restore_target(&mut self, target: u16) {
        if let Some(gone) = self.gone.get_mut(usize::from(target)) {
            *gone = false;
        }
    }

    /// Reports whether a target is gone: its state was removed, and it has not come back.
    pub fn is_gone(&self, target: u16) -> bool {
        self.gone.get(usize::from(target)).copied().unwrap_or(false)
    }

    /// Index of a target; a new name gets the next free index.
    pub fn interned_target(&mut self, name: &Arc<str>) -> u16 {
        let id = TargetId::of(name);
        if let Some(interned_target) = self.indices.get(&id) {
            return *interned_target;
        }
        let interned_target = self.names.len() as u16;
        self.names.push(name.clone());
        self.gone.push(false);
        self.indices.insert(id, interned_target);
        interned_target
    }

    /// Index of a target by its identity between instances.
    pub fn target_index(&self, id: TargetId) -> Option<u16> {
        self.indices.get(&id).copied()
    }

    /// Name of a target.
    pub fn name(&self, target: u16) -> Option<&Arc<str>> {
        self.names.get(usize::from(target))
    }

    /// Identity of a target between instances.
    pub fn id(&self, target: u16) -> Option<TargetId> {
        self.name(target).map(|name| TargetId::of(name))
    }

    /// Active filters of pinned flows.
    pub fn filters(&self) -> &[PinnedFlows] {
        &self.filters
    }

    /// Flow table.
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Number of unsettled hash slots.
    pub fn unsettled(&self) -> usize {
        self.unsettled.len()
    }

    /// Number of exceptions stored for other instances.
    pub fn exception_count(&self) -> usize {
        self.stored.len()
    }

    /// Number of flows not tracked because the flow table was full.
    pub fn not_held(&self) -> u64 {
        self.not_held
    }

    fn is_unsettled(&self, slot: usize) -> bool {
        self.unsettled.contains(slot)
    }

    /// Target of a flow on an unsettled slot that no replica knows.
    fn fallback(&self, flow: u64, slot: usize) -> u16 {
        let table = if self.prefers_current { &self.current } else { &self.base };
        let target = self.oldest_match(flow).unwrap_or(table.get(slot));
        if target == NONE || self.is_gone(target) { self.current.get(slot) } else { target }
    }

    /// Target by the filters, if one of another target than the computed one matches
    /// the flow.
    fn filter_target(&self, flow: u64, computed: u16) -> Option<u16> {
        let is_matched =
            self.all_filters().any(|pinned| pinned.target != computed && pinned.may_contain(flow));
        if is_matched { self.oldest_match(flow) } else { None }
    }

    /// Target of the oldest filter that matches a flow. Where filters of several
    /// targets match, the instances that track flows of a newer filter have registered
    /// them with the replicas.
    fn oldest_match(&self, flow: u64) -> Option<u16> {
        self.all_filters().find(|pinned| pinned.may_contain(flow)).map(|pinned| pinned.target)
    }

    /// All filters, oldest first.
    fn all_filters(&self) -> impl Iterator<Item = &PinnedFlows> {
        self.filters.iter().chain(&self.pending)
    }

    fn is_covered(&self, flow: u64, target: u16) -> bool {
        self.filters.iter().any(|pinned| pinned.target == target && pinned.may_contain(flow))
    }

    /// Indexed table of some targets; reuses a table that the router already has.
    fn indexed_table(&mut self, targets: &[WeightedTarget]) -> IndexedTable {
        let existing = [Some(&self.current), Some(&self.base), self.next.as_ref()];
        if let Some(same) = existing.into_iter().flatten().find(|existing| existing.targets == targets) {
            return same.clone();
        }
        let table = Table::new(targets);
        let indices: Vec<u16> = table.names().iter().map(|name| self.interned_target(name)).collect();
        if indices.is_empty() {
            return IndexedTable::default();
        }
        let interned_target = |slot| table.slot_index(slot).map_or(NONE, |index| indices[index]);
        IndexedTable { targets: targets.to_vec(), indices: (0..SLOTS).map(interned_target).collect() }
    }
}
