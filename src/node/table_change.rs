/*!
Moves the instance from one set of routing tables to the next.

New inputs are first announced to all peers; then the tables computed from them
take effect, the participants exchange the filters of their pinned flows, and the
change settles. [`Tracker`](crate::route::change::Tracker) decides when a step is
due, from the progress that peers report; this module carries the steps out.
*/

use std::{collections::BTreeMap, sync::Arc};

use super::{
    MAX_INPUT_HISTORY, Node,
    action::Notice,
    inputs::{self, Inputs},
    service::Service,
};
use crate::{
    member::State,
    route::{
        change::{Peer, Step},
        filter::{Filter, SlotSet},
        router::{PinnedFlows, TargetId},
        table::WeightedTarget,
    },
    wire::{Message, PinnedFilter, Round, ServiceId, TargetState},
};

/// Time for which replies that a target sent before it began to leave may arrive, in
/// milliseconds.
const STALE_REPLY_MS: u64 = 10_000;

/// Interval at which parts are sent again to aggregators whose union has not arrived, in
/// milliseconds.
const PART_RESEND_MS: u64 = 1_000;

impl Node {
    /// Reports whether this instance routes and takes part in table changes.
    pub(super) fn is_participant(&self) -> bool {
        matches!(self.roster.own().state, State::Serving | State::Leaving)
    }

    /// Takes new inputs, computes the next tables and announces their version to peers.
    pub(super) fn announce_inputs(&mut self, inputs: Inputs) {
        self.announced = inputs;
        let version = self.announced.version();
        if !self.is_participant() {
            self.start_with_announced();
            return;
        }
        self.tracker.announce(version, self.now);
        self.check_revision_lag();
        for service in &mut self.services {
            service.router.announce(&self.announced.serving_targets(&service.name));
        }
        self.send_heartbeats_now();
    }

    /// Makes the announced inputs effective at once; used before the instance serves.
    pub(super) fn start_with_announced(&mut self) {
        self.inputs = self.announced.clone();
        self.update_services();
        for service in &mut self.services {
            service.router.reset(&self.announced.serving_targets(&service.name));
        }
        self.tracker.reset(self.announced.version());
        self.assign_owners();
    }

    /// Takes the next step of the change in progress, if one is due.
    pub(super) fn tick_table_change(&mut self) {
        let is_idle =
            self.tracker.is_settled() && self.lagging_peers.is_empty() && self.unfinished_change.is_none();
        if is_idle || !self.is_participant() {
            return;
        }
        self.prune_lagging();
        let peers = self.roster.progress();
        self.update_fallback_table(&peers);
        self.detect_missed_change(&peers);
        self.recheck_participants(&peers);
        let before = self.tracker.progress();
        match self.tracker.step(&peers, self.now) {
            Some(Step::TakeEffect) => {
                if before.settled != before.effective {
                    self.unfinished_change = Some(before.effective);
                }
                self.take_effect();
            }
            Some(Step::Collect) => self.collect(),
            Some(Step::Settle) => self.settle(),
            None => {}
        }
    }

    fn take_effect(&mut self) {
        self.record_input_history();
        self.inputs = self.announced.clone();
        self.update_services();
        for service in &mut self.services {
            service.router.take_effect();
            service.router.prefer_current_table(false);
        }
        self.assign_owners();
        self.collector.clear();
        self.notice(Notice::TablesEffective(self.inputs.version().0));
        self.send_heartbeats_now();
    }

    /// Uses the current table as fallback for flows that no peer knows, once this
    /// instance has all filters or a peer has settled the change.
    fn update_fallback_table(&mut self, peers: &[Peer]) {
        let progress = self.tracker.progress();
        let ended = |peer: &Peer| peer.progress.settled == progress.effective;
        let is_in_progress = progress.settled != progress.effective && progress.known == progress.effective;
        let is_ready = progress.ready == progress.effective || peers.iter().any(ended);
        if is_in_progress && is_ready {
            for service in &mut self.services {
                service.router.prefer_current_table(true);
            }
        }
    }

