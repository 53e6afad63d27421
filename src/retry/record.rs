/*!
Records of requests that are not idempotent, as their keepers hold them.

The first keeper of a request serialises its claims. It grants the first one
after the second keeper has a copy, and tells all later ones what became of it.
A record outlives any retry of a caller; when memory runs short the answers of
old records are dropped, and what is left still forbids a second run.
*/

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    time::Time,
    wire::{ClaimReply, Completion, RequestId},
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
    Ended(Completion),
}

/// Who may run a request: an instance, by one of its claims.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Holder {
    /// Instance.
    pub instance: Arc<str>,
    /// Number of its claim.
    pub claim: u32,
}

/// Record of one request.
#[derive(Clone, Debug)]
struct Record {
    holder: Holder,
    state: State,
    joined: Vec<Arc<str>>,
}

/// Records of one keeper.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: BTreeMap<RequestId, Record>,
    order: VecDeque<(Time, RequestId)>,
}

impl Records {
    /// Judges a claim. [`ClaimReply::Granted`] means that a record was made.
    ///
    /// `is_first` says that the caller has not sent the request before.
    pub fn claim(
        &mut self,
        id: RequestId,
        holder: &Holder,
        is_first: bool,
        is_live: impl Fn(&str) -> bool,
        now: Time,
    ) -> ClaimReply {
        let Some(record) = self.records.get_mut(&id) else {
            if !is_first {
                return ClaimReply::RecordLost;
            }
            return if self.insert(id, holder, now) { ClaimReply::Granted } else { ClaimReply::Refused };
        };
        match &record.state {
            State::Ended(Completion::NotRun(_)) => {
                record.holder = holder.clone();
                record.state = State::Running;
                ClaimReply::Granted
            }
            State::Ended(completion) => ClaimReply::Ended(record.holder.instance.clone(), completion.clone()),
            State::Running if !is_live(&record.holder.instance) => ClaimReply::RecordLost,
            State::Running => {
                record.joined.push(holder.instance.clone());
                ClaimReply::InProgress(record.holder.instance.clone())
            }
        }
    }

    /// Takes a copy from the first keeper. Returns whether it is held.
    pub fn replicate(&mut self, id: RequestId, holder: &Holder, now: Time) -> bool {
        if let Some(record) = self.records.get_mut(&id) {
            if record.holder == *holder {
                return record.state == State::Running;
            }
            let free = matches!(record.state, State::Ended(Completion::NotRun(_)));
            if free {
                record.holder = holder.clone();
                record.state = State::Running;
            }
            return free;
        }
        self.insert(id, holder, now)
    }

    /// Ends a request by the word of its holder. Returns the peers that joined it.
    pub fn finish(
        &mut self,
        id: RequestId,
        holder: &Holder,
        completion: Completion,
        now: Time,
    ) -> Vec<Arc<str>> {
        let Some(record) = self.records.get_mut(&id).filter(|record| record.holder == *holder) else {
            return Vec::new();
        };
        record.state = State::Ended(completion);
        let joined = std::mem::take(&mut record.joined);
        self.expire(now);
        joined
    }

    /// Requests whose owner was lost while they ran, with the peers that joined them.
    pub fn fail_owner(&mut self, owner: &str) -> Vec<(RequestId, Vec<Arc<str>>)> {
        let mut abandoned = Vec::new();
        for (id, record) in &mut self.records {
            if &*record.holder.instance == owner && record.state == State::Running {
                record.state = State::Ended(Completion::Unknown("the instance that ran it was lost".into()));
                abandoned.push((*id, std::mem::take(&mut record.joined)));
            }
        }
        abandoned
    }

    /// Records that are to be copied when keepers change: id, holder, and ending if ended.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Holder, Option<&Completion>)> {
        self.records.iter().map(|(id, record)| match &record.state {
            State::Running => (*id, &record.holder, None),
            State::Ended(completion) => (*id, &record.holder, Some(completion)),
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

    fn insert(&mut self, id: RequestId, holder: &Holder, now: Time) -> bool {
        self.expire(now);
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        let record = Record { holder: holder.clone(), state: State::Running, joined: Vec::new() };
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
