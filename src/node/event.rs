//! What a node is told.

use std::{net::SocketAddr, sync::Arc};

pub use crate::ticket::Ticket;
use crate::{config::revision::Bundle, wire::Frame};

/// Packet of a flow whose content is opaque.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The shell's number.
    pub ticket: Ticket,
    /// Service address that it was sent to.
    pub address: SocketAddr,
    /// Hash of the flow's key.
    pub flow: u64,
    /// Whether it opens the flow.
    pub first: bool,
    /// Whether it ends the flow.
    pub last: bool,
}

/// Request of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The shell's number.
    pub ticket: Ticket,
    /// Service address that it was sent to.
    pub address: SocketAddr,
    /// Hash of the flow's key.
    pub flow: u64,
    /// Caller's number of the request in its flow.
    pub number: u64,
    /// Caller's attempt, from one.
    pub attempt: u32,
    /// Whether it opens the flow.
    pub first: bool,
    /// Whether it ends the flow.
    pub last: bool,
    /// Time left, in milliseconds; the service's default if absent.
    pub left_ms: Option<u64>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// How a run on a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Whole answer.
    Done(Arc<[u8]>),
    /// The target's own error; it ran.
    Failed(Arc<str>),
    /// The target says that it did not run.
    Shed,
    /// It was never sent, as the target could not be reached.
    Unreachable,
    /// It was sent, and no whole answer came.
    Lost(Arc<str>),
}

/// Event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A packet came.
    Packet(Packet),
    /// A request came.
    Request(Request),
    /// The caller gave a request up.
    Cancel(Ticket),
    /// A run ended.
    Answer {
        /// Request.
        ticket: Ticket,
        /// Number of the run, as the action gave it.
        run: u32,
        /// How it ended.
        answer: Answer,
    },
    /// A frame came from a peer.
    Frame(Frame),
    /// The store holds this revision.
    Accepted(Bundle),
    /// The platform lists these instances.
    Instances(Vec<SocketAddr>),
    /// A target said that it leaves, or that it is back.
    TargetLeaving {
        /// Service.
        service: Arc<str>,
        /// Name of the target.
        target: Arc<str>,
        /// Whether it leaves.
        leaving: bool,
    },
    /// The instance is to stop.
    Drain,
}
