/*!
Records of requests that are not idempotent, as their keepers hold them.

The first keeper of a request serialises its claims. It grants the first one
after the second keeper has a copy, and tells all later ones what became of it.
A record outlives any retry of a caller; when memory runs short the answers of
old records are dropped, and what is left still forbids a second run.
*/

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{
    time::Time,
    wire::{Claimed, Ending, RequestId},
};

/// Time that a record is kept, in milliseconds.
pub const KEEP_MS: u64 = 5 * 60 * 1_000;

/// Answers kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Most records.
pub const MAX_RECORDS: usize = 200_000;

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The owner may run it, or has.
    Running,
    /// It has ended.
    Ended(Ending),
}

/// Record of one request.
#[derive(Clone, Debug)]
struct Record {
    owner: Arc<str>,
    state: State,
    joined: Vec<Arc<str>>,
}

/// Records of one keeper.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: HashMap<RequestId, Record>,
    order: VecDeque<(Time, RequestId)>,
}

impl Records {
    /// Judges a claim. [`Claimed::Granted`] means that a record was made.
    ///
    /// `is_first` says that the caller has not sent the request before.
    pub fn claim(
        &mut self,
        id: RequestId,
        owner: &Arc<str>,
        is_first: bool,
        is_live: impl Fn(&str) -> bool,
        now: Time,
    ) -> Claimed {
        let Some(record) = self.records.get_mut(&id) else {
            if !is_first {
                return Claimed::Lost;
            }
            return if self.insert(id, owner, now) { Claimed::Granted } else { Claimed::Refused };
        };
        match &record.state {
            State::Ended(Ending::NotRun(_)) => {
                record.owner = owner.clone();
                record.state = State::Running;
                Claimed::Granted
            }
            State::Ended(ending) => Claimed::Ended(record.owner.clone(), ending.clone()),
            State::Running if !is_live(&record.owner) => Claimed::Lost,
            State::Running => {
                record.joined.push(owner.clone());
                Claimed::Joined(record.owner.clone())
            }
        }
    }

    /// Takes a copy from the first keeper. Returns whether it is held.
    pub fn copy(&mut self, id: RequestId, owner: &Arc<str>, now: Time) -> bool {
        if let Some(record) = self.records.get_mut(&id) {
            let free = record.owner == *owner || matches!(record.state, State::Ended(Ending::NotRun(_)));
            if free {
                record.owner = owner.clone();
                record.state = State::Running;
            }
            return free;
        }
        self.insert(id, owner, now)
    }

    /// Instance that runs a request or ran it.
    pub fn owner(&self, id: RequestId) -> Option<Arc<str>> {
        self.records.get(&id).map(|record| record.owner.clone())
    }

    /// Ends a request. Returns the peers that joined it.
    pub fn finish(&mut self, id: RequestId, ending: Ending, now: Time) -> Vec<Arc<str>> {
        let Some(record) = self.records.get_mut(&id) else {
            return Vec::new();
        };
        record.state = State::Ended(ending);
        let joined = std::mem::take(&mut record.joined);
        self.expire(now);
        joined
    }

    /// Requests whose owner was lost while they ran, with the peers that joined them.
    pub fn abandon(&mut self, owner: &str) -> Vec<(RequestId, Vec<Arc<str>>)> {
        let mut abandoned = Vec::new();
        for (id, record) in &mut self.records {
            if &*record.owner == owner && record.state == State::Running {
                record.state = State::Ended(Ending::Unknown("the instance that ran it was lost".into()));
                abandoned.push((*id, std::mem::take(&mut record.joined)));
            }
        }
        abandoned
    }

    /// Records that are to be copied when keepers change: id, owner, and outcome if ended.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Arc<str>, Option<&Ending>)> {
        self.records.iter().map(|(id, record)| match &record.state {
            State::Running => (*id, &record.owner, None),
            State::Ended(ending) => (*id, &record.owner, Some(ending)),
        })
    }

    /// Drops old records, and answers beyond the limit.
    pub fn expire(&mut self, now: Time) {
        while let Some((made, id)) = self.order.front().copied() {
            if now.since(made) < KEEP_MS {
                break;
            }
            self.order.pop_front();
            self.records.remove(&id);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, id: RequestId, owner: &Arc<str>, now: Time) -> bool {
        self.expire(now);
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        let record = Record { owner: owner.clone(), state: State::Running, joined: Vec::new() };
        self.records.insert(id, record);
        self.order.push_back((now, id));
        true
    }
}

/// Answers of requests that this instance ran.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    answers: HashMap<RequestId, Arc<[u8]>>,
    order: VecDeque<(Time, RequestId)>,
    bytes: usize,
}

impl Answers {
    /// Keeps an answer; drops the oldest beyond the limits.
    pub fn keep(&mut self, id: RequestId, answer: Arc<[u8]>, now: Time) {
        self.bytes += answer.len();
        self.answers.insert(id, answer);
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Answer of a request, if it is still kept.
    pub fn get(&self, id: RequestId) -> Option<&Arc<[u8]>> {
        self.answers.get(&id)
    }

    /// Drops old answers.
    pub fn expire(&mut self, now: Time) {
        while let Some((kept, id)) = self.order.front().copied() {
            if now.since(kept) < KEEP_MS && self.bytes <= MAX_ANSWER_BYTES {
                return;
            }
            self.order.pop_front();
            if let Some(answer) = self.answers.remove(&id) {
                self.bytes -= answer.len();
            }
        }
    }
}
