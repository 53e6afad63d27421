/*!
The other instances on the packet path: who is there, who reads the store, and
which availability zones cannot be reached.

An instance is there while its reports arrive. In each availability zone the
first by rank of hashed names reads the platform's store and passes on what it
learns; the others read only if nobody does. Two readers in a zone, as views
differ for a moment, cost calls and nothing more.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use super::{
    cells::Cell,
    gossip::Member,
    load::Peer,
    report_interval::{self, Interval},
};
use crate::{hash, time::Time};

/// Silence after which a peer of a small fleet is no longer counted as there, in
/// milliseconds: several reports.
pub const SILENCE_MS: u64 = 600;

/// Silence of all peers of an availability zone after which it counts as cut off in a
/// small fleet, in milliseconds.
pub const DARK_MS: u64 = 400;

/// Time for which an availability zone without a word counts as cut off, in
/// milliseconds; after that its instances have probably ended.
const DARK_LIFE_MS: u64 = 15_000;

/// Silence after which a peer is forgotten, in milliseconds.
const FORGET_MS: u64 = 120_000;

/// Time between reports to a peer that is silent, in milliseconds.
const KNOCK_MS: u64 = 500;

/// The same to one of the cell soon after a start, when it may have started too.
const MATE_KNOCK_MS: u64 = 40;

/// Instances of another availability zone to which a reader passes rows on: enough that
/// one of them can read and pass on in its own zone.
const CONTACTS: usize = 3;

/// Another instance.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for news.
    pub address: SocketAddrV4,
    /// When it was last heard; absent if it is only known by name.
    pub heard: Option<Time>,
    /// When it became known.
    pub known: Time,
    /// Revision that it has.
    pub revision: u64,
    /// Version of its plan.
    pub plan_version: u64,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// Table of the other instances.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    table: BTreeMap<Peer, Row>,
    report_interval: Interval,
    cell: Cell,
    cell_peers: BTreeSet<Peer>,
}

impl Peers {
    /// Key of a name.
    pub fn key(name: &str) -> Peer {
        hash::name(name)
    }

    /// Notes that an instance exists; its address may be new.
    pub fn discover(&mut self, name: &Arc<str>, zone: &Arc<str>, address: SocketAddrV4, now: Time) {
        let silence_ms = self.silence_ms();
        let row = self.table.entry(Peers::key(name)).or_insert_with(|| Row {
            name: name.clone(),
            zone: zone.clone(),
            address,
            heard: None,
            known: now,
            revision: 0,
            plan_version: 0,
            is_leaving: false,
        });
        if row.heard.is_none_or(|heard| now.since(heard) >= silence_ms) {
            row.address = address;
        }
    }

    /// Notes a word from a peer; returns whether it was silent or unknown before.
    pub fn record_peer(&mut self, name: &Arc<str>, zone: &Arc<str>, from: SocketAddrV4, now: Time) -> bool {
        self.discover(name, zone, from, now);
        let silence_ms = self.silence_ms();
        let row = self.table.get_mut(&Peers::key(name)).expect("the peer was just noted");
        let was_silent = row.heard.is_none_or(|heard| now.since(heard) >= silence_ms);
        row.heard = Some(now);
        row.address = from;
        was_silent
    }

    /// Row of a peer, to change.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Row> {
        self.table.get_mut(&Peers::key(name))
    }

    /// All known peers.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.table.values()
    }

    /// Peers that are there, or that lay in the store when they became known.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.table.values().map(|row| Member {
            name: row.name.clone(),
            zone: row.zone.clone(),
            address: row.address,
        })
    }

    /// Peers that are there.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Row> {
        let silence_ms = self.silence_ms();
        self.table.values().filter(move |row| row.heard.is_some_and(|heard| now.since(heard) < silence_ms))
    }

    /// Pace of reports among the peers that are there.
    pub fn report_interval(&self) -> Interval {
        self.report_interval
    }

    /// Cell of this instance.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Other instances of this instance's cell.
    pub fn cell_peers(&self) -> usize {
        self.cell_peers.len()
    }

    /// Instances of the cell that have not been heard yet.
    pub fn unreported_cell_peers(&self) -> usize {
        let is_unheard = |peer: &&Peer| self.table.get(peer).is_some_and(|row| row.heard.is_none());
        self.cell_peers.iter().filter(is_unheard).count()
    }

    /// Reports whether a peer is in this instance's cell.
    pub fn is_cell_peer(&self, name: &str) -> bool {
        self.cell_peers.contains(&Peers::key(name))
    }

    /// Parts the fleet into cells anew. Peers that are only known by name are taken for
    /// there soon after a start, as they may have started too.
    pub fn tick(&mut self, own: &str, has_just_started: bool, now: Time) {
        let own = Peers::key(own);
        let mut fleet: BTreeSet<Peer> = self.live(now).map(|row| Peers::key(&row.name)).collect();
        if has_just_started {
            fleet.extend(self.table.iter().filter(|(_, row)| row.heard.is_none()).map(|(peer, _)| *peer));
        }
        fleet.insert(own);
        let instances = fleet.len();
        let cells = |(rank, peer)| (peer, Cell::of(rank, instances));
        let ranked: Vec<(Peer, Cell)> = fleet.into_iter().enumerate().map(cells).collect();
        let own_cell = ranked.iter().find(|(peer, _)| *peer == own).map(|(_, cell)| *cell);
        self.cell = own_cell.unwrap_or_default();
        let is_cell_peer = |(peer, cell): &(Peer, Cell)| *peer != own && *cell == self.cell;
        self.cell_peers = ranked.into_iter().filter(is_cell_peer).map(|(peer, _)| peer).collect();
        self.report_interval = Interval::of(instances - 1 - self.cell_peers.len());
    }

    /// Peers to which a report goes in this round. Those of the cell have their turn in
    /// each, or in every second one until they are heard; the others one after the
    /// other, and silent ones twice a second at most.
    pub fn report_recipients(&self, round: u64, now: Time) -> impl Iterator<Item = &Row> {
        let silence_ms = self.silence_ms();
        let rounds = |time_ms: u64| time_ms.div_ceil(report_interval::CELL_REPORT_INTERVAL_MS);
        let report_rounds = rounds(self.report_interval.report_ms());
        let knock_rounds = rounds(self.report_interval.report_ms().max(KNOCK_MS));
        let places = self.table.iter().zip(0..);
        let due = move |(peer, row): (&Peer, &Row), place: u64| {
            let is_live = row.heard.is_some_and(|heard| now.since(heard) < silence_ms);
            let gap = match (is_live, self.cell_peers.contains(peer)) {
                (true, true) => 1,
                (false, true) => rounds(MATE_KNOCK_MS),
                (true, false) => report_rounds,
                (false, false) => knock_rounds,
            };
            (round + place).is_multiple_of(gap)
        };
        places.filter(move |(entry, place)| due(*entry, *place)).map(|((_, row), _)| row)
    }

    fn silence_ms(&self) -> u64 {
        self.report_interval.at_least(SILENCE_MS)
    }

    /// Peers to which a reader passes rows on: all of its availability zone, and the
    /// first ones by rank of each other one.
    pub fn update_recipients(&self, zone: &str, now: Time) -> Vec<&Row> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut found = Vec::new();
        // The table is in the order of ranks.
        for row in self.live(now) {
            let count = counts.entry(&row.zone).or_default();
            *count += 1;
            if &*row.zone == zone || *count <= CONTACTS {
                found.push(row);
            }
        }
        found
    }

    /// Reports whether an instance tells a new peer who else is there: in a fleet of
    /// several cells the readers do, as they see who registers.
    pub fn announces_members(&self, name: &str, zone: &str, now: Time) -> bool {
        self.cell.count == 1 || self.is_reader(name, zone, now)
    }

    /// Rank of an instance among those of its availability zone that are there and do not
    /// leave; the first one reads the store for the others.
    pub fn rank(&self, name: &str, zone: &str, now: Time) -> usize {
        let own = Peers::key(name);
        self.live(now)
            .filter(|row| &*row.zone == zone && !row.is_leaving)
            .filter(|row| Peers::key(&row.name) < own)
            .count()
    }

    /// Reports whether an instance reads the store for its availability zone.
    pub fn is_reader(&self, name: &str, zone: &str, now: Time) -> bool {
        self.rank(name, zone, now) == 0
    }

    /// Peers that know more than this instance does: those with a later plan, if there
    /// are any.
    pub fn ahead(&self, revision: u64, plan_version: u64, now: Time) -> Vec<&Row> {
        let with_plan: Vec<_> = self.live(now).filter(|row| row.plan_version > plan_version).collect();
        if !with_plan.is_empty() {
            return with_plan;
        }
        self.live(now).filter(|row| row.revision > revision).collect()
    }

    /// Reports whether a peer has a later plan.
    pub fn has_later_plan(&self, plan_version: u64, now: Time) -> bool {
        self.live(now).any(|row| row.plan_version > plan_version)
    }

    /// Other availability zones whose instances have all fallen silent a short time
    /// ago, and since when.
    pub fn dark_zones(&self, own_zone: &str, now: Time) -> Vec<(Arc<str>, Time)> {
        let mut last: BTreeMap<&Arc<str>, (Time, usize)> = BTreeMap::new();
        for row in self.table.values().filter(|row| &*row.zone != own_zone) {
            if let Some(heard) = row.heard {
                let (time, count) = last.entry(&row.zone).or_default();
                *time = heard.max(*time);
                *count += 1;
            }
        }
        let is_dark = |heard, count| {
            let dark_ms = self.report_interval.at_least_of(DARK_MS, count);
            (dark_ms..DARK_LIFE_MS).contains(&now.since(heard))
        };
        last.into_iter()
            .filter(|(_, (heard, count))| is_dark(*heard, *count))
            .map(|(zone, (heard, _))| (zone.clone(), heard))
            .collect()
    }

    /// Forgets peers that were silent for long.
    pub fn forget(&mut self, now: Time) {
        self.table.retain(|_, row| now.since(row.heard.unwrap_or(row.known)) < FORGET_MS);
    }

    /// Takes the silence during a pause of this instance as nobody's fault.
    pub fn resume(&mut self, now: Time) {
        for row in self.table.values_mut().filter(|row| row.heard.is_some()) {
            row.heard = Some(now);
        }
    }
}
