//! All instances that one knows.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{
    BEAT_SPREAD, Change, ESTABLISHED_MS, FANOUT, FORGET_MS, GOSSIP_REPEATS, GossipItem, HEARTBEAT_MS,
    Heartbeat, Info, MAX_GOSSIP_ITEMS, OBSERVED, OBSERVERS, PAUSE_MS, SUSPECT_MS, State, Suspicion,
    ring::Ring,
};
use crate::{
    route::{
        change::{self, Progress},
        replica::Candidate,
    },
    time::Time,
};

/// Instance as others see it.
#[derive(Clone, Debug)]
struct Peer {
    info: Info,
    heard: Time,
    serving_since: Option<Time>,
    suspicions: BTreeSet<Arc<str>>,
    lost: bool,
}

/// Rumour, and how often it is still to be told.
#[derive(Clone, Debug)]
struct Pending {
    item: GossipItem,
    left: u32,
}

/// All instances that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Info,
    peers: BTreeMap<Arc<str>, Peer>,
    seeds: BTreeSet<SocketAddr>,
    pending: Vec<Pending>,
    next_beat: Time,
    last_event: Option<Time>,
    awaiting_heartbeat: bool,
    own_serving_since: Option<Time>,
    ring: Ring,
    epoch: u64,
}

impl Roster {
    /// Roster of one instance that will greet some addresses.
    pub fn new(own: Info, seeds: impl IntoIterator<Item = SocketAddr>) -> Roster {
        let address = own.address;
        Roster {
            own,
            peers: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            pending: Vec::new(),
            next_beat: Time::default(),
            last_event: None,
            awaiting_heartbeat: false,
            own_serving_since: None,
            ring: Ring::default(),
            epoch: 0,
        }
    }

    /// This instance's digest.
    pub fn own(&self) -> &Info {
        &self.own
    }

    /// Sets what this instance says of itself.
    pub fn set_own(&mut self, state: State, revision: u64, progress: Progress) {
        self.epoch += u64::from(self.own.state != state);
        self.own.state = state;
        self.own.revision = revision;
        self.own.progress = progress;
    }

