//! Heartbeats, joining and leaving.

use std::sync::Arc;

use super::{
    Node,
    action::{Action, Notice},
    service::Service,
};
use crate::{
    hash,
    member::{Change, Digest, Heartbeat, State},
    route::table::Member,
    wire::{Base, Message, Old, Snapshot},
};

/// Time in which a starting instance looks for serving peers, in milliseconds.
const ALONE_MS: u64 = 2_000;

/// Time for which former keepers are asked too, in milliseconds.
const OVERLAP_MS: u64 = 3_000;

/// Time after which a heritage that was not acknowledged is sent again, in milliseconds.
const HERITAGE_MS: u64 = 20_000;

/// Time between questions for a snapshot, in milliseconds.
const SNAPSHOT_MS: u64 = 500;

/// Longest wait for a settled peer, in milliseconds.
const SETTLED_MS: u64 = 6_000;

impl Node {
    /// Takes the steps of membership that are due.
    pub(super) fn meet(&mut self) {
        let now = self.now;
        self.older_candidates.retain(|(until, _)| now.since(*until) < OVERLAP_MS);
        let changes = self.roster.tick(self.now);
        self.take_changes(changes);
        self.join_if_possible();
        self.ask_to_catch_up();
        self.leave_if_possible();
        self.tell_own();
        for (to, heartbeat) in self.roster.beats(self.now) {
            self.out.push(Action::Send { to, message: Message::Heartbeat(heartbeat) });
        }
    }

    /// Sends heartbeats now, as something changed.
    pub(super) fn greet_now(&mut self) {
        self.tell_own();
        for (to, heartbeat) in self.roster.beat_now() {
            self.out.push(Action::Send { to, message: Message::Heartbeat(heartbeat) });
        }
    }

    pub(super) fn hear(&mut self, heartbeat: Heartbeat) {
        let peer = heartbeat.digest.name.clone();
        let revision = heartbeat.digest.revision;
        let told = heartbeat.digest.progress.known;
        let changes = self.roster.hear(heartbeat, self.now);
        self.take_changes(changes);
        self.watch_lagging(&peer);
        self.note_behind();
        self.fetch_from(&peer, revision);
        if told != self.told.version() && revision == self.lineage.revision() {
            self.tell_states(&peer);
        }
    }

    /// Notes whether a peer routes by a revision that this instance lacks, as after a
    /// pause or a cut. What it computes is then in doubt.
    pub(super) fn note_behind(&mut self) {
        let own = self.lineage.revision();
        let known = self.tracker.progress().known;
        let ahead = |digest: &Digest| digest.revision > own && digest.progress.effective != known;
        self.is_behind = self.takes_part() && self.roster.serving().any(ahead);
    }

    /// Place of this instance among those of its availability zone, by hash.
    pub(super) fn own_rank_in_zone(&self) -> usize {
        let own = hash::name(&self.settings.name);
        let in_zone = self.roster.live().filter(|digest| digest.zone == self.settings.zone);
        in_zone.filter(|digest| hash::name(&digest.name) < own).count()
    }

