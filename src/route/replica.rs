//! Instances that keep the exceptions and records of a key.

use std::sync::Arc;

use crate::hash;

/// Keepers of each key.
pub const REPLICAS: usize = 2;

/// Instance that can be a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    hash: u64,
}

impl Candidate {
    /// Candidate in an availability zone.
    pub fn new(name: Arc<str>, zone: Arc<str>) -> Candidate {
        let hash = hash::name(&name);
        Candidate { name, zone, hash }
    }
}

/// Keepers of a key: the best by rendezvous, then the best of another
/// availability zone, or of the same one if there is no other.
pub fn replicas(candidates: &[Candidate], key: u64) -> Vec<Arc<str>> {
    let score = |candidate: &&Candidate| hash::pair(key, candidate.hash);
    let Some(first) = candidates.iter().max_by_key(score) else {
        return Vec::new();
    };
    let others = || candidates.iter().filter(|other| other.name != first.name);
    let elsewhere = others().filter(|other| other.zone != first.zone).max_by_key(score);
    let second = elsewhere.or_else(|| others().max_by_key(score));
    std::iter::once(first).chain(second).map(|candidate| candidate.name.clone()).collect()
}
