/*!
Routing of one service on one instance.

A router holds three tables: `base`, the last one that all instances had in
force; `current`, the one in force here; and `next`, one that has been announced.
A slot is unsettled where they differ. What is not in the local flow table is
computed from the tables and the filters of old flows, and where that would be a
guess the answer is [`Decision::Lookup`].
*/

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{
    filter::{Filter, SlotSet},
    flow::{Flows, KeyMap},
    numbered::{NONE, Slots},
    table::{SLOTS, Table, WeightedTarget},
};
use crate::{hash, time::Time};

/// Identity of a target between instances: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TargetId(#[serde(with = "postcard::fixint::le")] pub u64);

impl TargetId {
    /// Identity of a name.
    pub fn of(name: &str) -> TargetId {
        TargetId(hash::name(name))
    }
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To this target.
    Target(u16),
    /// To this target, once the flow's keepers know.
    Register(u16),
    /// To the target that the flow's keepers name, or to this one.
    Lookup(u16),
    /// Nowhere: the service has no target.
    NoTarget,
}

/// Flows that stay on a target though the table says otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct PinnedFlows {
    /// Their target.
    pub target: u16,
    /// Slots that the flows are in.
    pub slots: SlotSet,
    /// The flows, and some others.
    pub filter: Filter,
    /// When it was built.
    pub built: Time,
}

/// Exception kept for other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredException {
    target: u16,
    at: Time,
}

impl PinnedFlows {
    fn claims(&self, flow: u64) -> bool {
        self.slots.contains(Table::slot(flow)) && self.filter.contains(flow)
    }
}

/// Routing state of one service.
#[derive(Clone, Debug)]
pub struct Router {
    names: Vec<Arc<str>>,
    numbers: HashMap<TargetId, u16>,
    gone: Vec<bool>,
    base: Slots,
    current: Slots,
    next: Option<Slots>,
    unsettled: SlotSet,
    registered: SlotSet,
    trusts_current: bool,
    filters: Vec<PinnedFlows>,
    incoming: Vec<PinnedFlows>,
    handed_over: Vec<PinnedFlows>,
    flows: Flows,
    stored: KeyMap<StoredException>,
    exception_limit: usize,
    not_held: u64,
}

impl Router {
    /// Router without targets that holds at most `limit` flows.
    pub fn new(limit: usize, idle_s: u64) -> Router {
        Router {
            names: Vec::new(),
            numbers: HashMap::new(),
            gone: Vec::new(),
            base: Slots::default(),
            current: Slots::default(),
            next: None,
            unsettled: SlotSet::default(),
            registered: SlotSet::default(),
            trusts_current: false,
            filters: Vec::new(),
            incoming: Vec::new(),
            handed_over: Vec::new(),
            flows: Flows::new(limit, idle_s),
            stored: KeyMap::default(),
            exception_limit: limit,
            not_held: 0,
        }
    }

    /// Decides for the first packet of a flow.
    pub fn decide_first(&mut self, flow: u64, now: Time) -> Decision {
        self.decide(flow, now, |router, slot, target| {
            let is_exception =
                router.registered.contains(slot) || router.filter_target(flow, target).is_some();
            is_exception.then_some(Decision::Register(target))
        })
    }

    /// Decides for a later packet of a flow.
    pub fn decide_later(&mut self, flow: u64, now: Time) -> Decision {
        self.decide(flow, now, |router, slot, target| {
            if let Some(pinned) = router.filter_target(flow, target) {
                return Some(Decision::Lookup(pinned));
            }
            router.is_unsettled(slot).then(|| Decision::Lookup(router.fallback(flow, slot)))
        })
    }

    /// Decides by what is held, by what is in doubt, and by the table.
    fn decide(
        &mut self,
        flow: u64,
        now: Time,
        doubt: impl FnOnce(&Router, usize, u16) -> Option<Decision>,
    ) -> Decision {
        if let Some(target) = self.flows.touch(flow, now) {
            return Decision::Target(target);
        }
        let slot = Table::slot(flow);
        let target = self.current.get(slot);
        if target == NONE {
            return Decision::NoTarget;
        }
        if let Some(decision) = doubt(self, slot, target) {
            return decision;
        }
        self.track(flow, target, now);
        Decision::Target(target)
    }