    /// Starts to leave: no new role, but all packets that still come.
    pub(super) fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(self.now);
        self.notice(Notice::Leaving);
        if self.takes_part() {
            self.set_state(State::Leaving);
        }
    }

    fn tell_states(&mut self, peer: &str) {
        let states = self.told.states();
        if !states.is_empty() {
            self.send(peer, Message::Targets(states));
        }
    }

    fn tell_own(&mut self) {
        let state = self.roster.own().state;
        self.roster.set_own(state, self.lineage.revision(), self.tracker.progress());
    }

    fn set_state(&mut self, state: State) {
        self.roster.set_own(state, self.lineage.revision(), self.tracker.progress());
        self.update_candidates();
        self.greet_now();
    }

    fn take_changes(&mut self, changes: Vec<Change>) {
        for change in &changes {
            match change {
                Change::Joined(peer) => self.notice(Notice::PeerJoined(peer.clone())),
                Change::Lost(peer) => {
                    self.tracker.lose_peer(self.now);
                    self.abandon_records(peer);
                    self.notice(Notice::PeerLost(peer.clone()));
                }
                Change::Left(peer) => {
                    self.abandon_records(peer);
                    self.notice(Notice::PeerLeft(peer.clone()));
                }
            }
        }
        self.update_candidates();
        for change in changes {
            if let Change::Joined(peer) = change {
                self.watch_lagging(&peer);
            }
        }
    }

    /// Hands over what new keepers and homes need.
    fn update_candidates(&mut self) {
        if self.seen_epoch == self.roster.epoch() {
            return;
        }
        self.seen_epoch = self.roster.epoch();
        let candidates = self.roster.candidates();
        if candidates == self.candidates {
            return;
        }
        let older = std::mem::replace(&mut self.candidates, candidates);
        self.older_candidates.push((self.now, older.clone()));
        self.assign_homes();
        self.hand_exceptions(&older);
        self.hand_records(&older);
    }

    fn join_if_possible(&mut self) {
        let joining = self.roster.own().state == State::Joining;
        if !joining || self.lineage.revision() == 0 || self.draining.is_some() {
            return;
        }
        let started = self.started.unwrap_or(self.now);
        let serving: Vec<Arc<str>> = self.roster.serving().map(|digest| digest.name.clone()).collect();
        if serving.is_empty() {
            if self.now.since(started) >= ALONE_MS {
                self.start_serving();
            }
            return;
        }
        self.ask_snapshot(&serving);
    }

    fn start_serving(&mut self) {
        self.set_state(State::Serving);
        self.notice(Notice::Serving);
    }

    pub(super) fn give_snapshot(&mut self, peer: &Arc<str>) {
        if !self.takes_part() {
            return;
        }
        let snapshot = Snapshot {
            version: self.tracker.progress().effective,
            settled: self.tracker.is_settled(),
            ended: self.tracker.progress().settled,
            bases: self.bases(),
            old: self.old(),
            roster: self.roster.digests(),
        };
        self.send(peer, Message::Snapshot(snapshot));
    }

    /// Filters of old flows that count.
    fn old(&self) -> Vec<Old> {
        let of_service = |service: &Service| {
            let filters = service.router.filters().iter();
            filters.filter_map(|old| service.wire_old(old)).collect::<Vec<_>>()
        };
        self.services.iter().flat_map(of_service).collect()
    }

    /// Takes over the flows of an instance that leaves.
    pub(super) fn inherit(&mut self, sender: &Arc<str>, old: &[Old]) {
        for (index, old) in self.known_old(old) {
            self.services[index].router.inherit(old);
        }
        self.send(sender, Message::Inherited);
    }

    /// Hands all flows to the instance that answers for them in later changes.
    fn bequeath(&mut self) {
        let own = hash::name(&self.settings.name);
        let heir = self.candidates.iter().max_by_key(|peer| hash::pair(own, hash::name(&peer.name)));
        let Some(heir) = heir.map(|peer| peer.name.clone()) else {
            self.heir_holds = true;
            return;
        };
        if self.now < self.next_heritage {
            return;
        }
        self.next_heritage = self.now + HERITAGE_MS;
        let now = self.now;
        let mut all = Vec::new();
        for service in &self.services {
            let heritage = service.router.heritage(now);
            all.extend(heritage.iter().filter_map(|old| service.wire_old(old)));
        }
        self.send(&heir, Message::Heritage(all));
    }

    /// Tables that some instances may still have in force.
    fn bases(&self) -> Vec<Base> {
        let open = self.services.iter().filter(|service| service.router.unsettled() > 0);
        let base = |service: &Service| {
            let members = service.router.base_members().iter();
            let members = members.map(|member| (member.name.clone(), member.weight)).collect();
            let unsettled = service.router.unsettled_slots().clone();
            Base { service: service.id, members, unsettled }
        };
        open.map(base).collect()
    }

    pub(super) fn take_snapshot(&mut self, mut snapshot: Snapshot) {
        let changes = self.roster.learn_all(std::mem::take(&mut snapshot.roster), self.now);
        self.take_changes(changes);
        if self.takes_part() {
            self.catch_up(&snapshot);
            return;
        }
        if self.roster.own().state != State::Joining || snapshot.version != self.told.version() {
            return;
        }
        let waited = self.now.since(self.started.unwrap_or(self.now));
        if !snapshot.settled && waited < SETTLED_MS {
            return;
        }
        self.use_old(&snapshot.old);
        if !snapshot.settled {
            self.set_bases(&snapshot.bases);
            self.tracker.join(snapshot.version);
        }
        self.start_serving();
    }

    fn use_old(&mut self, old: &[Old]) {
        self.add_old(old);
        for service in &mut self.services {
            service.router.use_filters();
        }
    }

    /// Takes over the filters of a change that ended among the others before
    /// this instance took part in it.
    fn catch_up(&mut self, snapshot: &Snapshot) {
        let progress = self.tracker.progress();
        if self.missed == Some(snapshot.ended) && snapshot.version == progress.effective {
            self.missed = None;
            self.use_old(&snapshot.old);
            self.set_bases(&snapshot.bases);
            return;
        }
        if !snapshot.settled || snapshot.version != progress.effective || progress.ready == progress.effective
        {
            return;
        }
        self.add_old(&snapshot.old);
        self.register_ambiguous();
        self.tracker.complete(snapshot.version);
    }

    /// Asks for the filters of a change that all others have ended.
    fn ask_to_catch_up(&mut self) {
        let progress = self.tracker.progress();
        let is_behind = self.takes_part() && progress.ready != progress.effective;
        if !is_behind || self.now < self.next_snapshot {
            return;
        }
        let version = self.missed.unwrap_or(progress.effective);
        let ended = |digest: &&Digest| digest.progress.settled == version;
        let peers: Vec<Arc<str>> =
            self.roster.serving().filter(ended).map(|digest| digest.name.clone()).collect();
        if peers.is_empty() {
            return;
        }
        self.ask_snapshot(&peers);
    }

    fn ask_snapshot(&mut self, peers: &[Arc<str>]) {
        if self.now >= self.next_snapshot {
            self.next_snapshot = self.now + SNAPSHOT_MS;
            let turn = self.now.0 / SNAPSHOT_MS;
            let peer = &peers[turn as usize % peers.len()];
            self.send(peer, Message::WantSnapshot);
        }
    }

    fn set_bases(&mut self, bases: &[Base]) {
        for base in bases {
            let Some(index) = self.by_id.get(&base.service).copied() else {
                continue;
            };
            let known = base.members.iter().filter(|(name, _)| !self.is_foreign(index, name));
            let members: Vec<Member> =
                known.map(|(name, weight)| Member::new(name.clone(), *weight)).collect();
            let now = self.now;
            for member in &members {
                self.services[index].old_target(&member.name, now);
            }
            self.services[index].router.set_base(&members, &base.unsettled);
        }
    }

    fn leave_if_possible(&mut self) {
        let Some(since) = self.draining else {
            return;
        };
        if self.roster.own().state == State::Left {
            return;
        }
        let waited = self.now.since(since);
        let is_idle = self.jobs.is_empty() && waited >= self.settings.leave_ms;
        let may_go = self.tracker.is_settled() || waited >= self.settings.hand_over_ms;
        if is_idle && may_go && !self.heir_holds {
            self.bequeath();
        }
        if is_idle && may_go && (self.heir_holds || waited >= self.settings.hand_over_ms) {
            self.set_state(State::Left);
            self.out.push(Action::Stopped);
        }
    }
}
