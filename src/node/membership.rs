/*!
Membership of this instance: heartbeats, joining, catching up and draining.

A starting instance serves as soon as it has a configuration and the snapshot of a
serving peer, or if it finds no such peer. A draining instance forwards the packets
that still arrive, hands its tracked flows over to a peer, and then stops.
*/

use std::sync::Arc;

use super::{
    Node,
    action::{Action, Notice},
    service::Service,
};
use crate::{
    hash,
    member::{Change, Heartbeat, Info, State},
    route::table::WeightedTarget,
    wire::{BaseTable, Message, PinnedFilter, Snapshot},
};

/// Time in which a starting instance looks for serving peers before it serves alone,
/// in milliseconds.
const PEER_DISCOVERY_MS: u64 = 2_000;

/// Time for which former replicas of a flow are queried too, as not all instances see
/// a change of replicas at once, in milliseconds.
const FORMER_CANDIDATES_MS: u64 = 3_000;

/// Time after which an unacknowledged handover is sent again, in milliseconds.
const HANDOVER_RETRY_MS: u64 = 20_000;

/// Minimum interval between requests for a snapshot, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 500;

/// Time in which a starting instance accepts only the snapshot of a settled peer, in
/// milliseconds.
const SETTLED_PEER_WAIT_MS: u64 = 6_000;

impl Node {
    /// Updates membership, joins, catches up or stops if that is due, and sends heartbeats.
    pub(super) fn tick_membership(&mut self) {
        let now = self.now;
        self.former_candidates.retain(|(replaced, _)| now.since(*replaced) < FORMER_CANDIDATES_MS);
        let changes = self.roster.tick(self.now);
        self.apply_changes(changes);
        self.try_join();
        self.request_missed_filters();
        self.try_stop();
        self.publish_own_state();
        for (to, heartbeat) in self.roster.due_heartbeats(self.now) {
            self.actions.push(Action::Send { to, message: Message::Heartbeat(heartbeat) });
        }
    }

    /// Sends heartbeats at once, to announce a change.
    pub(super) fn send_heartbeats_now(&mut self) {
        self.publish_own_state();
        for (to, heartbeat) in self.roster.heartbeats_now() {
            self.actions.push(Action::Send { to, message: Message::Heartbeat(heartbeat) });
        }
    }

    /// Takes a heartbeat. Fetches a later revision from the sender, and sends it the
    /// target states that it lacks.
    pub(super) fn receive_heartbeat(&mut self, heartbeat: Heartbeat) {
        let peer = heartbeat.info.name.clone();
        let revision = heartbeat.info.revision;
        let announced = heartbeat.info.progress.known;
        let changes = self.roster.receive_heartbeat(heartbeat, self.now);
        self.apply_changes(changes);
        self.reopen_for_lagging(&peer);
        self.check_revision_lag();
        self.fetch_from(&peer, revision);
        if announced != self.announced.version() && revision == self.lineage.revision() {
            self.send_target_states(&peer);
        }
    }

    /// Checks whether a peer routes by a later configuration revision, as after a process
    /// pause or a network partition. Targets computed here may be wrong then.
    pub(super) fn check_revision_lag(&mut self) {
        let own = self.lineage.revision();
        let known = self.tracker.progress().known;
        let ahead = |info: &Info| info.revision > own && info.progress.effective != known;
        self.is_behind = self.is_participant() && self.roster.serving().any(ahead);
    }

    /// Rank of this instance among the live ones of its availability zone, by hashed name.
    pub(super) fn own_rank_in_zone(&self) -> usize {
        let own = hash::name(&self.settings.name);
        let in_zone = self.roster.live().filter(|info| info.zone == self.settings.zone);
        in_zone.filter(|info| hash::name(&info.name) < own).count()
    }

