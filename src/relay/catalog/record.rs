//! State of targets at a store revision, and how records of one target are ordered.

use serde::{Deserialize, Serialize};

use crate::{
    relay::{Entry, PlanId, Token, revision::Revision},
    time::Time,
};

/// State of a target, in the order in which it may change at one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// Gets new flows.
    Ready,
    /// Draining: keeps its flows, gets no new ones.
    Leaving,
    /// Its entry expired while the store was unavailable; still gets new flows.
    Missing,
    /// Has ended.
    Gone,
}

/// Latest plan that was written up to a store revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Mark {
    /// Plan.
    pub plan: PlanId,
    /// Store revision up to which no later plan was written.
    pub revision: Revision,
}

/// State of one target at a store revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Last entry.
    pub entry: Entry,
    /// State.
    pub state: State,
    /// Store revision.
    pub revision: Revision,
}

/// Target in the catalog.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest record.
    pub record: Record,
    /// Token of its packets.
    pub token: Token,
    /// Index of its service in the catalog.
    pub service: usize,
    /// When this instance saw its state change.
    pub since: Time,
    /// End of its warm-up.
    pub warmed_up_at: Time,
}

impl Target {
    /// Replaces the content of a record of a later era by what is known if its entry is not
    /// newer, as the store has then restored it from a backup.
    pub(super) fn reconcile(&self, record: Record) -> Record {
        let age = |entry: &Entry| (entry.born_ms, entry.heartbeat);
        let is_restored =
            record.revision.era > self.record.revision.era && age(&record.entry) <= age(&self.record.entry);
        if !is_restored {
            return record;
        }
        let state = record.state.max(self.record.state);
        Record { entry: self.record.entry.clone(), state, revision: record.revision }
    }

    /// Whether it is draining, also if its entry has expired or was lost since.
    pub(super) fn is_draining(&self) -> bool {
        self.record.state == State::Leaving || self.record.entry.leaving
    }

    /// Order of targets by their start, the oldest first and those of unknown age last. The
    /// name makes it the same on every instance.
    pub(super) fn seniority(&self) -> (bool, u64, &str) {
        let entry = &self.record.entry;
        (entry.born_ms == 0, entry.born_ms, &entry.name)
    }
}
