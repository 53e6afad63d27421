/*!
The order of steps by which all instances go from one table to the next.

1. *Told*: the instance knows the new version; its changed slots are unsettled
   and nothing else happens. It waits until every live peer knows, at most
   [`ANNOUNCE_LIMIT_MS`].
2. *Effective*: new flows go by the new table and are registered as exceptions
   on changed slots. When every live peer is there too, the filters of old flows
   are collected.
3. *Ready*: all filters are here, so a flow that is not held is computed.
   Registering goes on, for peers that still ask.
4. *Settled*: every live peer is ready. Nothing is registered any more.

If a peer was lost without a word, flows may exist that only it knew. Collecting
then starts [`GRACE_MS`] later, so that those flows show themselves while their
slots are unsettled and instances still answer from the older table.
*/

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Longest wait for peers to learn of a change, in milliseconds.
pub const ANNOUNCE_LIMIT_MS: u64 = 2_000;

/// Time for the flows of a lost peer to show themselves, in milliseconds.
pub const GRACE_MS: u64 = 30_000;

/// Time for the last registrations to arrive before a change ends, in milliseconds.
pub const SETTLE_MS: u64 = 300;

/// Version of the inputs of all tables: a hash of configuration and targets' states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Version(#[serde(with = "postcard::fixint::le")] pub u64);

/// How far an instance has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Progress {
    /// Version that it knows.
    pub known: Version,
    /// Version that it routes by.
    pub effective: Version,
    /// Version whose filters it has.
    pub ready: Version,
    /// Version that it knows all others to be ready for.
    pub settled: Version,
}

/// A live peer's progress.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// How far it has come.
    pub progress: Progress,
}

/// Step to take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Take the announced tables into force.
    TakeEffect,
    /// Collect filters of old flows.
    Collect,
    /// End the change.
    Settle,
}

/// Steps of one instance.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    progress: Progress,
    announced_at: Time,
    lost_at: Option<Time>,
    ready_since: Option<Time>,
}

impl Tracker {
    /// How far this instance has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reports whether no change is under way.
    pub fn is_settled(&self) -> bool {
        self.progress.settled == self.progress.known
    }

    /// Starts with a version in force.
    pub fn reset(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ready: version, settled: version };
    }

    /// Starts in the midst of a change: in force, but without the filters.
    pub fn join(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ..Progress::default() };
    }

    /// Learns a version.
    pub fn announce(&mut self, version: Version, now: Time) {
        if version == self.progress.known {
            return;
        }
        if self.progress.known == self.progress.effective {
            self.announced_at = now;
        }
        self.progress.known = version;
    }

    /// Opens the change to the version in force again, for a peer that lags.
    pub fn reopen(&mut self) {
        self.progress.ready = Version::default();
        self.progress.settled = Version::default();
    }

    /// Goes back to collecting, as there are other participants now.
    pub fn restart_collection(&mut self) {
        self.progress.ready = Version::default();
    }

    /// Notes that a peer was lost without a word.
    pub fn note_failed_peer(&mut self, now: Time) {
        self.lost_at = Some(now);
    }

    /// Notes that all filters of a version are here.
    pub fn filters_complete(&mut self, version: Version) {
        if version == self.progress.effective {
            self.progress.ready = version;
        }
    }

    /// Says which step is due, given all live peers.
    pub fn step(&mut self, peers: &[Peer], now: Time) -> Option<Step> {
        let Progress { known, effective, ready, settled } = self.progress;
        let ended = |peer: &Peer| peer.progress.settled == effective;
        if settled != effective && ready == effective && peers.iter().any(ended) {
            self.progress.settled = effective;
            return Some(Step::Settle);
        }
        if known != effective {
            let announced = peers.iter().all(|peer| peer.progress.known == known);
            if announced || now.since(self.announced_at) >= ANNOUNCE_LIMIT_MS {
                self.progress.effective = known;
                return Some(Step::TakeEffect);
            }
            return None;
        }
        if ready != effective {
            let in_force = peers.iter().all(|peer| peer.progress.effective == effective);
            return (in_force && !self.in_grace(now)).then_some(Step::Collect);
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
        if now.since(since) < SETTLE_MS {
            return None;
        }
        self.progress.settled = ready;
        Some(Step::Settle)
    }

    fn in_grace(&self, now: Time) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) < GRACE_MS)
    }
}
