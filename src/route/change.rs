/*!
Steps by which all instances move from one table to the next.

1. *Known*: the new version is announced to this instance. Its changed hash slots
   are unsettled, and routing is unchanged. The instance waits until every live
   peer knows the version, but at most [`ANNOUNCE_LIMIT_MS`].
2. *Effective*: new flows follow the new table and are registered as exceptions
   on changed slots. When the version is effective on every live peer, the
   filters of pinned flows are collected.
3. *Ready*: all filters are here, so the target of an untracked flow is computed.
   New flows are still registered, for peers that are not ready and look them up.
4. *Settled*: every live peer is ready. Flows are no longer registered.

If a peer fails without a leave message, there may be flows that no live instance
knows. Collection then starts [`FAILED_PEER_GRACE_MS`] later. Until then the
slots stay unsettled, so packets of those flows are routed by the older table and
other instances start to track them.
*/

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Longest wait until all live peers know a new version, in milliseconds.
pub const ANNOUNCE_LIMIT_MS: u64 = 2_000;

/// Time for other instances to see packets of a failed peer's flows, in milliseconds.
pub const FAILED_PEER_GRACE_MS: u64 = 30_000;

/// Time for the last registrations to arrive before a change settles, in milliseconds.
pub const SETTLE_DELAY_MS: u64 = 300;

/// Version of the inputs of all tables: a hash of the configuration and the targets' states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Version(#[serde(with = "postcard::fixint::le")] pub u64);

/// Latest version that has reached each step on one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Progress {
    /// Latest version announced to the instance.
    pub known: Version,
    /// Version that the instance routes by.
    pub effective: Version,
    /// Version whose filters are complete here.
    pub ready: Version,
    /// Version for which all live peers are ready, as far as this instance knows.
    pub settled: Version,
}

/// Progress of a live peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Progress that it reported.
    pub progress: Progress,
}

/// Step that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make the announced tables effective.
    TakeEffect,
    /// Collect the filters of pinned flows.
    Collect,
    /// Settle the change.
    Settle,
}

/// Progress of one instance through table changes.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    progress: Progress,
    announced_at: Time,
    failed_at: Option<Time>,
    ready_since: Option<Time>,
}

impl Tracker {
    /// Progress of this instance.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reports whether no change is in progress.
    pub fn is_settled(&self) -> bool {
        self.progress.settled == self.progress.known
    }

    /// Starts with a settled version.
    pub fn reset(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ready: version, settled: version };
    }

    /// Joins during a change: the version is effective, but its filters are missing.
    pub fn join(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ..Progress::default() };
    }

    /// Records an announced version.
    pub fn announce(&mut self, version: Version, now: Time) {
        if version == self.progress.known {
            return;
        }
        if self.progress.known == self.progress.effective {
            self.announced_at = now;
        }
        self.progress.known = version;
    }

    /// Reopens the change to the effective version, for a peer that still uses an older one.
    pub fn reopen(&mut self) {
        self.progress.ready = Version::default();
        self.progress.settled = Version::default();
    }

    /// Returns to collecting filters because the participants have changed.
    pub fn restart_collection(&mut self) {
        self.progress.ready = Version::default();
    }

    /// Records that a peer failed without a leave message.
    pub fn note_failed_peer(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Records that all filters of a version are here.
    pub fn filters_complete(&mut self, version: Version) {
        if version == self.progress.effective {
            self.progress.ready = version;
        }
    }

    /// Returns the step that is due, given all live peers.
    pub fn step(&mut self, peers: &[Peer], now: Time) -> Option<Step> {
        let Progress { known, effective, ready, settled } = self.progress;
        let has_settled = |peer: &Peer| peer.progress.settled == effective;
        if settled != effective && ready == effective && peers.iter().any(has_settled) {
            self.progress.settled = effective;
            return Some(Step::Settle);
        }
        if known != effective {
            let all_know = peers.iter().all(|peer| peer.progress.known == known);
            if all_know || now.since(self.announced_at) >= ANNOUNCE_LIMIT_MS {
                self.progress.effective = known;
                return Some(Step::TakeEffect);
            }
            return None;
        }
        if ready != effective {
            let all_effective = peers.iter().all(|peer| peer.progress.effective == effective);
            return (all_effective && !self.in_grace(now)).then_some(Step::Collect);
        }
        self.settle_when_ready(peers, now)
    }

    fn settle_when_ready(&mut self, peers: &[Peer], now: Time) -> Option<Step> {
        let ready = self.progress.ready;
        let all_ready = peers.iter().all(|peer| peer.progress.ready == ready);
        if self.progress.settled == ready || !all_ready {
            self.ready_since = None;
            return None;
        }
        let since = *self.ready_since.get_or_insert(now);
        if now.since(since) < SETTLE_DELAY_MS {
            return None;
        }
        self.progress.settled = ready;
        Some(Step::Settle)
    }

    fn in_grace(&self, now: Time) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILED_PEER_GRACE_MS)
    }
}
