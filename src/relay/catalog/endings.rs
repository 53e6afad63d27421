//! Ends of targets: those whose entry was removed, is not listed, or did not return.

use std::{collections::HashSet, sync::Arc};

use super::{Catalog, NOTIFICATION_MS, REREGISTRATION_MS, Record, State, Target};
use crate::{relay::revision::Revision, time::Time};

impl Catalog {
    /// Records that end the targets which a complete reading at a revision does not list.
    /// They are gone, or missing if the store was unavailable or has lost their entries with a
    /// backup.
    pub fn unlisted(&self, listed: &[Arc<str>], revision: Revision, store_unstable: bool) -> Vec<Record> {
        let listed: HashSet<&Arc<str>> = listed.iter().collect();
        self.records()
            .filter(|record| record.revision < revision && !listed.contains(&record.entry.name))
            .map(|record| (record, ended_state(record, revision, store_unstable)))
            .filter(|(record, state)| record.state < *state)
            .map(|(record, state)| Record { entry: record.entry.clone(), state, revision })
            .collect()
    }

    /// Record that ends a target by name at a revision, or marks it missing if the store
    /// was unavailable or has lost its entry with a backup; none if the name is not known.
    pub fn removal(&self, name: &str, revision: Revision, store_unstable: bool) -> Option<Record> {
        let target = self.target(*self.by_name.get(name)?)?;
        let state = ended_state(&target.record, revision, store_unstable);
        Some(Record { entry: target.record.entry.clone(), state, revision })
    }

    /// Records that end the targets still missing [`REREGISTRATION_MS`] after the store
    /// `recovered`.
    pub fn unrecovered(&self, recovered: Time, now: Time) -> Vec<Record> {
        if now.since(recovered) < REREGISTRATION_MS {
            return Vec::new();
        }
        self.records()
            .filter(|record| record.state == State::Missing)
            .map(|record| Record { state: State::Gone, ..record.clone() })
            .collect()
    }

    /// Records that end the targets which have not registered again although this instance has
    /// been told of every change since `synced_since`: those that are missing, and those of an
    /// earlier era of the store, which began here at `era_began`.
    pub fn overdue(&self, synced_since: Time, era_began: Time, now: Time) -> Vec<Record> {
        let era = self.target_revision.era;
        let is_due = |since: Time| now.since(since.max(synced_since)) >= REREGISTRATION_MS + NOTIFICATION_MS;
        let is_overdue = |target: &&Target| match target.record.state {
            State::Missing => is_due(target.since),
            State::Gone => false,
            State::Ready | State::Leaving => target.record.revision.era < era && is_due(era_began),
        };
        let overdue = self.targets.iter().flatten().filter(is_overdue);
        overdue.map(|target| Record { state: State::Gone, ..target.record.clone() }).collect()
    }

    /// Removes targets that have been gone for longer than a flow may live.
    pub fn forget(&mut self, now: Time, max_flow_lifetime_ms: u64) {
        let mut is_changed = false;
        for index in 0..self.targets.len() {
            let Some(target) = &self.targets[index] else {
                continue;
            };
            if target.record.state != State::Gone || now.since(target.since) <= max_flow_lifetime_ms {
                continue;
            }
            self.forgotten_revision = self.forgotten_revision.max(target.record.revision);
            let token = target.token;
            self.by_name.remove(&target.record.entry.name);
            self.targets[index] = None;
            self.assign_token(token);
            is_changed = true;
        }
        if is_changed {
            self.rebuild_lists();
        }
    }
}

/// State of a target without an entry at a revision. If its last entry is of an earlier era,
/// the store may have lost a later one with a backup, so the target may still run.
fn ended_state(known: &Record, revision: Revision, store_unstable: bool) -> State {
    let may_run = store_unstable || known.revision.era < revision.era;
    if may_run { State::Missing } else { State::Gone }
}