    /// Detects that peers settled a change that the next one overtook here, so that its
    /// filters are missing.
    fn detect_missed_change(&mut self, peers: &[Peer]) {
        let ended = |peer: &Peer| Some(peer.progress.settled) == self.unfinished_change;
        if self.unfinished_change.is_some() && peers.iter().any(ended) {
            self.missed_change = self.unfinished_change.take();
        }
    }

    /// Restarts the collection if instances have joined since the filters were merged.
    fn recheck_participants(&mut self, peers: &[Peer]) {
        let progress = self.tracker.progress();
        if peers.iter().any(|peer| peer.progress.settled == progress.effective) {
            return;
        }
        let is_waiting = progress.ready == progress.effective && progress.settled != progress.effective;
        let is_covered = self.collector.covers(progress.effective, &self.roster.participants());
        if is_waiting && progress.known == progress.effective && !is_covered {
            self.tracker.restart_collection();
            for service in &mut self.services {
                service.router.discard_pending_filters();
                service.router.prefer_current_table(false);
            }
        }
    }

    /// Adds the effective inputs to the history.
    fn record_input_history(&mut self) {
        let version = self.inputs.version();
        self.input_history.retain(|inputs| inputs.version() != version);
        self.input_history.push_front(self.inputs.clone());
        self.input_history.truncate(MAX_INPUT_HISTORY);
    }

    fn settle(&mut self) {
        for service in &mut self.services {
            service.router.settle();
        }
        self.lagging_peers.clear();
        self.unfinished_change = None;
        self.notice(Notice::TablesSettled(self.inputs.version().0));
    }

    /// Updates the services and their targets to the effective inputs.
    fn update_services(&mut self) {
        let config = self.inputs.config().clone();
        self.drop_removed_services();
        let now = self.now;
        for (name, conf) in &config.services {
            let id = ServiceId::of(name);
            let index = match self.service_by_id.get(&id) {
                Some(index) => *index,
                None => {
                    let mut service = Service::new(name, conf, &self.settings);
                    service.router.reset(&self.inputs.serving_targets(name));
                    self.services.push(service);
                    self.service_by_id.insert(id, self.services.len() - 1);
                    self.services.len() - 1
                }
            };
            let serving: Vec<Arc<str>> = self
                .inputs
                .serving_targets(name)
                .into_iter()
                .map(|member: WeightedTarget| member.name)
                .collect();
            self.services[index].update_targets(conf, &serving, now);
        }
        let configured =
            self.services.iter().enumerate().filter(|(_, service)| !service.conf.targets.is_empty());
        self.service_by_address = configured.map(|(index, service)| (service.conf.address, index)).collect();
        self.drop_foreign_targets();
        self.apply_gone_targets();
    }

    /// Clears services that are no longer configured, and drops their flows.
    fn drop_removed_services(&mut self) {
        let config = self.inputs.config().clone();
        for service in &mut self.services {
            if config.services.contains_key(&service.name) {
                continue;
            }
            service.router.reset(&[]);
            for target_index in service.targets.keys() {
                service.router.drop_target(*target_index);
            }
            service.targets.clear();
            service.conf.targets.clear();
        }
    }

    /// Drops former targets whose address belongs to another service now.
    fn drop_foreign_targets(&mut self) {
        let config = self.inputs.config().clone();
        let mut owners = BTreeMap::new();
        for (name, conf) in &config.services {
            owners.extend(conf.targets.values().map(|target| (target.address, name.clone())));
        }
        for service in &mut self.services {
            let foreign = |target: &super::service::Target| {
                owners.get(&target.address).is_some_and(|owner| *owner != service.name)
            };
            let numbers: Vec<u16> = service
                .targets
                .iter()
                .filter(|(_, target)| foreign(target))
                .map(|(target_index, _)| *target_index)
                .collect();
            for target_index in numbers {
                service.router.drop_target(target_index);
                service.targets.remove(&target_index);
            }
        }
    }

    /// Drops the flows of targets that have stopped, and restores targets that are back.
    fn apply_gone_targets(&mut self) {
        for service in &mut self.services {
            for (target_index, target) in &service.targets {
                let key = (service.id, TargetId::of(&target.key));
                let gone = self.inputs.state(key).is_some_and(|state| state.gone);
                if gone && !service.router.is_gone(*target_index) {
                    service.router.drop_target(*target_index);
                } else if !gone && target.leaving_since.is_none() {
                    service.router.restore_target(*target_index);
                }
            }
        }
    }

