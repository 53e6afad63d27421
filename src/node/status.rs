//! What a node reports of itself.

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
    /// Questions to keepers.
    pub queries: u64,
    /// Flows that went by the older table as no keeper knew them.
    pub guessed: u64,
    /// Requests taken.
    pub requests: u64,
    /// Runs started on targets.
    pub runs: u64,
    /// Runs after the first of a request.
    pub retries: u64,
    /// Requests refused that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests shed by targets.
    pub shed: u64,
    /// Slots borrowed.
    pub borrowed: u64,
    /// Revisions refused as older or forked.
    pub refused_revisions: u64,
}

/// State of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceStatus {
    /// Name.
    pub name: Arc<str>,
    /// Flows held.
    pub flows: usize,
    /// Unsettled slots.
    pub unsettled_slots: usize,
    /// Exceptions kept for others.
    pub exceptions: usize,
    /// Filters of old flows, in bytes.
    pub filter_bytes: usize,
    /// Flows that found no room.
    pub not_held: u64,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Home slots.
    pub home_slots: usize,
    /// Home slots in use.
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
    /// What it does.
    pub state: member::State,
    /// Configuration revision in force there.
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
    /// What it does.
    pub state: member::State,
    /// Accepted revision that is known.
    pub revision: u64,
    /// Revision in force.
    pub effective_revision: u64,
    /// Digest of the accepted revision.
    pub digest: Option<Arc<str>>,
    /// Versions of tables: known, in force, ready, settled.
    pub versions: [Arc<str>; 4],
    /// Whether no change is under way.
    pub settled: bool,
    /// Requests inside.
    pub requests: usize,
    /// Records of requests that are not idempotent.
    pub records: usize,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Live peers.
    pub peers: Vec<PeerStatus>,
    /// Counters.
    pub counts: Counts,
}

impl Node {
    /// State of the instance.
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
