//! Status of a node for operators and metrics.

use std::sync::Arc;

use serde::Serialize;

use super::Node;
use crate::{member, route::change::Progress};

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counts {
    /// Packets forwarded.
    pub forwarded: u64,
    /// Packets dropped.
    pub dropped: u64,
    /// Flows opened.
    pub opened: u64,
    /// Exceptions registered.
    pub registered: u64,
    /// Flow lookups at replicas.
    pub queries: u64,
    /// Flow lookups without a result, for which the fallback target was used.
    pub guessed: u64,
    /// Requests received.
    pub requests: u64,
    /// Runs started on targets.
    pub runs: u64,
    /// Runs after the first of a request.
    pub retries: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run, with unknown outcome.
    pub unknown: u64,
    /// Runs shed by targets.
    pub shed: u64,
    /// Concurrency slots leased from peers.
    pub borrowed: u64,
    /// Configuration revisions refused because they are older or forked.
    pub refused_revisions: u64,
}

/// State of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceStatus {
    /// Name.
    pub name: Arc<str>,
    /// Tracked flows.
    pub flows: usize,
    /// Hash slots whose change is not finished on all instances.
    pub unsettled_slots: usize,
    /// Exceptions stored as a replica.
    pub exceptions: usize,
    /// Size of the filters of pinned flows, in bytes.
    pub filter_bytes: usize,
    /// Flows that were not tracked because the flow table was full.
    pub not_held: u64,
    /// Requests in the queue for a concurrency slot.
    pub waiting: usize,
    /// Concurrency slots that this instance owns.
    pub home_slots: usize,
    /// Owned slots in use, here or leased to peers.
    pub used_slots: usize,
}

/// State of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PeerStatus {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Membership state.
    pub state: member::State,
    /// Configuration revision that the peer has adopted.
    pub revision: u64,
}

/// State of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Membership state.
    pub state: member::State,
    /// Adopted configuration revision.
    pub revision: u64,
    /// Configuration revision of the effective tables.
    pub effective_revision: u64,
    /// Digest of the adopted revision.
    pub digest: Option<Arc<str>>,
    /// Versions of the tables: known, effective, ready, settled (see
    /// [`Progress`]).
    pub versions: [Arc<str>; 4],
    /// Whether no change of the tables is in progress.
    pub settled: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Records of requests that are not idempotent, stored as a replica.
    pub records: usize,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Live peers.
    pub peers: Vec<PeerStatus>,
    /// Counters.
    pub counts: Counts,
}

impl Node {
    /// Returns the state of the instance and its counters.
    pub fn status(&self) -> Status {
        let own = self.roster.own();
        let peer = |digest: &member::Info| PeerStatus {
            name: digest.name.clone(),
            zone: digest.zone.clone(),
            state: digest.state,
            revision: digest.revision,
        };
        Status {
            name: own.name.clone(),
            zone: own.zone.clone(),
            state: own.state,
            revision: self.lineage.revision(),
            effective_revision: self.inputs.revision(),
            digest: self.lineage.head().map(|head| head.digest.as_str().into()),
            versions: versions(self.tracker.progress()),
            settled: self.tracker.is_settled(),
            requests: self.limiter.len(),
            records: self.records.len(),
            services: self.services.iter().map(|service| service.status()).collect(),
            peers: self.roster.live().map(peer).collect(),
            counts: self.counts,
        }
    }
}

fn versions(progress: Progress) -> [Arc<str>; 4] {
    let versions = [progress.known, progress.effective, progress.ready, progress.settled];
    versions.map(|version| format!("{:016x}", version.0).into())
}