    /// Assigns the owners of all concurrency slots.
    pub(super) fn assign_owners(&mut self) {
        let own = self.settings.name.clone();
        let mut instances: Vec<Arc<str>> =
            self.candidates.iter().map(|candidate| candidate.name.clone()).collect();
        if instances.is_empty() {
            instances.push(own.clone());
        }
        for service in &mut self.services {
            service.assign_owners(&instances, &own);
        }
    }

    /// Applies a target's own report that it is leaving or serves again.
    pub(super) fn set_target_leaving(&mut self, service: &str, target: &str, leaving: bool) {
        let Some(conf) = self.announced.config().services.get(service).and_then(|s| s.targets.get(target))
        else {
            return;
        };
        let key = inputs::target_key(target, conf.address);
        let id = (ServiceId::of(service), TargetId::of(&key));
        let epoch = self.announced.state(id).map_or(0, |state| state.epoch);
        let is_known = (epoch % 2 == 1) == leaving;
        if is_known || (!leaving && self.left_recently(id)) {
            return;
        }
        let state = TargetState { service: id.0, target: id.1, epoch: epoch + 1, gone: false };
        let name: Arc<str> = target.into();
        self.notice(if leaving { Notice::TargetLeaving(name) } else { Notice::TargetBack(name) });
        self.merge_states(vec![state]);
    }

    /// Reports whether a target began to leave so recently that a reply sent before
    /// may still arrive and would look like a return. True if the time is unknown.
    fn left_recently(&self, key: inputs::StateKey) -> bool {
        let service = self.service_by_id.get(&key.0).map(|index| &self.services[*index]);
        let target = service.and_then(|service| service.targets.get(&service.router.target_index(key.1)?));
        let since = target.and_then(|target| target.leaving_since);
        since.is_none_or(|since| self.now.since(since) < STALE_REPLY_MS)
    }

    /// Merges states of targets; announces and forwards those that changed.
    pub(super) fn merge_states(&mut self, states: Vec<TargetState>) {
        let mut announced = self.announced.clone();
        let configured = |state: &TargetState| {
            inputs::find_configured(self.announced.config(), (state.service, state.target)).is_some()
        };
        let changed: Vec<TargetState> =
            states.into_iter().filter(configured).filter(|state| announced.merge(*state)).collect();
        if changed.is_empty() {
            return;
        }
        self.announce_inputs(announced);
        let peers: Vec<Arc<str>> = self.roster.live().map(|info| info.name.clone()).collect();
        for peer in peers {
            self.send(&peer, Message::Targets(changed.clone()));
        }
    }

    /// Starts or continues a round of collecting filters.
    fn collect(&mut self) {
        let participants = self.roster.participants();
        let round = Round::new(self.tracker.progress().effective, &participants);
        let now = self.now;
        if self.collector.begin(round, participants.clone()) {
            let parts = self.local_parts(&participants);
            self.collector.set_parts(parts);
        }
        if self.collector.is_due(now, PART_RESEND_MS) {
            let own = self.settings.name.clone();
            for peer in self.collector.missing_unions(&own) {
                let part = self.collector.part_for(&peer);
                self.send(&peer, Message::FilterPart(round, part));
            }
        }
        self.advance_collection();
    }

    /// Filters of the flows that are pinned here, by aggregator.
    fn local_parts(&mut self, participants: &[Arc<str>]) -> BTreeMap<Arc<str>, Vec<PinnedFilter>> {
        let mut parts: BTreeMap<Arc<str>, Vec<PinnedFilter>> = BTreeMap::new();
        let now = self.now;
        for service in &self.services {
            let tracked = service.router.pinned_flows().into_iter().map(|(target, flows)| PinnedFlows {
                target,
                slots: SlotSet::of(&flows),
                filter: Filter::of(&flows),
                built: now,
            });
            for pinned in tracked.chain(service.router.pinned_by_handover()) {
                let Some(pinned) = service.to_wire(&pinned) else {
                    continue;
                };
                let aggregator = super::collector::aggregator(participants, service.id, &pinned.target);
                parts.entry(aggregator).or_default().push(pinned);
            }
        }
        parts
    }

