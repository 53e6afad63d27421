/*!
Unites the filters of old flows of all participants.

Each participant sends every other one the part that this one unites; when all
parts are in, the uniting instance sends the union to all. Both happen once per
round, and a round is named by the version and the participants, so a change of
either starts afresh and late messages of another round are not mixed in. A part
that comes before this instance begins its round is kept for it.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    hash,
    route::change::Version,
    time::Time,
    wire::{PinnedFilter, Round, ServiceId},
};

/// Rounds for which early messages are kept.
const MAX_EARLY_ROUNDS: usize = 8;

impl Round {
    /// Round of a version among some participants, in order.
    pub fn new(version: Version, participants: &[Arc<str>]) -> Round {
        let fold = |sum, name: &Arc<str>| hash::pair(sum, hash::name(name));
        Round { version, participants: participants.iter().fold(0, fold) }
    }
}

/// Participant that unites the filters of a target.
pub(super) fn aggregator(participants: &[Arc<str>], service: ServiceId, target: &str) -> Arc<str> {
    let key = hash::pair(hash::name(target), u64::from(service.0));
    let score = |name: &&Arc<str>| hash::pair(key, hash::name(name));
    participants.iter().max_by_key(score).cloned().expect("an instance takes part itself")
}

/// Messages of one round.
#[derive(Clone, Debug, Default)]
struct Messages {
    parts: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
    unions: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
}

/// Round under way, and messages of others.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    round: Option<Round>,
    participants: BTreeSet<Arc<str>>,
    own: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
    messages: BTreeMap<Round, Messages>,
    arrival_order: Vec<Round>,
    merged: Option<Vec<PinnedFilter>>,
    is_done: bool,
    last_sent: Option<Time>,
}

impl Collector {
    /// Drops the round under way; early messages stay.
    pub(super) fn clear(&mut self) {
        self.round = None;
        self.merged = None;
        self.own.clear();
    }

    /// Begins a round. Returns whether it is a new one.
    pub(super) fn begin(&mut self, round: Round, participants: Vec<Arc<str>>) -> bool {
        if self.round == Some(round) {
            return false;
        }
        self.round = Some(round);
        self.participants = participants.into_iter().collect();
        self.merged = None;
        self.is_done = false;
        self.last_sent = None;
        true
    }

    /// Reports whether the round at hand is of this version and has all these participants.
    pub(super) fn covers(&self, version: Version, participants: &[Arc<str>]) -> bool {
        let same_version = self.round.is_some_and(|round| round.version == version);
        same_version && participants.iter().all(|name| self.participants.contains(name))
    }

    /// Sets this instance's parts, by the participant that unites them.
    pub(super) fn set_parts(&mut self, parts: BTreeMap<Arc<str>, Vec<PinnedFilter>>) {
        self.own = parts;
    }

    /// Reports whether parts are to be sent now.
    pub(super) fn is_due(&mut self, now: Time, resend_ms: u64) -> bool {
        let due = !self.is_done && self.last_sent.is_none_or(|last_sent| now.since(last_sent) >= resend_ms);
        if due {
            self.last_sent = Some(now);
        }
        due
    }

    /// Participants whose union is not here.
    pub(super) fn missing_unions(&self, own: &Arc<str>) -> Vec<Arc<str>> {
        let unions = self.current().map(|messages| &messages.unions);
        let is_missing =
            |name: &&Arc<str>| *name != own && !unions.is_some_and(|unions| unions.contains_key(*name));
        self.participants.iter().filter(is_missing).cloned().collect()
    }

    /// This instance's part for a participant.
    pub(super) fn part_for(&self, peer: &Arc<str>) -> Vec<PinnedFilter> {
        self.own.get(peer).cloned().unwrap_or_default()
    }

    /// Takes a part. Returns the union if it had been sent already.
    pub(super) fn add_part(
        &mut self,
        sender: &Arc<str>,
        round: Round,
        pinned: Vec<PinnedFilter>,
    ) -> Option<Vec<PinnedFilter>> {
        self.messages_of(round).parts.insert(sender.clone(), pinned);
        if self.round == Some(round) { self.merged.clone() } else { None }
    }

    /// Takes a union.
    pub(super) fn add_union(&mut self, sender: &Arc<str>, round: Round, pinned: Vec<PinnedFilter>) {
        self.messages_of(round).unions.insert(sender.clone(), pinned);
    }

    /// Unites the parts when all are here. Returns the union and who gets it.
    pub(super) fn finish_parts(
        &mut self,
        own: &Arc<str>,
    ) -> Option<(Round, Vec<PinnedFilter>, Vec<Arc<str>>)> {
        let round = self.round.filter(|_| self.merged.is_none())?;
        let own_part = self.part_for(own);
        self.messages_of(round).parts.insert(own.clone(), own_part);
        let messages = self.current()?;
        if !self.participants.iter().all(|name| messages.parts.contains_key(name)) {
            return None;
        }
        let union = merge(messages.parts.values().flatten());
        self.merged = Some(union.clone());
        self.messages_of(round).unions.insert(own.clone(), union.clone());
        let peers = self.participants.iter().filter(|name| *name != own).cloned().collect();
        Some((round, union, peers))
    }

    /// Ends the round when all unions are here. Returns all filters, once.
    pub(super) fn finish_unions(&mut self) -> Option<(Round, Vec<PinnedFilter>)> {
        let round = self.round.filter(|_| !self.is_done)?;
        let messages = self.current()?;
        if !self.participants.iter().all(|name| messages.unions.contains_key(name)) {
            return None;
        }
        let all = messages.unions.values().flatten().cloned().collect();
        self.is_done = true;
        Some((round, all))
    }

    fn current(&self) -> Option<&Messages> {
        self.messages.get(&self.round?)
    }

    fn messages_of(&mut self, round: Round) -> &mut Messages {
        if !self.messages.contains_key(&round) {
            self.arrival_order.push(round);
            if self.arrival_order.len() > MAX_EARLY_ROUNDS {
                let oldest = self.arrival_order.remove(0);
                self.messages.remove(&oldest);
            }
        }
        self.messages.entry(round).or_default()
    }
}

/// Unites filters of the same target.
fn merge<'a>(parts: impl Iterator<Item = &'a PinnedFilter>) -> Vec<PinnedFilter> {
    let mut merged: BTreeMap<(ServiceId, Arc<str>), PinnedFilter> = BTreeMap::new();
    for pinned in parts {
        let key = (pinned.service, pinned.target.clone());
        match merged.get_mut(&key) {
            Some(sum) => {
                sum.filter.merge(&pinned.filter);
                sum.slots.merge(&pinned.slots);
            }
            None => {
                merged.insert(key, pinned.clone());
            }
        }
    }
    merged.into_values().collect()
}
