/*!
The other instances on the packet path: which are live, which read the store, and
which availability zones are unreachable.

A peer is live while its messages arrive. In each availability zone, the live
instance with the lowest hashed name is the *store reader*: it reads the platform's
store and passes changes on to the others, which read only if the reader fails.
While instances disagree on who is live, a zone may have two readers; that costs
additional calls to the store and does no harm.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use super::{
    PlanId,
    cells::Cell,
    gossip::Member,
    load::PeerId,
    report_interval::{self, Interval},
    revision::Revision,
};
use crate::{hash, time::Time};

/// Time without a message after which a peer of a small fleet is no longer live, in
/// milliseconds: several reports.
pub const PEER_TIMEOUT_MS: u64 = 600;

/// Time without a message from any instance of an availability zone after which the zone
/// is unreachable in a small fleet, in milliseconds.
pub const ZONE_TIMEOUT_MS: u64 = 400;

/// Time without a message after which a zone no longer counts as unreachable, in
/// milliseconds, as its instances have probably ended.
const ZONE_UNREACHABLE_MS: u64 = 15_000;

/// Time without a message after which a peer is removed, in milliseconds. Before that, the
/// store reader of its zone has removed its entry from the store.
const FORGET_PEER_MS: u64 = 240_000;

/// Interval of reports to a peer that is not live, in milliseconds.
const DOWN_REPORT_INTERVAL_MS: u64 = 500;

/// The same for a peer of the own cell from which no message has arrived yet, in
/// milliseconds, as it may be starting too.
const UNHEARD_REPORT_INTERVAL_MS: u64 = 40;

/// Instances of each other availability zone that a reader sends updates to: enough that
/// one of them gets the update and passes it on in its zone.
const ZONE_RECIPIENTS: usize = 3;

/// State of a peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address that it receives messages at.
    pub address: SocketAddrV4,
    /// When its last message arrived; none if it is known only from the store or peers.
    pub last_heard: Option<Time>,
    /// When this instance first knew of it.
    pub discovered: Time,
    /// Store revision that it reported.
    pub revision: Revision,
    /// Plan that it reported.
    pub plan: PlanId,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Table of the peers, in the order of their hashed names.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: BTreeMap<PeerId, PeerState>,
    report_interval: Interval,
    cell: Cell,
    cell_peers: BTreeSet<PeerId>,
}

impl Peers {
    /// Identifies a peer by its name.
    pub fn key(name: &str) -> PeerId {
        hash::name(name)
    }

    /// Adds a peer named by the store or another peer. The address is updated unless the
    /// peer is live.
    pub fn discover(&mut self, name: &Arc<str>, zone: &Arc<str>, address: SocketAddrV4, now: Time) {
        let timeout_ms = self.timeout_ms();
        let state = self.table.entry(Peers::key(name)).or_insert_with(|| PeerState {
            name: name.clone(),
            zone: zone.clone(),
            address,
            last_heard: None,
            discovered: now,
            revision: Revision::NONE,
            plan: PlanId::default(),
            is_leaving: false,
        });
        if state.last_heard.is_none_or(|last_heard| now.since(last_heard) >= timeout_ms) {
            state.address = address;
        }
    }

    /// Records a message from a peer; returns whether the peer was not live before.
    pub fn record_peer(&mut self, name: &Arc<str>, zone: &Arc<str>, from: SocketAddrV4, now: Time) -> bool {
        self.discover(name, zone, from, now);
        let timeout_ms = self.timeout_ms();
        let state = self.table.get_mut(&Peers::key(name)).expect("the peer was just added");
        let was_down = state.last_heard.is_none_or(|last_heard| now.since(last_heard) >= timeout_ms);
        state.last_heard = Some(now);
        state.address = from;
        was_down
    }

    /// State of a peer, for changes.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut PeerState> {
        self.table.get_mut(&Peers::key(name))
    }

    /// All known peers.
    pub fn known_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.table.values()
    }

    /// Names and addresses of all known peers, live or not.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.table.values().map(|state| Member {
            name: state.name.clone(),
            zone: state.zone.clone(),
            address: state.address,
        })
    }

    /// Live peers.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &PeerState> {
        let timeout_ms = self.timeout_ms();
        self.table.values().filter(move |state| {
            state.last_heard.is_some_and(|last_heard| now.since(last_heard) < timeout_ms)
        })
    }

    /// Interval of reports to peers of other cells.
    pub fn report_interval(&self) -> Interval {
        self.report_interval
    }

    /// Cell of this instance.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Number of other instances in the own cell.
    pub fn cell_peers(&self) -> usize {
        self.cell_peers.len()
    }

    /// Rank of an instance by rendezvous hashing of a key among the members of the own cell, or
    /// among all known members, live or not.
    pub fn rendezvous_rank(&self, key: u64, own: PeerId, in_cell: bool) -> usize {
        let score = hash::draw(key, own);
        let is_before = |peer: &&PeerId| hash::draw(key, **peer) > score;
        match in_cell {
            true => self.cell_peers.iter().filter(is_before).count(),
            false => self.table.keys().filter(is_before).count(),
        }
    }

    /// Number of instances of the cell that no message has arrived from yet.
    pub fn unreported_cell_peers(&self) -> usize {
        let is_unheard =
            |peer: &&PeerId| self.table.get(peer).is_some_and(|state| state.last_heard.is_none());
        self.cell_peers.iter().filter(is_unheard).count()
    }

    /// Whether a peer is in the own cell.
    pub fn is_cell_peer(&self, name: &str) -> bool {
        self.cell_peers.contains(&Peers::key(name))
    }

    /// Divides the fleet into cells. Soon after a start, peers that no message has arrived
    /// from count as live, as they may be starting too.
    pub fn tick(&mut self, own: &str, has_just_started: bool, now: Time) {
        let own = Peers::key(own);
        let mut fleet: BTreeSet<PeerId> = self.live(now).map(|state| Peers::key(&state.name)).collect();
        if has_just_started {
            fleet.extend(
                self.table.iter().filter(|(_, state)| state.last_heard.is_none()).map(|(peer, _)| *peer),
            );
        }
        fleet.insert(own);
        let instances = fleet.len();
        let cells = |(rank, peer)| (peer, Cell::of(rank, instances));
        let ranked: Vec<(PeerId, Cell)> = fleet.into_iter().enumerate().map(cells).collect();
        let own_cell = ranked.iter().find(|(peer, _)| *peer == own).map(|(_, cell)| *cell);
        self.cell = own_cell.unwrap_or_default();
        let is_cell_peer = |(peer, cell): &(PeerId, Cell)| *peer != own && *cell == self.cell;
        self.cell_peers = ranked.into_iter().filter(is_cell_peer).map(|(peer, _)| peer).collect();
        self.report_interval = Interval::of(instances - 1 - self.cell_peers.len());
    }

    /// Peers that get a report in this round. Live peers of the cell get one if it has changed,
    /// else every [`KEEPALIVE_MS`]; unheard ones get one in every second round. Live peers of
    /// other cells take turns, and peers that are not live get one at most twice a second.
    ///
    /// [`KEEPALIVE_MS`]: report_interval::KEEPALIVE_MS
    pub fn report_recipients(
        &self,
        round: u64,
        is_changed: bool,
        now: Time,
    ) -> impl Iterator<Item = &PeerState> {
        let timeout_ms = self.timeout_ms();
        let rounds = |time_ms: u64| time_ms.div_ceil(report_interval::CELL_REPORT_INTERVAL_MS);
        let report_rounds = rounds(self.report_interval.interval_ms());
        let cell_rounds = if is_changed { 1 } else { rounds(report_interval::KEEPALIVE_MS) };
        let down_rounds = rounds(self.report_interval.interval_ms().max(DOWN_REPORT_INTERVAL_MS));
        let positions = self.table.iter().zip(0..);
        let due = move |(peer, state): (&PeerId, &PeerState), position: u64| {
            let is_live = state.last_heard.is_some_and(|last_heard| now.since(last_heard) < timeout_ms);
            let gap = match (is_live, self.cell_peers.contains(peer)) {
                (true, true) => cell_rounds,
                (false, true) => rounds(UNHEARD_REPORT_INTERVAL_MS),
                (true, false) => report_rounds,
                (false, false) => down_rounds,
            };
            (round + position).is_multiple_of(gap)
        };
        positions.filter(move |(entry, position)| due(*entry, *position)).map(|((_, state), _)| state)
    }

    fn timeout_ms(&self) -> u64 {
        self.report_interval.scaled_ms(PEER_TIMEOUT_MS)
    }

    /// Peers that a reader sends target updates to: all live peers of its availability zone,
    /// and the first ones by rank in each other zone.
    pub fn update_recipients(&self, zone: &str, now: Time) -> Vec<&PeerState> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut found = Vec::new();
        // The table is in the order of ranks.
        for state in self.live(now) {
            let count = counts.entry(&state.zone).or_default();
            *count += 1;
            if &*state.zone == zone || *count <= ZONE_RECIPIENTS {
                found.push(state);
            }
        }
        found
    }

    /// Whether an instance sends the member list to a new peer. In a fleet of several cells
    /// only readers do, as they see who registers.
    pub fn announces_members(&self, name: &str, zone: &str, now: Time) -> bool {
        self.cell.count == 1 || self.is_reader(name, zone, now)
    }

    /// Rank of an instance among the live instances of its availability zone that are not
    /// shutting down. The instance of rank zero reads the store.
    pub fn rank(&self, name: &str, zone: &str, now: Time) -> usize {
        let own = Peers::key(name);
        self.live(now)
            .filter(|state| &*state.zone == zone && !state.is_leaving)
            .filter(|state| Peers::key(&state.name) < own)
            .count()
    }

    /// Whether an instance is the store reader of its availability zone.
    pub fn is_reader(&self, name: &str, zone: &str, now: Time) -> bool {
        self.rank(name, zone, now) == 0
    }

    /// Live peers with newer state than this instance: those with a later plan if there are
    /// any, otherwise those with a later revision. If any of them are in the given zone, only
    /// these, as traffic between zones has a cost.
    pub fn ahead(&self, zone: &str, revision: Revision, plan: PlanId, now: Time) -> Vec<&PeerState> {
        let mut ahead: Vec<_> = self.live(now).filter(|state| state.plan.replaces(plan)).collect();
        if ahead.is_empty() {
            ahead.extend(self.live(now).filter(|state| state.revision > revision));
        }
        if ahead.iter().any(|state| &*state.zone == zone) {
            ahead.retain(|state| &*state.zone == zone);
        }
        ahead
    }

    /// Whether a live peer has a later plan.
    pub fn has_later_plan(&self, plan: PlanId, now: Time) -> bool {
        self.live(now).any(|state| state.plan.replaces(plan))
    }

    /// Other availability zones that have recently become unreachable, with the time of
    /// their last message.
    pub fn unreachable_zones(&self, own_zone: &str, now: Time) -> Vec<(Arc<str>, Time)> {
        let mut last: BTreeMap<&Arc<str>, (Time, usize)> = BTreeMap::new();
        for state in self.table.values().filter(|state| &*state.zone != own_zone) {
            if let Some(last_heard) = state.last_heard {
                let (time, count) = last.entry(&state.zone).or_default();
                *time = last_heard.max(*time);
                *count += 1;
            }
        }
        let is_unreachable = |last_heard, count| {
            let zone_timeout_ms = self.report_interval.scaled_ms_of_any(ZONE_TIMEOUT_MS, count);
            (zone_timeout_ms..ZONE_UNREACHABLE_MS).contains(&now.since(last_heard))
        };
        last.into_iter()
            .filter(|(_, (last_heard, count))| is_unreachable(*last_heard, *count))
            .map(|(zone, (last_heard, _))| (zone.clone(), last_heard))
            .collect()
    }

    /// Peers of an availability zone that have not sent a message for some time, also since
    /// this instance knows of them.
    pub fn silent(&self, zone: &str, silence_ms: u64, now: Time) -> impl Iterator<Item = &PeerState> {
        self.table.values().filter(move |state| {
            &*state.zone == zone && now.since(state.last_heard.unwrap_or(state.discovered)) >= silence_ms
        })
    }

    /// Removes peers that have not sent a message for four minutes.
    pub fn forget(&mut self, now: Time) {
        self.table
            .retain(|_, state| now.since(state.last_heard.unwrap_or(state.discovered)) < FORGET_PEER_MS);
    }

    /// Restarts the time-outs of all peers after a pause of this process.
    pub fn resume(&mut self, now: Time) {
        for state in self.table.values_mut().filter(|state| state.last_heard.is_some()) {
            state.last_heard = Some(now);
        }
    }
}
