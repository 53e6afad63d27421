/*!
Merges the filters of pinned flows of all participants of a table change.

For each target one participant is the aggregator. Every participant sends its
filters of the target there, in a *part*; the aggregator merges the parts of all
participants and sends the *union* to all of them. A round is complete when the
unions of all aggregators have arrived.

The id of a round contains the version and the participants. If either changes, a
new round starts, and late messages of the old one are not mixed in. Messages that
arrive before this instance begins their round are kept for it.
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

/// Maximum number of rounds whose messages are kept.
const MAX_EARLY_ROUNDS: usize = 8;

impl Round {
    /// Creates the id of a round; the participants must be sorted.
    pub fn new(version: Version, participants: &[Arc<str>]) -> Round {
        let fold = |sum, name: &Arc<str>| hash::pair(sum, hash::name(name));
        Round { version, participants: participants.iter().fold(0, fold) }
    }
}

/// Participant that merges the filters of a target.
pub(super) fn aggregator(participants: &[Arc<str>], service: ServiceId, target: &str) -> Arc<str> {
    let key = hash::pair(hash::name(target), u64::from(service.0));
    let score = |name: &&Arc<str>| hash::pair(key, hash::name(name));
    participants.iter().max_by_key(score).cloned().expect("an instance takes part itself")
}

/// Messages of one round, by sender.
#[derive(Clone, Debug, Default)]
struct Messages {
    parts: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
    unions: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
}

/// State of the current round, and messages of this and other rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    round: Option<Round>,
    participants: BTreeSet<Arc<str>>,
    /// Parts of this instance, by aggregator.
    own: BTreeMap<Arc<str>, Vec<PinnedFilter>>,
    messages: BTreeMap<Round, Messages>,
    /// Rounds in `messages`, oldest first.
    arrival_order: Vec<Round>,
    /// Union that this instance has merged and sent.
    merged: Option<Vec<PinnedFilter>>,
    is_done: bool,
    /// Time at which parts were last sent.
    last_sent: Option<Time>,
}

impl Collector {
    /// Drops the current round but keeps the messages.
    pub(super) fn clear(&mut self) {
        self.round = None;
        self.merged = None;
        self.own.clear();
    }

    /// Begins a round. Returns false if it is the current one already.
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

    /// Reports whether the current round has this version and includes these participants.
    pub(super) fn covers(&self, version: Version, participants: &[Arc<str>]) -> bool {
        let same_version = self.round.is_some_and(|round| round.version == version);
        same_version && participants.iter().all(|name| self.participants.contains(name))
    }

    /// Sets the parts of this instance, by aggregator.
    pub(super) fn set_parts(&mut self, parts: BTreeMap<Arc<str>, Vec<PinnedFilter>>) {
        self.own = parts;
    }

    /// Reports whether parts must be sent now, and notes the time if so.
    pub(super) fn is_due(&mut self, now: Time, resend_ms: u64) -> bool {
        let due = !self.is_done && self.last_sent.is_none_or(|last_sent| now.since(last_sent) >= resend_ms);
        if due {
            self.last_sent = Some(now);
        }
        due
    }

    /// Other participants whose union has not arrived.
    pub(super) fn missing_unions(&self, own: &Arc<str>) -> Vec<Arc<str>> {
        let unions = self.current().map(|messages| &messages.unions);
        let is_missing =
            |name: &&Arc<str>| *name != own && !unions.is_some_and(|unions| unions.contains_key(*name));
        self.participants.iter().filter(is_missing).cloned().collect()
    }

    /// Part of this instance for an aggregator.
    pub(super) fn part_for(&self, peer: &Arc<str>) -> Vec<PinnedFilter> {
        self.own.get(peer).cloned().unwrap_or_default()
    }

    /// Adds a part. Returns the union if it was sent already, as the sender may have
    /// missed it.
    pub(super) fn add_part(
        &mut self,
        sender: &Arc<str>,
        round: Round,
        pinned: Vec<PinnedFilter>,
    ) -> Option<Vec<PinnedFilter>> {
        self.messages_of(round).parts.insert(sender.clone(), pinned);
        if self.round == Some(round) { self.merged.clone() } else { None }
    }

    /// Adds a union.
    pub(super) fn add_union(&mut self, sender: &Arc<str>, round: Round, pinned: Vec<PinnedFilter>) {
        self.messages_of(round).unions.insert(sender.clone(), pinned);
    }

    /// Merges the parts once all have arrived. Returns the union and its recipients.
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

    /// Ends the round once all unions have arrived. Returns the filters of all unions,
    /// only once per round.
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

    /// Messages of a round; drops those of the oldest round beyond the limit.
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

/// Merges the filters of each target.
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
