/*!
Targets and routes as they are known to one instance.

Everything carries the revision of the store at which it was true, and nothing
goes back: a row or plan of a lower revision changes nothing, whether it came
from the store or from a peer.

A target that has gone stays known for as long as its flows may live, so that
their packets still go to its number, which no other target accepts. A target
whose entry lapsed while the store was in trouble is *missing*: it may well be
alive, and keeps taking flows until the store has been back for
[`REREGISTRATION_MS`].
*/

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Class, Entry, Plan, Token, cells::Cell};
use crate::time::Time;

/// Time after the store's return within which lapsed entries are back, in
/// milliseconds. The operators state about two seconds.
pub const REREGISTRATION_MS: u64 = 2_300;

/// Most slots of a target that are counted; an entry with more is not believed.
const MAX_SLOTS: u32 = 4_096;

/// What is known of a target's life, in the order in which it may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// Takes new flows.
    Ready,
    /// Keeps its flows, takes no new ones.
    Leaving,
    /// Its entry lapsed while the store was in trouble.
    Missing,
    /// Has ended.
    Gone,
}

/// What is known of one target at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Last entry.
    pub entry: Entry,
    /// State.
    pub state: State,
    /// Revision of the store.
    pub revision: u64,
}

/// Target in the table.
#[derive(Clone, Debug)]
pub struct Target {
    /// What is known.
    pub record: Record,
    /// Token of its packets.
    pub token: Token,
    /// Service's index in the catalog.
    pub service: usize,
    /// When its state changed here.
    pub since: Time,
    /// When it is no longer slow after its start.
    pub warm_at: Time,
}

/// Route in the table.
#[derive(Clone, Debug)]
pub struct Place {
    /// Services by index, with weights.
    pub shares: Vec<(usize, u32)>,
    /// What its requests are like.
    pub class: Class,
    /// Whether the plan in force has it.
    pub present: bool,
}

/// What a change of a row meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    None,
    /// Only a sign of life.
    Heartbeat(usize),
    /// Another state, address or size.
    State(usize),
    /// A new life under the same or a new name.
    Restarted(usize),
}

/// Targets and routes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    revision: u64,
    plan: Plan,
    targets: Vec<Option<Target>>,
    by_token: HashMap<Token, usize>,
    by_name: HashMap<Arc<str>, usize>,
    services: Vec<Arc<str>>,
    members: Vec<Vec<usize>>,
    listings: u64,
    routes: HashMap<SocketAddrV4, Place>,
}

impl Catalog {
    /// Revision up to which the catalog is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that the catalog is complete up to a revision.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Target at an index.
    pub fn target(&self, index: usize) -> Option<&Target> {
        self.targets.get(index)?.as_ref()
    }

    /// Length of tables that are indexed by target.
    pub fn size(&self) -> usize {
        self.targets.len()
    }

    /// Index of the target that a token names.
    pub fn find(&self, token: Token) -> Option<usize> {
        self.by_token.get(&token).copied()
    }

    /// Targets of a service that are not gone, by index.
    pub fn members(&self, service: usize) -> &[usize] {
        self.members.get(service).map_or(&[], Vec::as_slice)
    }

    /// Part of a service's targets that a cell uses: those that take new flows, in the
    /// order of their tokens.
    pub fn part(&self, service: usize, cell: Cell) -> Vec<usize> {
        let takes_new = |target: &&Target| matches!(target.record.state, State::Ready | State::Missing);
        let token = |index: &usize| self.target(*index).filter(takes_new).map(|target| target.token);
        let mut ranked: Vec<_> =
            self.members(service).iter().filter_map(|index| Some((token(index)?, *index))).collect();
        ranked.sort_unstable();
        let run = cell.run(ranked.len());
        ranked[run].iter().map(|(_, index)| *index).collect()
    }

    /// Count of changes of the lists of targets.
    pub fn listings(&self) -> u64 {
        self.listings
    }

    /// Name of a service.
    pub fn service(&self, index: usize) -> &Arc<str> {
        &self.services[index]
    }

    /// Number of services that were ever seen.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Route of an address, also if a former plan had it.
    pub fn route(&self, address: &SocketAddrV4) -> Option<&Place> {
        self.routes.get(address)
    }

