//! Heartbeats, joining and leaving.

use std::sync::Arc;

use super::{
    Node,
    action::{Action, Notice},
};
use crate::{
    hash,
    member::{Change, Heartbeat, State},
    wire::{Message, Old, Snapshot},
};

/// Time in which a starting instance looks for serving peers, in milliseconds.
const ALONE_MS: u64 = 2_000;

/// Time between questions for a snapshot, in milliseconds.
const SNAPSHOT_MS: u64 = 500;

/// Longest wait for a settled peer, in milliseconds.
const SETTLED_MS: u64 = 6_000;

impl Node {
    /// Takes the steps of membership that are due.
    pub(super) fn meet(&mut self) {
        let changes = self.roster.tick(self.now);
        self.take_changes(changes);
        self.join_if_possible();
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
        self.fetch_from(&peer, revision);
        if told != self.told.version() && revision == self.lineage.revision() {
            self.tell_states(&peer);
        }
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
                    self.tracker.lose_peer(self.now);
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
        let candidates = self.roster.candidates();
        if candidates == self.candidates {
            return;
        }
        let older = std::mem::replace(&mut self.candidates, candidates);
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
        if self.now >= self.next_snapshot {
            self.next_snapshot = self.now + SNAPSHOT_MS;
            let turn = self.now.0 / SNAPSHOT_MS;
            let peer = &serving[turn as usize % serving.len()];
            self.send(peer, Message::WantSnapshot);
        }
    }

    fn start_serving(&mut self) {
        self.set_state(State::Serving);
        self.notice(Notice::Serving);
    }

    pub(super) fn give_snapshot(&mut self, peer: &Arc<str>) {
        if !self.takes_part() {
            return;
        }
        let mut old = Vec::new();
        for service in &self.services {
            for filter in service.router.filters() {
                if let Some(target) = service.router.id(filter.target) {
                    old.push(Old { service: service.id, target, filter: filter.filter.clone() });
                }
            }
        }
        let snapshot =
            Snapshot { version: self.tracker.progress().effective, settled: self.tracker.is_settled(), old };
        self.send(peer, Message::Snapshot(snapshot));
    }

    pub(super) fn take_snapshot(&mut self, _sender: &Arc<str>, snapshot: Snapshot) {
        if self.roster.own().state != State::Joining || snapshot.version != self.told.version() {
            return;
        }
        let waited = self.now.since(self.started.unwrap_or(self.now));
        if !snapshot.settled && waited < SETTLED_MS {
            return;
        }
        self.add_old(&snapshot.old);
        if !snapshot.settled {
            self.tracker.join(snapshot.version);
        }
        self.start_serving();
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
        if is_idle && may_go {
            self.set_state(State::Left);
            self.out.push(Action::Stopped);
        }
    }
}
