//! Roster: the membership list of one instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{
    Change, ESTABLISHED_MS, FANOUT, FORGET_MS, GOSSIP_REPEATS, GossipItem, HEARTBEAT_MS, Heartbeat, Info,
    MAX_GOSSIP_ITEMS, OBSERVED, OBSERVERS, PAUSE_MS, SEQ_SPREAD, SUSPECT_MS, State, Suspicion, ring::Ring,
};
use crate::{
    route::{
        change::{self, Progress},
        replica::Candidate,
    },
    time::Time,
};

/// Peer as this instance sees it.
#[derive(Clone, Debug)]
struct Peer {
    info: Info,
    last_update: Time,
    serving_since: Option<Time>,
    suspicions: BTreeSet<Arc<str>>,
    failed: bool,
}

/// Gossip item, and the number of heartbeats that will still carry it.
#[derive(Clone, Debug)]
struct Pending {
    item: GossipItem,
    sends_left: u32,
}

/// Membership list of one instance.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Info,
    peers: BTreeMap<Arc<str>, Peer>,
    seeds: BTreeSet<SocketAddr>,
    pending: Vec<Pending>,
    next_heartbeat: Time,
    last_event: Option<Time>,
    awaiting_heartbeat: bool,
    own_serving_since: Option<Time>,
    ring: Ring,
    epoch: u64,
}

impl Roster {
    /// Roster of one instance that starts with some seed addresses.
    pub fn new(own: Info, seeds: impl IntoIterator<Item = SocketAddr>) -> Roster {
        let address = own.address;
        Roster {
            own,
            peers: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            pending: Vec::new(),
            next_heartbeat: Time::default(),
            last_event: None,
            awaiting_heartbeat: false,
            own_serving_since: None,
            ring: Ring::default(),
            epoch: 0,
        }
    }

    /// Info of this instance.
    pub fn own(&self) -> &Info {
        &self.own
    }

    /// Sets what this instance reports about itself.
    pub fn set_own(&mut self, state: State, revision: u64, progress: Progress) {
        self.epoch += u64::from(self.own.state != state);
        self.own.state = state;
        self.own.revision = revision;
        self.own.progress = progress;
    }

    /// Counter that grows when an instance joins, fails, stops or changes its state.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Adds seed addresses from the platform's list.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.address;
        self.seeds.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Peers that have neither failed nor stopped.
    pub fn live(&self) -> impl Iterator<Item = &Info> {
        let live = |peer: &&Peer| !peer.failed && peer.info.state != State::Left;
        self.peers.values().filter(live).map(|peer| &peer.info)
    }

    /// Live peers that take part in table changes.
    pub fn serving(&self) -> impl Iterator<Item = &Info> {
        self.live().filter(|info| matches!(info.state, State::Serving | State::Leaving))
    }

    /// Progress of the peers that take part in table changes.
    pub fn progress(&self) -> Vec<change::Peer> {
        let peer = |info: &Info| change::Peer { name: info.name.clone(), progress: info.progress };
        self.serving().map(peer).collect()
    }

    /// Instances that can be replicas, this one included.
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |info: &Info| Candidate::new(info.name.clone(), info.zone.clone());
        let own = Some(&self.own).filter(|own| own.state == State::Serving);
        let serving = self.live().filter(|info| info.state == State::Serving);
        let mut all: Vec<Candidate> = own.into_iter().chain(serving).map(candidate).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Candidates that have served for [`ESTABLISHED_MS`], and so have received all
    /// transferred state. All candidates if fewer than two have.
    pub fn established(&self, now: Time) -> Vec<Candidate> {
        let has_served = |since: Option<Time>| since.is_some_and(|since| now.since(since) >= ESTABLISHED_MS);
        let is_established = |candidate: &Candidate| match self.peers.get(&candidate.name) {
            Some(peer) => has_served(peer.serving_since),
            None => has_served(self.own_serving_since),
        };
        let all = self.candidates();
        let long_serving: Vec<Candidate> = all.iter().filter(|c| is_established(c)).cloned().collect();
        if long_serving.len() < 2 { all } else { long_serving }
    }

    /// Names of the instances that take part in table changes, this one included.
    pub fn participants(&self) -> Vec<Arc<str>> {
        let own = std::iter::once(self.own.name.clone());
        let mut names: Vec<_> = own.chain(self.serving().map(|info| info.name.clone())).collect();
        names.sort();
        names
    }

