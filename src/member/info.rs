//! What instances report about themselves and about each other.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::route::change::Progress;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// It lacks configuration or state that it needs to serve.
    #[default]
    Joining,
    /// It routes packets.
    Serving,
    /// It drains: it hands over its state and will stop.
    Leaving,
    /// It has stopped.
    Left,
}

/// What an instance reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Info {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Start time of the process; greater after a restart.
    pub incarnation: u64,
    /// Number of heartbeats since the start.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// Lifecycle state.
    pub state: State,
    /// Adopted configuration revision.
    pub revision: u64,
    /// Progress through table changes.
    pub progress: Progress,
}

impl Info {
    pub(super) fn is_newer_than(&self, older: &Info) -> bool {
        (self.incarnation, self.heartbeat_seq) > (older.incarnation, older.heartbeat_seq)
    }

    pub(super) fn has_changed_from(&self, older: &Info) -> bool {
        self.incarnation != older.incarnation
            || self.state != older.state
            || self.revision != older.revision
            || self.progress != older.progress
    }
}

/// Report of an observer that it gets no heartbeats from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Suspicion {
    /// Suspected peer.
    pub subject: Arc<str>,
    /// Incarnation of the suspected peer.
    pub incarnation: u64,
    /// Last heartbeat of the peer that the observer knows.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// Observer that reports the suspicion.
    pub observer: Arc<str>,
}

/// Report that instances forward to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum GossipItem {
    /// Info of another instance.
    Info(Info),
    /// Suspicion of an observer.
    Suspicion(Suspicion),
}

/// Heartbeat of an instance, with gossip items.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Info of the sender.
    #[serde(rename = "digest")]
    pub info: Info,
    /// Gossip items.
    #[serde(rename = "rumours")]
    pub gossip: Vec<GossipItem>,
}

/// Membership change that other parts of the node act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A peer is live that was unknown, failed or stopped.
    Joined(Arc<str>),
    /// A peer failed: no heartbeats, and no leave message.
    Failed(Arc<str>),
    /// A peer reported that it stopped.
    Left(Arc<str>),
}