    /// Starts draining: the instance takes no new role but still forwards packets.
    pub(super) fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        self.notice(Notice::Leaving);
        if self.is_participant() {
            self.set_state(State::Leaving);
        }
    }

    fn send_target_states(&mut self, peer: &str) {
        let states = self.announced.states();
        if !states.is_empty() {
            self.send(peer, Message::Targets(states));
        }
    }

    /// Updates this instance's entry in the roster, which heartbeats carry.
    fn publish_own_state(&mut self) {
        let state = self.roster.own().state;
        self.roster.set_own(state, self.lineage.revision(), self.tracker.progress());
    }

    fn set_state(&mut self, state: State) {
        self.roster.set_own(state, self.lineage.revision(), self.tracker.progress());
        self.update_candidates();
        self.send_heartbeats_now();
    }

    /// Handles peers that joined, failed or left.
    fn apply_changes(&mut self, changes: Vec<Change>) {
        for change in &changes {
            match change {
                Change::Joined(peer) => self.notice(Notice::PeerJoined(peer.clone())),
                Change::Failed(peer) => {
                    self.tracker.note_failed_peer(self.now);
                    self.fail_records_of(peer);
                    self.notice(Notice::PeerFailed(peer.clone()));
                }
                Change::Left(peer) => {
                    self.fail_records_of(peer);
                    self.notice(Notice::PeerLeft(peer.clone()));
                }
            }
        }
        self.update_candidates();
        for change in changes {
            if let Change::Joined(peer) = change {
                self.reopen_for_lagging(&peer);
            }
        }
    }

    /// Updates the candidates for replicas and slot owners, and transfers exceptions and
    /// records to new replicas.
    fn update_candidates(&mut self) {
        if self.roster_epoch == self.roster.epoch() {
            return;
        }
        self.roster_epoch = self.roster.epoch();
        let candidates = self.roster.candidates();
        if candidates == self.candidates {
            return;
        }
        let older = std::mem::replace(&mut self.candidates, candidates);
        self.former_candidates.push((self.now, older.clone()));
        self.assign_owners();
        self.transfer_exceptions(&older);
        self.transfer_records(&older);
    }

    /// Starts to serve if no peer serves, or else requests a snapshot.
    fn try_join(&mut self) {
        let joining = self.roster.own().state == State::Joining;
        if !joining || self.lineage.revision() == 0 || self.draining_since.is_some() {
            return;
        }
        let started = self.started.unwrap_or(self.now);
        let serving: Vec<Arc<str>> = self.roster.serving().map(|info| info.name.clone()).collect();
        if serving.is_empty() {
            if self.now.since(started) >= PEER_DISCOVERY_MS {
                self.start_serving();
            }
            return;
        }
        self.request_snapshot(&serving);
    }

    fn start_serving(&mut self) {
        self.set_state(State::Serving);
        self.notice(Notice::Serving);
    }

    /// Sends a snapshot, if this instance serves.
    pub(super) fn send_snapshot(&mut self, peer: &Arc<str>) {
        if !self.is_participant() {
            return;
        }
        let snapshot = Snapshot {
            version: self.tracker.progress().effective,
            settled: self.tracker.is_settled(),
            ended: self.tracker.progress().settled,
            bases: self.bases(),
            pinned: self.pinned(),
            roster: self.roster.infos(),
        };
        self.send(peer, Message::Snapshot(snapshot));
    }

    /// Active filters of pinned flows.
    fn pinned(&self) -> Vec<PinnedFilter> {
        let of_service = |service: &Service| {
            let filters = service.router.filters().iter();
            filters.filter_map(|pinned| service.to_wire(pinned)).collect::<Vec<_>>()
        };
        self.services.iter().flat_map(of_service).collect()
    }

    /// Takes over the flows of a draining instance.
    pub(super) fn accept_handover(&mut self, sender: &Arc<str>, pinned: &[PinnedFilter]) {
        for (index, pinned) in self.known_pinned(pinned) {
            self.services[index].router.accept_handover(pinned);
        }
        self.send(sender, Message::HandoverAck);
    }

    /// Sends all flows to a successor, which reports them as pinned in later changes.
    fn send_handover(&mut self) {
        let own = hash::name(&self.settings.name);
        let successor = self.candidates.iter().max_by_key(|peer| hash::pair(own, hash::name(&peer.name)));
        let Some(successor) = successor.map(|peer| peer.name.clone()) else {
            self.handover_acked = true;
            return;
        };
        if self.now < self.next_handover {
            return;
        }
        self.next_handover = self.now + HANDOVER_RETRY_MS;
        let now = self.now;
        let mut all = Vec::new();
        for service in &self.services {
            let handover_filters = service.router.handover_filters(now);
            all.extend(handover_filters.iter().filter_map(|pinned| service.to_wire(pinned)));
        }
        self.send(&successor, Message::Handover(all));
    }

    /// Base tables of the services with unsettled hash slots.
    fn bases(&self) -> Vec<BaseTable> {
        let open = self.services.iter().filter(|service| service.router.unsettled() > 0);
        let base = |service: &Service| {
            let members = service.router.base_targets().iter();
            let members = members.map(|member| (member.name.clone(), member.weight)).collect();
            let unsettled = service.router.unsettled_slots().clone();
            BaseTable { service: service.id, members, unsettled }
        };
        open.map(base).collect()
    }

    /// Takes a snapshot: catches up, or starts to serve if this instance is joining.
    pub(super) fn apply_snapshot(&mut self, mut snapshot: Snapshot) {
        let changes = self.roster.merge_infos(std::mem::take(&mut snapshot.roster), self.now);
        self.apply_changes(changes);
        if self.is_participant() {
            self.apply_missed_filters(&snapshot);
            return;
        }
        if self.roster.own().state != State::Joining || snapshot.version != self.announced.version() {
            return;
        }
        let waited = self.now.since(self.started.unwrap_or(self.now));
        if !snapshot.settled && waited < SETTLED_PEER_WAIT_MS {
            return;
        }
        self.use_pinned(&snapshot.pinned);
        if !snapshot.settled {
            self.set_base_tables(&snapshot.bases);
            self.tracker.join(snapshot.version);
        }
        self.start_serving();
    }

    /// Adds filters of pinned flows and activates them at once.
    fn use_pinned(&mut self, pinned: &[PinnedFilter]) {
        self.add_pinned(pinned);
        for service in &mut self.services {
            service.router.activate_filters();
        }
    }

    /// Takes over the filters of a change that the peers settled without this instance.
    fn apply_missed_filters(&mut self, snapshot: &Snapshot) {
        let progress = self.tracker.progress();
        if self.missed_change == Some(snapshot.ended) && snapshot.version == progress.effective {
            self.missed_change = None;
            self.use_pinned(&snapshot.pinned);
            self.set_base_tables(&snapshot.bases);
            return;
        }
        if !snapshot.settled || snapshot.version != progress.effective || progress.ready == progress.effective
        {
            return;
        }
        self.add_pinned(&snapshot.pinned);
        self.register_ambiguous();
        self.tracker.filters_complete(snapshot.version);
    }

    /// Requests the filters of a change from a peer that has settled it.
    fn request_missed_filters(&mut self) {
        let progress = self.tracker.progress();
        let is_behind = self.is_participant() && progress.ready != progress.effective;
        if !is_behind || self.now < self.next_snapshot {
            return;
        }
        let version = self.missed_change.unwrap_or(progress.effective);
        let ended = |info: &&Info| info.progress.settled == version;
        let peers: Vec<Arc<str>> =
            self.roster.serving().filter(ended).map(|info| info.name.clone()).collect();
        if peers.is_empty() {
            return;
        }
        self.request_snapshot(&peers);
    }

    /// Requests a snapshot from one of some peers, in turn.
    fn request_snapshot(&mut self, peers: &[Arc<str>]) {
        if self.now >= self.next_snapshot {
            self.next_snapshot = self.now + SNAPSHOT_RETRY_MS;
            let turn = self.now.0 / SNAPSHOT_RETRY_MS;
            let peer = &peers[turn as usize % peers.len()];
            self.send(peer, Message::GetSnapshot);
        }
    }

    /// Sets the base tables from a snapshot; targets of other services are left out.
    fn set_base_tables(&mut self, bases: &[BaseTable]) {
        for base in bases {
            let Some(index) = self.service_by_id.get(&base.service).copied() else {
                continue;
            };
            let known = base.members.iter().filter(|(name, _)| !self.is_foreign(index, name));
            let members: Vec<WeightedTarget> =
                known.map(|(name, weight)| WeightedTarget::new(name.clone(), *weight)).collect();
            let now = self.now;
            for member in &members {
                self.services[index].former_target(&member.name, now);
            }
            self.services[index].router.set_base(&members, &base.unsettled);
        }
    }

    /// Hands over and stops when draining is finished: the minimum time has passed, no
    /// packet or request is in progress, the change is settled and the handover is
    /// acknowledged. The last two are skipped after the maximum time.
    fn try_stop(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        if self.roster.own().state == State::Left {
            return;
        }
        let waited = self.now.since(since);
        let is_idle = self.jobs.is_empty() && waited >= self.settings.leave_ms;
        let can_stop = self.tracker.is_settled() || waited >= self.settings.hand_over_ms;
        if is_idle && can_stop && !self.handover_acked {
            self.send_handover();
        }
        if is_idle && can_stop && (self.handover_acked || waited >= self.settings.hand_over_ms) {
            self.set_state(State::Left);
            self.actions.push(Action::Stopped);
        }
    }
}
