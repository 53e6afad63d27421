/*!
Records of requests that are not idempotent, stored on their replicas.

The primary of a request serialises the claims of the instances that want to run
it. It grants the first claim once the backup has replicated the record, and
answers later claims with the state or the outcome of the request. A record lives
longer than a customer retries. Answers may be dropped earlier, if memory runs
short; the record without its answer still prevents a second run.
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

/// Retention time of records and answers, in milliseconds.
pub const RETENTION_MS: u64 = 5 * 60 * 1_000;

/// Most memory for answers, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Most records on one replica.
pub const MAX_RECORDS: usize = 200_000;

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The holder may run it, or has started to.
    Running,
    /// It has ended.
    Ended(Completion),
}

/// Claim that was granted the permission to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Holder {
    /// Name of the claiming instance.
    pub instance: Arc<str>,
    /// Number of the claim, chosen by that instance.
    pub claim: u32,
}

/// Record of one request.
#[derive(Clone, Debug)]
struct Record {
    holder: Holder,
    state: State,
    waiting: Vec<Arc<str>>,
}

/// Records stored on one replica.
#[derive(Clone, Debug, Default)]
pub struct Records {
    records: BTreeMap<RequestId, Record>,
    order: VecDeque<(Time, RequestId)>,
}

impl Records {
    /// Decides on a claim. [`ClaimReply::Granted`] means that a record was stored.
    ///
    /// `is_first` says that this is the customer's first attempt.
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
                record.waiting.push(holder.instance.clone());
                ClaimReply::InProgress(record.holder.instance.clone())
            }
        }
    }

    /// Stores a copy of the primary's record. Returns whether the copy is stored.
    pub fn replicate(&mut self, id: RequestId, holder: &Holder, now: Time) -> bool {
        if let Some(record) = self.records.get_mut(&id) {
            if record.holder == *holder {
                return record.state == State::Running;
            }
            let may_replace = matches!(record.state, State::Ended(Completion::NotRun(_)));
            if may_replace {
                record.holder = holder.clone();
                record.state = State::Running;
            }
            return may_replace;
        }
        self.insert(id, holder, now)
    }

    /// Records the completion reported by the holder. Returns the peers whose
    /// duplicates wait for it.
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
        let waiting = std::mem::take(&mut record.waiting);
        self.expire(now);
        waiting
    }

    /// Ends the running requests of an instance that failed or stopped as unknown.
    /// Returns them with the peers whose duplicates wait for them.
    pub fn fail_holder(&mut self, name: &str) -> Vec<(RequestId, Vec<Arc<str>>)> {
        let mut failed = Vec::new();
        for (id, record) in &mut self.records {
            if &*record.holder.instance == name && record.state == State::Running {
                record.state = State::Ended(Completion::Unknown(
                    "the instance that ran the request failed or stopped".into(),
                ));
                failed.push((*id, std::mem::take(&mut record.waiting)));
            }
        }
        failed
    }

    /// Records to transfer when replicas change: id, holder, and completion if ended.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Holder, Option<&Completion>)> {
        self.records.iter().map(|(id, record)| match &record.state {
            State::Running => (*id, &record.holder, None),
            State::Ended(completion) => (*id, &record.holder, Some(completion)),
        })
    }

    /// Removes records past their retention time.
    pub fn expire(&mut self, now: Time) {
        while let Some((created_at, id)) = self.order.front().copied() {
            if now.since(created_at) < RETENTION_MS {
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
        let record = Record { holder: holder.clone(), state: State::Running, waiting: Vec::new() };
        self.records.insert(id, record);
        self.order.push_back((now, id));
        true
    }
}

/// Cached answers of requests that this instance ran.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    answers: HashMap<RequestId, (Time, Arc<[u8]>)>,
    /// In the order of time; entries of answers that were replaced later are outdated.
    order: VecDeque<(Time, RequestId)>,
    bytes: usize,
}

impl Answers {
    /// Caches an answer; evicts the oldest ones beyond the limits.
    pub fn keep(&mut self, id: RequestId, answer: Arc<[u8]>, now: Time) {
        self.bytes += answer.len();
        if let Some((_, former)) = self.answers.insert(id, (now, answer)) {
            self.bytes -= former.len();
        }
        self.order.push_back((now, id));
        self.expire(now);
    }

    /// Answer of a request, if it is still cached.
    pub fn get(&self, id: RequestId) -> Option<&Arc<[u8]>> {
        self.answers.get(&id).map(|(_, answer)| answer)
    }

    /// Evicts answers past their retention time or beyond the memory limit.
    pub fn expire(&mut self, now: Time) {
        while let Some((cached_at, id)) = self.order.front().copied() {
            if now.since(cached_at) < RETENTION_MS && self.bytes <= MAX_ANSWER_BYTES {
                return;
            }
            self.order.pop_front();
            let is_current = self.answers.get(&id).is_some_and(|(kept_at, _)| *kept_at == cached_at);
            if is_current && let Some((_, answer)) = self.answers.remove(&id) {
                self.bytes -= answer.len();
            }
        }
    }
}
