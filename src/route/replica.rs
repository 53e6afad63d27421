/*!
Replicas: the instances that store the exceptions and request records of a key.

Each key has a primary and a backup, chosen by rendezvous hashing, so that every
instance with the same list of candidates finds the same two. They are in
different availability zones if possible, so that the state survives the loss of
a zone.
*/

use std::sync::Arc;

use crate::hash;

/// Replicas of each key.
pub const REPLICAS: usize = 2;

/// Instance that can be a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone of the instance.
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

/// Replicas of a key, the primary first. The backup is the best candidate of
/// another availability zone, or of the same zone if there is no other.
pub fn replicas(candidates: &[Candidate], key: u64) -> Vec<Arc<str>> {
    let score = |candidate: &&Candidate| hash::pair(key, candidate.hash);
    let Some(first) = candidates.iter().max_by_key(score) else {
        return Vec::new();
    };
    let others = || candidates.iter().filter(|other| other.name != first.name);
    let other_zone = others().filter(|other| other.zone != first.zone).max_by_key(score);
    let backup = other_zone.or_else(|| others().max_by_key(score));
    std::iter::once(first).chain(backup).map(|candidate| candidate.name.clone()).collect()
}
