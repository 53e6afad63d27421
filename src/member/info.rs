//! What instances say of themselves and of each other.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::route::change::Progress;

/// What an instance does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
pub enum State {
    /// It has not yet all it needs to serve.
    #[default]
    Joining,
    /// It takes packets.
    Serving,
    /// It hands over and will stop.
    Leaving,
    /// It has stopped.
    Left,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Info {
    /// Name.
    pub name: Arc<str>,
    /// Address for peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Start of this life; greater for later lives.
    pub incarnation: u64,
    /// Heartbeats since the start.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// What it does.
    pub state: State,
    /// Configuration revision in force.
    pub revision: u64,
    /// How far it has come with tables.
    pub progress: Progress,
}

impl Info {
    pub(super) fn is_news_to(&self, older: &Info) -> bool {
        (self.incarnation, self.heartbeat_seq) > (older.incarnation, older.heartbeat_seq)
    }

    pub(super) fn differs_from(&self, older: &Info) -> bool {
        self.incarnation != older.incarnation
            || self.state != older.state
            || self.revision != older.revision
            || self.progress != older.progress
    }
}

/// Word of an observer that a peer is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Suspicion {
    /// Silent peer.
    pub subject: Arc<str>,
    /// Its life.
    pub incarnation: u64,
    /// Its last beat that the observer heard.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// Who observed.
    pub observer: Arc<str>,
}

/// Something that spreads from instance to instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum GossipItem {
    /// Digest of another instance.
    Info(Info),
    /// Suspicion of an observer.
    Suspicion(Suspicion),
}

/// Heartbeat: own digest and some rumours.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Digest of the sender.
    #[serde(rename = "digest")]
    pub info: Info,
    /// Rumours.
    #[serde(rename = "rumours")]
    pub gossip: Vec<GossipItem>,
}

/// Change of the roster that others must act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A peer is there that was not, or is back.
    Joined(Arc<str>),
    /// A peer was lost without a word.
    Failed(Arc<str>),
    /// A peer said that it stops.
    Left(Arc<str>),
}