    /// All rows, for a peer.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.targets.iter().flatten().map(|target| &target.record)
    }

    /// Takes a plan if it is later than the one in force.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        if plan.version <= self.plan.version {
            return false;
        }
        for place in self.routes.values_mut() {
            place.present = false;
        }
        for route in &plan.routes {
            let former = self.routes.remove(&route.address);
            let mut shares = Vec::new();
            for share in &route.shares {
                shares.push((self.service_index(&share.service), share.weight));
            }
            for (service, _) in former.into_iter().flat_map(|place| place.shares) {
                if !shares.iter().any(|(known, _)| *known == service) {
                    shares.push((service, 0));
                }
            }
            self.routes.insert(route.address, Place { shares, class: route.class, present: true });
        }
        self.plan = plan;
        true
    }

    /// Takes a row if it is later than what is known of its target.
    pub fn apply(&mut self, record: Record, now: Time) -> Change {
        let known = self.by_name.get(&record.entry.name).copied();
        let Some(index) = known else {
            return self.insert(record, now);
        };
        let target = self.targets[index].as_ref().expect("a named target is in the table");
        let (revision, state) = (target.record.revision, target.record.state);
        if (record.revision, record.state) <= (revision, state) {
            return Change::None;
        }
        let is_new_life = record.entry.born_ms != target.record.entry.born_ms
            || record.entry.address != target.record.entry.address
            || record.entry.service != target.record.entry.service;
        let is_changed = record.state != state
            || record.entry.slots != target.record.entry.slots
            || record.entry.zone != target.record.entry.zone;
        self.update(index, record, now);
        match (is_new_life, is_changed) {
            (true, _) => Change::Restarted(index),
            (false, true) => Change::State(index),
            (false, false) => Change::Heartbeat(index),
        }
    }

    fn insert(&mut self, record: Record, now: Time) -> Change {
        if record.state == State::Gone || record.entry.slots == 0 || record.entry.slots > MAX_SLOTS {
            return Change::None;
        }
        let token = Token::of(&record.entry.name);
        let index = match self.targets.iter().position(Option::is_none) {
            Some(index) => index,
            None => {
                self.targets.push(None);
                self.targets.len() - 1
            }
        };
        self.by_name.insert(record.entry.name.clone(), index);
        // Of two names with one token the first in order keeps it, on every instance.
        let holder = self.by_token.get(&token).and_then(|other| self.target(*other));
        if holder.is_none_or(|other| other.record.entry.name > record.entry.name) {
            self.by_token.insert(token, index);
        }
        let service = self.service_index(&record.entry.service);
        let warm_at = now + record.entry.warm_up_ms;
        self.targets[index] = Some(Target { record, token, service, since: now, warm_at });
        self.list();
        Change::Restarted(index)
    }

    fn update(&mut self, index: usize, record: Record, now: Time) {
        let service = self.service_index(&record.entry.service);
        let Some(target) = &mut self.targets[index] else {
            return;
        };
        if target.record.state != record.state {
            target.since = now;
        }
        if record.state <= State::Leaving {
            target.warm_at = now + record.entry.warm_up_ms;
        }
        let moved = target.service != service || target.record.state != record.state;
        target.service = service;
        target.record = record;
        if moved {
            self.list();
        }
    }

    /// Takes all entries of a reading at a revision; targets that it does not have
    /// have gone, or are missing if the store was in trouble.
    pub fn unlisted(&self, present: &[Arc<str>], revision: u64, store_unstable: bool) -> Vec<Record> {
        let state = if store_unstable { State::Missing } else { State::Gone };
        self.records()
            .filter(|record| record.state < state && record.revision < revision)
            .filter(|record| !present.contains(&record.entry.name))
            .map(|record| Record { entry: record.entry.clone(), state, revision })
            .collect()
    }

    /// Row that ends a target by name at a revision.
    pub fn removal(&self, name: &str, revision: u64, store_unstable: bool) -> Option<Record> {
        let target = self.target(*self.by_name.get(name)?)?;
        let state = if store_unstable { State::Missing } else { State::Gone };
        Some(Record { entry: target.record.entry.clone(), state, revision })
    }

    /// Rows of missing targets that have not come back since `returned`.
    pub fn unrecovered(&self, returned: Time, now: Time) -> Vec<Record> {
        if now.since(returned) < REREGISTRATION_MS {
            return Vec::new();
        }
        self.records()
            .filter(|record| record.state == State::Missing)
            .map(|record| Record { state: State::Gone, ..record.clone() })
            .collect()
    }

    /// Forgets targets that went longer ago than flows may live.
    pub fn forget(&mut self, now: Time, max_flow_lifetime_ms: u64) {
        for index in 0..self.targets.len() {
            let Some(target) = &self.targets[index] else {
                continue;
            };
            if target.record.state != State::Gone || now.since(target.since) <= max_flow_lifetime_ms {
                continue;
            }
            if self.by_token.get(&target.token) == Some(&index) {
                self.by_token.remove(&target.token);
            }
            self.by_name.remove(&target.record.entry.name);
            self.targets[index] = None;
        }
    }

    fn service_index(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.services.iter().position(|known| known == name) {
            return index;
        }
        self.services.push(name.clone());
        self.members.push(Vec::new());
        self.services.len() - 1
    }

    /// Lists the targets of each service anew.
    fn list(&mut self) {
        self.listings += 1;
        for members in &mut self.members {
            members.clear();
        }
        for (index, target) in self.targets.iter().enumerate() {
            let Some(target) = target else {
                continue;
            };
            // A target whose token names another one would get that one's packets.
            let holds_token = self.by_token.get(&target.token) == Some(&index);
            if target.record.state != State::Gone && holds_token {
                self.members[target.service].push(index);
            }
        }
    }
}