    /// Adds the part of a participant.
    pub(super) fn handle_filter_part(&mut self, sender: &Arc<str>, round: Round, pinned: Vec<PinnedFilter>) {
        if let Some(union) = self.collector.add_part(sender, round, pinned) {
            self.send(sender, Message::FilterUnion(round, union));
        }
        self.advance_collection();
    }

    /// Adds the union of an aggregator.
    pub(super) fn handle_filter_union(&mut self, sender: &Arc<str>, round: Round, pinned: Vec<PinnedFilter>) {
        self.collector.add_union(sender, round, pinned);
        self.advance_collection();
    }

    /// Sends the union once all parts have arrived, and ends the round once all unions have.
    fn advance_collection(&mut self) {
        let own = self.settings.name.clone();
        if let Some((round, union, peers)) = self.collector.finish_parts(&own) {
            for peer in peers {
                self.send(&peer, Message::FilterUnion(round, union.clone()));
            }
        }
        if self.missed_change.is_some() {
            return;
        }
        if let Some((round, unions)) = self.collector.finish_unions() {
            self.add_pinned(&unions);
            self.register_ambiguous();
            self.tracker.filters_complete(round.version);
            self.send_heartbeats_now();
        }
    }

    /// Adds filters of pinned flows from peers; they become active when the change settles.
    pub(super) fn add_pinned(&mut self, pinned: &[PinnedFilter]) {
        for (index, pinned) in self.known_pinned(pinned) {
            self.services[index].router.add_pending_filter(pinned);
        }
    }

    /// Resolves filters from a peer, with the index of each one's service. Unknown
    /// services and targets of other services are left out.
    pub(super) fn known_pinned(&mut self, pinned: &[PinnedFilter]) -> Vec<(usize, PinnedFlows)> {
        let now = self.now;
        let mut known = Vec::new();
        for PinnedFilter { service, target, slots, filter } in pinned {
            let Some(index) = self.service_by_id.get(service).copied() else {
                continue;
            };
            if self.is_foreign(index, target) {
                continue;
            }
            if let Some(target) = self.services[index].former_target(target, now) {
                let (slots, filter) = (slots.clone(), filter.clone());
                known.push((index, PinnedFlows { target, slots, filter, built: now }));
            }
        }
        known
    }

    /// Reports whether the address in a target's name belongs to another service, so that
    /// a peer's message cannot lead packets there.
    pub(super) fn is_foreign(&self, index: usize, key: &str) -> bool {
        let own = &self.services[index].name;
        let others = self.inputs.config().services.iter().filter(|(name, _)| *name != own);
        let mut addresses = others.flat_map(|(_, conf)| conf.targets.values().map(|target| target.address));
        let address = inputs::key_address(key);
        addresses.any(|other| Some(other) == address)
    }

    /// Reopens the settled change for a peer that still routes by an older version: the
    /// hash slots that differ are unsettled again until the peer has caught up.
    pub(super) fn reopen_for_lagging(&mut self, peer: &Arc<str>) {
        let progress = self.roster.live().find(|info| info.name == *peer).map(|info| info.progress);
        let Some(progress) = progress else {
            return;
        };
        let effective = self.tracker.progress().effective;
        if !self.is_participant() || progress.effective == effective || !self.tracker.is_settled() {
            return;
        }
        let older = self.input_history.iter().find(|inputs| inputs.version() == progress.effective).cloned();
        let Some(older) = older else {
            return;
        };
        self.lagging_peers.insert(peer.clone());
        for service in &mut self.services {
            service.router.set_base(&older.serving_targets(&service.name), &SlotSet::default());
            service.router.prefer_current_table(true);
        }
        self.tracker.reopen();
        self.collector.clear();
        self.notice(Notice::PeerLags(peer.clone()));
    }

    /// Forgets lagging peers that are no longer live.
    fn prune_lagging(&mut self) {
        let roster = &self.roster;
        self.lagging_peers.retain(|peer| roster.is_live(peer));
    }
}
