/*!
The other instances on the packet path: who is there, who reads the store, and
which availability zones cannot be reached.

An instance is there while its reports arrive. In each availability zone the
first by rank of hashed names reads the platform's store and passes on what it
learns; the others read only if nobody does. Two readers in a zone, as views
differ for a moment, cost calls and nothing more.
*/

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use super::load::Peer;
use crate::{hash, time::Time};

/// Silence after which a peer is no longer counted as there, in milliseconds:
/// several reports at the slowest pace.
pub const SILENCE_MS: u64 = 600;

/// Silence of all peers of an availability zone after which it counts as cut off,
/// in milliseconds.
pub const DARK_MS: u64 = 400;

/// Time for which an availability zone without a word counts as cut off, in
/// milliseconds; after that its instances have probably ended.
const DARK_LIFE_MS: u64 = 15_000;

/// Silence after which a peer is forgotten, in milliseconds.
const FORGET_MS: u64 = 120_000;

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
}

impl Peers {
    /// Key of a name.
    pub fn key(name: &str) -> Peer {
        hash::name(name)
    }

    /// Notes that an instance exists; its address may be new.
    pub fn meet(&mut self, name: &Arc<str>, zone: &Arc<str>, address: SocketAddrV4, now: Time) {
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
        if row.heard.is_none_or(|heard| now.since(heard) >= SILENCE_MS) {
            row.address = address;
        }
    }

    /// Notes a word from a peer; returns whether it was silent or unknown before.
    pub fn hear(&mut self, name: &Arc<str>, zone: &Arc<str>, from: SocketAddrV4, now: Time) -> bool {
        self.meet(name, zone, from, now);
        let row = self.table.get_mut(&Peers::key(name)).expect("the peer was just noted");
        let was_silent = row.heard.is_none_or(|heard| now.since(heard) >= SILENCE_MS);
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

    /// Peers that are there.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Row> {
        self.table.values().filter(move |row| row.heard.is_some_and(|heard| now.since(heard) < SILENCE_MS))
    }

    /// Reports whether an instance reads the store for its availability zone.
    pub fn is_reader(&self, name: &str, zone: &str, now: Time) -> bool {
        let own = Peers::key(name);
        !self
            .live(now)
            .filter(|row| &*row.zone == zone && !row.is_leaving)
            .any(|row| Peers::key(&row.name) < own)
    }

    /// Peers that know more than this instance does.
    pub fn ahead(&self, revision: u64, plan_version: u64, now: Time) -> Vec<&Row> {
        self.live(now).filter(|row| row.revision > revision || row.plan_version > plan_version).collect()
    }

    /// Other availability zones whose instances have all fallen silent a short time
    /// ago, and since when.
    pub fn dark_zones(&self, own_zone: &str, now: Time) -> Vec<(Arc<str>, Time)> {
        let mut last: BTreeMap<&Arc<str>, Time> = BTreeMap::new();
        for row in self.table.values().filter(|row| &*row.zone != own_zone) {
            if let Some(heard) = row.heard {
                let time = last.entry(&row.zone).or_default();
                *time = heard.max(*time);
            }
        }
        last.into_iter()
            .filter(|(_, heard)| (DARK_MS..DARK_LIFE_MS).contains(&now.since(*heard)))
            .map(|(zone, heard)| (zone.clone(), heard))
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
