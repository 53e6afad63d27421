/*!
The order of steps by which all instances go from one table to the next.

1. *Told*: the instance knows the new version; its changed slots are unsettled
   and nothing else happens. It waits until every live peer knows, at most
   [`TOLD_LIMIT_MS`].
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
pub const TOLD_LIMIT_MS: u64 = 2_000;

/// Time for the flows of a lost peer to show themselves, in milliseconds.
pub const GRACE_MS: u64 = 30_000;

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
    settled: Version,
    told_at: Time,
    lost_at: Option<Time>,
}

impl Tracker {
    /// How far this instance has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reports whether no change is under way.
    pub fn is_settled(&self) -> bool {
        self.settled == self.progress.known
    }

    /// Starts with a version in force.
    pub fn reset(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ready: version };
        self.settled = version;
    }

    /// Starts in the midst of a change: in force, but without the filters.
    pub fn join(&mut self, version: Version) {
        self.progress = Progress { known: version, effective: version, ready: Version::default() };
        self.settled = Version::default();
    }

    /// Learns a version.
    pub fn announce(&mut self, version: Version, now: Time) {
        if version == self.progress.known {
            return;
        }
        if self.progress.known == self.progress.effective {
            self.told_at = now;
        }
        self.progress.known = version;
    }

    /// Opens the change to the version in force again, for a peer that lags.
    pub fn reopen(&mut self) {
        self.progress.ready = Version::default();
        self.settled = Version::default();
    }

    /// Notes that a peer was lost without a word.
    pub fn lose_peer(&mut self, now: Time) {
        self.lost_at = Some(now);
    }

    /// Notes that all filters of a version are here.
    pub fn complete(&mut self, version: Version) {
        if version == self.progress.effective {
            self.progress.ready = version;
        }
    }

    /// Says which step is due, given all live peers.
    pub fn step(&mut self, peers: &[Peer], now: Time) -> Option<Step> {
        let Progress { known, effective, ready } = self.progress;
        if known != effective {
            let told = peers.iter().all(|peer| peer.progress.known == known);
            if told || now.since(self.told_at) >= TOLD_LIMIT_MS {
                self.progress.effective = known;
                return Some(Step::TakeEffect);
            }
            return None;
        }
        if ready != effective {
            let in_force = peers.iter().all(|peer| peer.progress.effective == effective);
            return (in_force && !self.in_grace(now)).then_some(Step::Collect);
        }
        let all_ready = peers.iter().all(|peer| peer.progress.ready == ready);
        if self.settled != ready && all_ready {
            self.settled = ready;
            return Some(Step::Settle);
        }
        None
    }

    fn in_grace(&self, now: Time) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) < GRACE_MS)
    }
}