    /// Address of a peer.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.info.address)
    }

    /// Reports whether a peer is live.
    pub fn is_live(&self, name: &str) -> bool {
        self.live().any(|info| &*info.name == name)
    }

    /// Reports whether no heartbeat has arrived since a pause of this process, although
    /// there are live peers.
    pub fn awaits_heartbeat(&self) -> bool {
        self.awaiting_heartbeat && self.live().next().is_some()
    }

    /// Processes a heartbeat.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> Vec<Change> {
        self.awaiting_heartbeat = false;
        let mut changes = Vec::new();
        self.seeds.remove(&heartbeat.info.address);
        self.apply_info(heartbeat.info, now, &mut changes);
        for item in heartbeat.gossip {
            match item {
                GossipItem::Info(info) => self.apply_info(info, now, &mut changes),
                GossipItem::Suspicion(suspicion) => self.suspect(suspicion, &mut changes),
            }
        }
        changes
    }

    /// Infos of this instance and its live peers.
    pub fn infos(&self) -> Vec<Info> {
        std::iter::once(&self.own).chain(self.live()).cloned().collect()
    }

    /// Merges another instance's view of the roster.
    pub fn merge_infos(&mut self, infos: Vec<Info>, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for info in infos {
            self.apply_info(info, now, &mut changes);
        }
        changes
    }

    /// Detects failed peers. Call it on every tick.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        self.detect_pause(now);
        if self.own.state != State::Serving {
            self.own_serving_since = None;
        } else {
            self.own_serving_since.get_or_insert(now);
        }
        let mut changes = Vec::new();
        for suspicion in self.overdue(now) {
            self.suspect(suspicion, &mut changes);
        }
        self.peers.retain(|_, peer| {
            !(peer.failed || peer.info.state == State::Left) || now.since(peer.last_update) < FORGET_MS
        });
        changes
    }

    /// Detects a pause of this process from the time since the last event.
    pub fn detect_pause(&mut self, now: Time) {
        let pause = self.last_event.map_or(0, |last| now.since(last));
        self.last_event = Some(now);
        if pause >= PAUSE_MS {
            self.reset_timeouts(now);
            self.own_serving_since = None;
        }
    }

    /// Heartbeats that are due, with their addresses.
    pub fn due_heartbeats(&mut self, now: Time) -> Vec<(SocketAddr, Heartbeat)> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + HEARTBEAT_MS;
        self.heartbeats_now()
    }

    /// Heartbeats to all neighbours at once, for example after a state change.
    pub fn heartbeats_now(&mut self) -> Vec<(SocketAddr, Heartbeat)> {
        self.own.heartbeat_seq += 1;
        let heartbeat = Heartbeat { info: self.own.clone(), gossip: self.gossip() };
        let mut addresses: BTreeSet<SocketAddr> = self.neighbours().into_iter().collect();
        addresses.extend(self.seeds.iter().take(FANOUT));
        addresses.into_iter().map(|address| (address, heartbeat.clone())).collect()
    }

    fn apply_info(&mut self, info: Info, now: Time, changes: &mut Vec<Change>) {
        if info.name == self.own.name {
            return;
        }
        let name = info.name.clone();
        let Some(peer) = self.peers.get_mut(&name) else {
            let is_live = info.state != State::Left;
            let peer = Peer {
                serving_since: (info.state == State::Serving).then_some(now),
                info: info.clone(),
                last_update: now,
                suspicions: BTreeSet::new(),
                failed: false,
            };
            self.peers.insert(name.clone(), peer);
            self.advance_epoch();
            if is_live {
                changes.push(Change::Joined(name));
            }
            self.queue_item(GossipItem::Info(info));
            return;
        };
        if !info.is_newer_than(&peer.info) {
            return;
        }
        let was_live = !peer.failed && peer.info.state != State::Left;
        let restarted = info.incarnation != peer.info.incarnation;
        let differs = info.has_changed_from(&peer.info) || peer.failed;
        let keeps_serving = was_live && !restarted && peer.info.state == State::Serving;
        if info.state != State::Serving {
            peer.serving_since = None;
        } else if !keeps_serving {
            peer.serving_since = Some(now);
        }
        let state_changed = peer.failed || restarted || peer.info.state != info.state;
        peer.info = info.clone();
        peer.last_update = now;
        peer.suspicions.clear();
        peer.failed = false;
        if state_changed {
            self.advance_epoch();
        }
        if was_live && restarted {
            changes.push(Change::Failed(name.clone()));
        }
        match (was_live && !restarted, info.state != State::Left) {
            (false, true) => changes.push(Change::Joined(name)),
            (true, false) => changes.push(Change::Left(name)),
            _ => {}
        }
        if differs {
            self.queue_item(GossipItem::Info(info));
        }
    }

    fn suspect(&mut self, suspicion: Suspicion, changes: &mut Vec<Change>) {
        let required_observers = self.required_observers(&suspicion.subject);
        let Some(peer) = self.peers.get_mut(&suspicion.subject) else {
            return;
        };
        let latest = (suspicion.incarnation, suspicion.heartbeat_seq.saturating_add(SEQ_SPREAD));
        let stale = latest < (peer.info.incarnation, peer.info.heartbeat_seq);
        if peer.info.state == State::Left {
            let left = peer.info.clone();
            self.queue_item(GossipItem::Info(left));
            return;
        }
        if stale || peer.failed || !peer.suspicions.insert(suspicion.observer.clone()) {
            return;
        }
        if peer.suspicions.len() >= required_observers {
            peer.failed = true;
            changes.push(Change::Failed(suspicion.subject.clone()));
            self.advance_epoch();
        }
        if suspicion.observer != self.own.name {
            self.queue_item(GossipItem::Suspicion(suspicion));
        }
    }

    /// Number of observers that must suspect a peer: fewer than [`OBSERVERS`] if not
    /// enough unsuspected instances are left.
    fn required_observers(&self, subject: &str) -> usize {
        let unsuspected =
            |peer: &&Peer| !peer.failed && peer.suspicions.is_empty() && peer.info.state != State::Left;
        let others = self.peers.values().filter(unsuspected).filter(|peer| &*peer.info.name != subject);
        (others.count() + 1).min(OBSERVERS)
    }

    fn overdue(&self, now: Time) -> Vec<Suspicion> {
        let overdue = |peer: &&Peer| now.since(peer.last_update) >= SUSPECT_MS;
        let observed = self.ring.predecessors(self.observed()).filter_map(|name| self.peers.get(name));
        observed.filter(overdue).map(|peer| self.suspicion(peer)).collect()
    }

    /// Restarts the failure detection after a pause of this process. The pause, not
    /// the peers, explains the missing heartbeats.
    fn reset_timeouts(&mut self, now: Time) {
        self.awaiting_heartbeat = true;
        for peer in self.peers.values_mut() {
            peer.last_update = now;
            peer.suspicions.remove(&self.own.name);
        }
    }

    fn gossip(&mut self) -> Vec<GossipItem> {
        let mut gossip = self.own_suspicions();
        let taken = self.pending.len().min(MAX_GOSSIP_ITEMS - gossip.len());
        gossip.extend(self.pending[..taken].iter().map(|pending| pending.item.clone()));
        for pending in &mut self.pending[..taken] {
            pending.sends_left -= 1;
        }
        self.pending.rotate_left(taken);
        self.pending.retain(|pending| pending.sends_left > 0);
        gossip
    }

    fn own_suspicions(&self) -> Vec<GossipItem> {
        let own = |peer: &&Peer| peer.suspicions.contains(&self.own.name);
        let suspected = self.peers.values().filter(own).take(MAX_GOSSIP_ITEMS / 2);
        suspected.map(|peer| GossipItem::Suspicion(self.suspicion(peer))).collect()
    }

    fn suspicion(&self, peer: &Peer) -> Suspicion {
        Suspicion {
            subject: peer.info.name.clone(),
            incarnation: peer.info.incarnation,
            heartbeat_seq: peer.info.heartbeat_seq,
            observer: self.own.name.clone(),
        }
    }

    /// Queues a gossip item. Infos are skipped if every peer gets heartbeats directly.
    fn queue_item(&mut self, item: GossipItem) {
        if matches!(item, GossipItem::Info(_)) && self.live().count() < FANOUT {
            return;
        }
        let replaced = |pending: &Pending| match (&pending.item, &item) {
            (GossipItem::Info(old), GossipItem::Info(new)) => old.name == new.name,
            (old, new) => old == new,
        };
        self.pending.retain(|pending| !replaced(pending));
        self.pending.push(Pending { item, sends_left: GOSSIP_REPEATS });
    }

    /// Number of successors that observe this instance, and of predecessors that it observes.
    fn observed(&self) -> usize {
        if self.ring.len() > FANOUT { OBSERVED } else { FANOUT }
    }

    /// Counts a membership change and rebuilds the ring.
    fn advance_epoch(&mut self) {
        self.epoch += 1;
        let live = |peer: &&Peer| !peer.failed && peer.info.state != State::Left;
        let names = self.peers.values().filter(live).map(|peer| &peer.info.name);
        self.ring = Ring::new(&self.own.name, names);
    }

    /// Addresses to which the next heartbeat goes.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let near = self.ring.successors(self.observed());
        let far = self.ring.scattered(FANOUT - OBSERVED, self.own.heartbeat_seq);
        let far = far.filter(|_| self.ring.len() > FANOUT);
        let live = near.chain(far).filter_map(|name| self.address(name));
        live.chain(self.failed_peer()).collect()
    }

    /// Address of one failed peer, in turn, in case the peer is reachable again.
    fn failed_peer(&self) -> Option<SocketAddr> {
        let failed: Vec<&Peer> = self.peers.values().filter(|peer| peer.failed).collect();
        let turn = self.own.heartbeat_seq as usize % failed.len().max(1);
        failed.get(turn).map(|peer| peer.info.address)
    }
}