    /// Counts the changes of who is there and in which state.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Adds addresses to greet, from the platform's list.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.address;
        self.seeds.extend(addresses.into_iter().filter(|address| *address != own));
    }

    /// Peers that are alive and have not said that they stopped.
    pub fn live(&self) -> impl Iterator<Item = &Info> {
        let live = |peer: &&Peer| !peer.lost && peer.info.state != State::Left;
        self.peers.values().filter(live).map(|peer| &peer.info)
    }

    /// Live peers that take part in changes.
    pub fn serving(&self) -> impl Iterator<Item = &Info> {
        self.live().filter(|info| matches!(info.state, State::Serving | State::Leaving))
    }

    /// Progress of the peers that take part in changes.
    pub fn progress(&self) -> Vec<change::Peer> {
        let peer = |info: &Info| change::Peer { name: info.name.clone(), progress: info.progress };
        self.serving().map(peer).collect()
    }

    /// Instances that can be keepers, this one included.
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |info: &Info| Candidate::new(info.name.clone(), info.zone.clone());
        let own = Some(&self.own).filter(|own| own.state == State::Serving);
        let serving = self.live().filter(|info| info.state == State::Serving);
        let mut all: Vec<Candidate> = own.into_iter().chain(serving).map(candidate).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Candidates that have served long enough to have all that is handed to a new
    /// one; all of them if fewer than two have.
    pub fn established(&self, now: Time) -> Vec<Candidate> {
        let is_old = |since: Option<Time>| since.is_some_and(|since| now.since(since) >= ESTABLISHED_MS);
        let is_established = |candidate: &Candidate| match self.peers.get(&candidate.name) {
            Some(peer) => is_old(peer.serving_since),
            None => is_old(self.own_serving_since),
        };
        let all = self.candidates();
        let old: Vec<Candidate> = all.iter().filter(|c| is_established(c)).cloned().collect();
        if old.len() < 2 { all } else { old }
    }

    /// Names of the instances that take part in changes, this one included.
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

    /// Reports whether a peer is alive.
    pub fn is_live(&self, name: &str) -> bool {
        self.live().any(|info| &*info.name == name)
    }

    /// Reports whether this instance was paused and has not heard of a peer since.
    pub fn awaits_heartbeat(&self) -> bool {
        self.awaiting_heartbeat && self.live().next().is_some()
    }

    /// Takes a heartbeat.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> Vec<Change> {
        self.awaiting_heartbeat = false;
        let mut changes = Vec::new();
        self.seeds.remove(&heartbeat.info.address);
        self.learn(heartbeat.info, now, &mut changes);
        for item in heartbeat.gossip {
            match item {
                GossipItem::Info(info) => self.learn(info, now, &mut changes),
                GossipItem::Suspicion(suspicion) => self.suspect(suspicion, &mut changes),
            }
        }
        changes
    }

    /// Digests of this instance and its live peers.
    pub fn infos(&self) -> Vec<Info> {
        std::iter::once(&self.own).chain(self.live()).cloned().collect()
    }

    /// Takes over another instance's view of the roster.
    pub fn merge_infos(&mut self, infos: Vec<Info>, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for info in infos {
            self.learn(info, now, &mut changes);
        }
        changes
    }

    /// Looks for silent peers. Call it often.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        self.detect_pause(now);
        if self.own.state != State::Serving {
            self.own_serving_since = None;
        } else {
            self.own_serving_since.get_or_insert(now);
        }
        let mut changes = Vec::new();
        for suspicion in self.silent(now) {
            self.suspect(suspicion, &mut changes);
        }
        self.peers.retain(|_, peer| {
            !(peer.lost || peer.info.state == State::Left) || now.since(peer.heard) < FORGET_MS
        });
        changes
    }

    /// Notes that this instance was paused, if no event came for long.
    pub fn detect_pause(&mut self, now: Time) {
        let pause = self.last_event.map_or(0, |last| now.since(last));
        self.last_event = Some(now);
        if pause >= PAUSE_MS {
            self.reset_silence(now);
            self.own_serving_since = None;
        }
    }

    /// Heartbeats that are due, with their addresses.
    pub fn due_heartbeats(&mut self, now: Time) -> Vec<(SocketAddr, Heartbeat)> {
        if now < self.next_beat {
            return Vec::new();
        }
        self.next_beat = now + HEARTBEAT_MS;
        self.heartbeats_now()
    }

    /// Heartbeats to all neighbours at once, as when something changed.
    pub fn heartbeats_now(&mut self) -> Vec<(SocketAddr, Heartbeat)> {
        self.own.heartbeat_seq += 1;
        let heartbeat = Heartbeat { info: self.own.clone(), gossip: self.gossip() };
        let mut addresses: BTreeSet<SocketAddr> = self.neighbours().into_iter().collect();
        addresses.extend(self.seeds.iter().take(FANOUT));
        addresses.into_iter().map(|address| (address, heartbeat.clone())).collect()
    }

    fn learn(&mut self, info: Info, now: Time, changes: &mut Vec<Change>) {
        if info.name == self.own.name {
            return;
        }
        let name = info.name.clone();
        let Some(peer) = self.peers.get_mut(&name) else {
            let is_there = info.state != State::Left;
            let peer = Peer {
                serving_since: (info.state == State::Serving).then_some(now),
                info: info.clone(),
                heard: now,
                suspicions: BTreeSet::new(),
                lost: false,
            };
            self.peers.insert(name.clone(), peer);
            self.turn_epoch();
            if is_there {
                changes.push(Change::Joined(name));
            }
            self.tell(GossipItem::Info(info));
            return;
        };
        if !info.is_news_to(&peer.info) {
            return;
        }
        let was_there = !peer.lost && peer.info.state != State::Left;
        let restarted = info.incarnation != peer.info.incarnation;
        let differs = info.differs_from(&peer.info) || peer.lost;
        let serves_on = was_there && !restarted && peer.info.state == State::Serving;
        if info.state != State::Serving {
            peer.serving_since = None;
        } else if !serves_on {
            peer.serving_since = Some(now);
        }
        let moved = peer.lost || restarted || peer.info.state != info.state;
        peer.info = info.clone();
        peer.heard = now;
        peer.suspicions.clear();
        peer.lost = false;
        if moved {
            self.turn_epoch();
        }
        if was_there && restarted {
            changes.push(Change::Failed(name.clone()));
        }
        match (was_there && !restarted, info.state != State::Left) {
            (false, true) => changes.push(Change::Joined(name)),
            (true, false) => changes.push(Change::Left(name)),
            _ => {}
        }
        if differs {
            self.tell(GossipItem::Info(info));
        }
    }

    fn suspect(&mut self, suspicion: Suspicion, changes: &mut Vec<Change>) {
        let observers = self.observers(&suspicion.subject);
        let Some(peer) = self.peers.get_mut(&suspicion.subject) else {
            return;
        };
        let latest = (suspicion.incarnation, suspicion.heartbeat_seq.saturating_add(BEAT_SPREAD));
        let stale = latest < (peer.info.incarnation, peer.info.heartbeat_seq);
        if peer.info.state == State::Left {
            let left = peer.info.clone();
            self.tell(GossipItem::Info(left));
            return;
        }
        if stale || peer.lost || !peer.suspicions.insert(suspicion.observer.clone()) {
            return;
        }
        if peer.suspicions.len() >= observers {
            peer.lost = true;
            changes.push(Change::Failed(suspicion.subject.clone()));
            self.turn_epoch();
        }
        if suspicion.observer != self.own.name {
            self.tell(GossipItem::Suspicion(suspicion));
        }
    }

    /// Observers that have to agree on a subject.
    fn observers(&self, subject: &str) -> usize {
        let unsuspected =
            |peer: &&Peer| !peer.lost && peer.suspicions.is_empty() && peer.info.state != State::Left;
        let others = self.peers.values().filter(unsuspected).filter(|peer| &*peer.info.name != subject);
        (others.count() + 1).min(OBSERVERS)
    }

    fn silent(&self, now: Time) -> Vec<Suspicion> {
        let silent = |peer: &&Peer| now.since(peer.heard) >= SUSPECT_MS;
        let observed = self.ring.predecessors(self.observed()).filter_map(|name| self.peers.get(name));
        observed.filter(silent).map(|peer| self.suspicion(peer)).collect()
    }

    /// Forgets old silence after a pause of this instance itself.
    fn reset_silence(&mut self, now: Time) {
        self.awaiting_heartbeat = true;
        for peer in self.peers.values_mut() {
            peer.heard = now;
            peer.suspicions.remove(&self.own.name);
        }
    }

    fn gossip(&mut self) -> Vec<GossipItem> {
        let mut gossip = self.own_suspicions();
        let taken = self.pending.len().min(MAX_GOSSIP_ITEMS - gossip.len());
        gossip.extend(self.pending[..taken].iter().map(|pending| pending.item.clone()));
        for pending in &mut self.pending[..taken] {
            pending.left -= 1;
        }
        self.pending.rotate_left(taken);
        self.pending.retain(|pending| pending.left > 0);
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

    /// Spreads a rumour, unless every peer hears of it directly.
    fn tell(&mut self, item: GossipItem) {
        if matches!(item, GossipItem::Info(_)) && self.live().count() < FANOUT {
            return;
        }
        let replaced = |pending: &Pending| match (&pending.item, &item) {
            (GossipItem::Info(old), GossipItem::Info(new)) => old.name == new.name,
            (old, new) => old == new,
        };
        self.pending.retain(|pending| !replaced(pending));
        self.pending.push(Pending { item, left: GOSSIP_REPEATS });
    }

    /// Number of peers whose heartbeats are expected, and that expect this instance's.
    fn observed(&self) -> usize {
        if self.ring.len() > FANOUT { OBSERVED } else { FANOUT }
    }

    /// Notes that somebody came, went or changed state.
    fn turn_epoch(&mut self) {
        self.epoch += 1;
        let there = |peer: &&Peer| !peer.lost && peer.info.state != State::Left;
        let names = self.peers.values().filter(there).map(|peer| &peer.info.name);
        self.ring = Ring::new(&self.own.name, names);
    }

    /// Addresses of the neighbours that get heartbeats.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let near = self.ring.successors(self.observed());
        let far = self.ring.scattered(FANOUT - OBSERVED, self.own.heartbeat_seq);
        let far = far.filter(|_| self.ring.len() > FANOUT);
        let live = near.chain(far).filter_map(|name| self.address(name));
        live.chain(self.lost_neighbour()).collect()
    }

    /// A lost peer that is greeted in case it is back, each in turn.
    fn lost_neighbour(&self) -> Option<SocketAddr> {
        let lost: Vec<&Peer> = self.peers.values().filter(|peer| peer.lost).collect();
        let turn = self.own.heartbeat_seq as usize % lost.len().max(1);
        lost.get(turn).map(|peer| peer.info.address)
    }
}