    /// Holds a flow whose target was agreed with its keepers.
    pub fn track(&mut self, flow: u64, target: u16, now: Time) {
        if !self.flows.insert(flow, target, now) {
            self.not_held += 1;
        }
    }

    /// Forgets a flow that has ended.
    pub fn forget(&mut self, flow: u64) {
        self.flows.remove(flow);
        self.stored.remove(&flow);
    }

    /// Target that this instance knows for a flow, as holder or as keeper.
    pub fn stored_target(&self, flow: u64) -> Option<u16> {
        self.stored.get(&flow).map(|stored| stored.target).or_else(|| self.flows.get(flow))
    }

    /// Target that tables and filters give a flow, if its slot is settled.
    pub fn computed_target(&self, flow: u64) -> Option<u16> {
        if self.is_unsettled(Table::slot(flow)) {
            return None;
        }
        let target = self.current.get(Table::slot(flow));
        let target = self.filter_target(flow, target).unwrap_or(target);
        (target != NONE).then_some(target)
    }

    /// Keeps an exception for others. The first one stands; returns it, or
    /// nothing if there is no room.
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

    /// Exceptions that this instance keeps.
    pub fn stored(&self) -> impl Iterator<Item = (u64, u16)> + '_ {
        self.stored.iter().map(|(flow, stored)| (*flow, stored.target))
    }

    /// Takes a table into force at once, as at the start.
    pub fn reset(&mut self, members: &[WeightedTarget]) {
        self.current = self.slots(members);
        self.base = self.current.clone();
        self.next = None;
        self.unsettled = SlotSet::default();
        self.registered = SlotSet::default();
    }

    /// Sets the table that some instances may still have in force, and the slots
    /// that are unsettled besides those where it differs.
    pub fn set_base(&mut self, members: &[WeightedTarget], unsettled: &SlotSet) {
        self.base = self.slots(members);
        self.unsettled.merge(unsettled);
        self.unsettled.merge(&self.base.differing(&self.current));
        self.registered.merge(&self.unsettled);
    }

    /// What the table is computed from that some instances may still have in force.
    pub fn base_targets(&self) -> &[WeightedTarget] {
        &self.base.members
    }

    /// Slots that are unsettled.
    pub fn unsettled_slots(&self) -> &SlotSet {
        &self.unsettled
    }

    /// Says which table a flow goes by that nobody knows: the one in force, as
    /// others had settled on it, or the older one.
    pub fn prefer_current_table(&mut self, trusts: bool) {
        self.trusts_current = trusts;
    }

    /// Announces the next table.
    pub fn announce(&mut self, members: &[WeightedTarget]) {
        let next = self.slots(members);
        self.unsettled.merge(&next.differing(&self.current));
        self.next = Some(next);
    }

    /// Takes the announced table into force.
    pub fn take_effect(&mut self) {
        self.discard_pending_filters();
        if let Some(next) = self.next.take() {
            self.current = next;
            self.registered.merge(&self.unsettled);
        }
    }

    /// Takes over the flows of an instance that leaves.
    pub fn accept_handover(&mut self, pinned: PinnedFlows) {
        self.handed_over.push(pinned);
    }

    /// All flows by target: those held, and those inherited.
    pub fn handover_filters(&self, now: Time) -> Vec<PinnedFlows> {
        let mut by_target: BTreeMap<u16, Vec<u64>> = BTreeMap::new();
        for (flow, target) in self.flows.iter() {
            let is_computed = self.current.get(Table::slot(flow)) == target;
            if is_computed || !self.is_covered(flow, target) {
                by_target.entry(target).or_default().push(flow);
            }
        }
        let held = by_target.into_iter().map(|(target, flows)| PinnedFlows {
            target,
            slots: SlotSet::of(&flows),
            filter: Filter::of(&flows),
            built: now,
        });
        held.chain(self.handed_over.iter().cloned()).collect()
    }

    /// Inherited flows on slots that lead elsewhere now and that no filter covers.
    pub fn pinned_by_handover(&self) -> Vec<PinnedFlows> {
        let mut moved = Vec::new();
        for pinned in &self.handed_over {
            let elsewhere = |slot: &usize| self.current.get(*slot) != pinned.target;
            let uncovered = |slot: &usize| {
                !self
                    .filters
                    .iter()
                    .any(|f| f.target == pinned.target && f.slots.contains(*slot) && f.built > pinned.built)
            };
            let slots =
                (0..SLOTS).filter(|slot| pinned.slots.contains(*slot)).filter(elsewhere).filter(uncovered);
            let slots = SlotSet::from_slots(slots);
            if !slots.is_empty() && !self.is_gone(pinned.target) {
                moved.push(PinnedFlows { slots, ..pinned.clone() });
            }
        }
        moved
    }

    /// Flows held on other targets than the computed one, by target, that no
    /// filter covers yet.
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

    /// Flows held here that a new filter claims and any filter claims for another
    /// target. Only keepers can tell them from others.
    pub fn ambiguous_flows(&self) -> Vec<(u64, u16)> {
        let claimed = |(flow, target): &(u64, u16)| {
            let is_new = self.incoming.iter().any(|pinned| pinned.claims(*flow));
            is_new && self.all_filters().any(|pinned| pinned.target != *target && pinned.claims(*flow))
        };
        self.flows.iter().filter(claimed).collect()
    }

    /// Adds a complete filter of the old flows of a target. It counts once the
    /// change has ended.
    pub fn add_pending_filter(&mut self, pinned: PinnedFlows) {
        let same = |known: &PinnedFlows| known.target == pinned.target && known.filter == pinned.filter;
        if !pinned.filter.is_empty() && !self.filters.iter().chain(&self.incoming).any(same) {
            self.incoming.push(pinned);
        }
    }

    /// Drops the filters that do not count yet, as they are collected anew.
    pub fn discard_pending_filters(&mut self) {
        self.incoming.clear();
    }

    /// Makes the filters count that were added.
    pub fn activate_filters(&mut self) {
        self.filters.append(&mut self.incoming);
    }

    /// Ends a change: every instance has the table and the filters.
    pub fn settle(&mut self) {
        self.base = self.current.clone();
        self.trusts_current = false;
        let next = self.next.as_ref();
        self.unsettled = next.map(|next| next.differing(&self.current)).unwrap_or_default();
        self.registered = SlotSet::default();
        self.activate_filters();
        let computed = |flow: u64, target: u16| self.current.get(Table::slot(flow)) == target;
        let claimed = |flow: u64| self.filters.iter().any(|pinned| pinned.claims(flow));
        self.stored.retain(|flow, stored| !computed(*flow, stored.target) || claimed(*flow));
    }

    /// Drops what has been idle too long: flows, exceptions, filters.
    pub fn expire(&mut self, now: Time, idle_s: u64) {
        let idle_ms = idle_s * 1_000;
        self.flows.set_idle(idle_s);
        self.flows.expire(now);
        self.stored.retain(|_, stored| now.since(stored.at) <= idle_ms);
        self.filters.retain(|pinned| now.since(pinned.built) <= idle_ms);
        self.handed_over.retain(|pinned| now.since(pinned.built) <= idle_ms);
    }

    /// Drops everything that leads to a target that is gone. Returns the flows dropped.
    pub fn drop_target(&mut self, target: u16) -> usize {
        if let Some(gone) = self.gone.get_mut(usize::from(target)) {
            *gone = true;
        }
        self.stored.retain(|_, stored| stored.target != target);
        self.filters.retain(|pinned| pinned.target != target);
        self.incoming.retain(|pinned| pinned.target != target);
        self.handed_over.retain(|pinned| pinned.target != target);
        self.flows.drop_target(target)
    }

    /// Notes that a target which was gone is back.
    pub fn restore_target(&mut self, target: u16) {
        if let Some(gone) = self.gone.get_mut(usize::from(target)) {
            *gone = false;
        }
    }

    /// Reports whether a target is gone.
    pub fn is_gone(&self, target: u16) -> bool {
        self.gone.get(usize::from(target)).copied().unwrap_or(false)
    }

    /// Number of a target, given to it at first sight.
    pub fn interned_target(&mut self, name: &Arc<str>) -> u16 {
        let id = TargetId::of(name);
        if let Some(interned_target) = self.numbers.get(&id) {
            return *interned_target;
        }
        let interned_target = self.names.len() as u16;
        self.names.push(name.clone());
        self.gone.push(false);
        self.numbers.insert(id, interned_target);
        interned_target
    }

    /// Number of a target that a peer named.
    pub fn target_index(&self, id: TargetId) -> Option<u16> {
        self.numbers.get(&id).copied()
    }

    /// Name of a target.
    pub fn name(&self, target: u16) -> Option<&Arc<str>> {
        self.names.get(usize::from(target))
    }

    /// Identity of a target.
    pub fn id(&self, target: u16) -> Option<TargetId> {
        self.name(target).map(|name| TargetId::of(name))
    }

    /// Filters of old flows that count.
    pub fn filters(&self) -> &[PinnedFlows] {
        &self.filters
    }

    /// Flows held.
    pub fn flows(&self) -> &Flows {
        &self.flows
    }

    /// Number of unsettled slots.
    pub fn unsettled(&self) -> usize {
        self.unsettled.len()
    }

    /// Number of exceptions kept for others.
    pub fn exception_count(&self) -> usize {
        self.stored.len()
    }

    /// Flows that found no room.
    pub fn not_held(&self) -> u64 {
        self.not_held
    }

    fn is_unsettled(&self, slot: usize) -> bool {
        self.unsettled.contains(slot)
    }

    /// Target of a flow on an unsettled slot that nobody knows.
    fn fallback(&self, flow: u64, slot: usize) -> u16 {
        let table = if self.trusts_current { &self.current } else { &self.base };
        let target = self.oldest_claim(flow).unwrap_or(table.get(slot));
        if target == NONE || self.is_gone(target) { self.current.get(slot) } else { target }
    }

    /// Target of a flow that filters claim for another target than the computed
    /// one, if nobody knows it.
    fn filter_target(&self, flow: u64, computed: u16) -> Option<u16> {
        let is_claimed = self.all_filters().any(|pinned| pinned.target != computed && pinned.claims(flow));
        if is_claimed { self.oldest_claim(flow) } else { None }
    }

    /// Target of the oldest filter that claims a flow. Those who held flows of a
    /// later one have told keepers where filters disagree.
    fn oldest_claim(&self, flow: u64) -> Option<u16> {
        self.all_filters().find(|pinned| pinned.claims(flow)).map(|pinned| pinned.target)
    }

    /// All filters, oldest first.
    fn all_filters(&self) -> impl Iterator<Item = &PinnedFlows> {
        self.filters.iter().chain(&self.incoming)
    }

    fn is_covered(&self, flow: u64, target: u16) -> bool {
        self.filters.iter().any(|pinned| pinned.target == target && pinned.claims(flow))
    }

    /// Table of some members; one that is held already is not computed again.
    fn slots(&mut self, members: &[WeightedTarget]) -> Slots {
        let held = [Some(&self.current), Some(&self.base), self.next.as_ref()];
        if let Some(same) = held.into_iter().flatten().find(|held| held.members == members) {
            return same.clone();
        }
        let table = Table::new(members);
        let numbers: Vec<u16> = table.names().iter().map(|name| self.interned_target(name)).collect();
        if numbers.is_empty() {
            return Slots::default();
        }
        let interned_target = |slot| table.slot_index(slot).map_or(NONE, |index| numbers[index]);
        Slots { members: members.to_vec(), numbers: (0..SLOTS).map(interned_target).collect() }
    }
}
