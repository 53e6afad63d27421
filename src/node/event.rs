//! Events that the host program passes to a node.

use std::{net::SocketAddr, sync::Arc};

pub use crate::ticket::Ticket;
use crate::{config::revision::Bundle, wire::Frame};

/// Packet of a flow; the node does not read its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Correlation id of the packet.
    pub ticket: Ticket,
    /// Address of the service.
    pub address: SocketAddr,
    /// Hash of the flow's key.
    pub flow: u64,
    /// Whether the packet opens the flow.
    pub first: bool,
    /// Whether the packet ends the flow.
    pub last: bool,
}

/// Request of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Correlation id of the request.
    pub ticket: Ticket,
    /// Address of the service.
    pub address: SocketAddr,
    /// Hash of the flow's key.
    pub flow: u64,
    /// Number that the customer gave the request, unique in its flow.
    pub number: u64,
    /// Number of the customer's attempt, from 1.
    pub attempt: u32,
    /// Whether the request opens the flow.
    pub first: bool,
    /// Whether the request ends the flow.
    pub last: bool,
    /// Time until the deadline, in milliseconds; the service's default if absent.
    pub left_ms: Option<u64>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Result of a run on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Complete answer.
    Done(Arc<[u8]>),
    /// The target ran the request and reported an error.
    Failed(Arc<str>),
    /// The target rejected the request without running it.
    Shed,
    /// The request was not sent, because the target was unreachable.
    Unreachable,
    /// The request was sent, but no complete answer arrived, for this reason.
    Lost(Arc<str>),
}

/// Event for a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Needed often, as timeouts are checked here.
    Tick,
    /// A packet arrived.
    Packet(Packet),
    /// A request arrived.
    Request(Request),
    /// The customer cancelled a request.
    Cancel(Ticket),
    /// A run ended.
    Answer {
        /// Ticket of the request.
        ticket: Ticket,
        /// Number of the run, from [`Action::Run`](super::Action::Run).
        run: u32,
        /// Result of the run.
        answer: Answer,
    },
    /// A frame arrived from a peer.
    Frame(Frame),
    /// The store contains this configuration revision.
    Accepted(Bundle),
    /// The platform lists instances at these addresses.
    Instances(Vec<SocketAddr>),
    /// A target reported whether it is leaving.
    TargetLeaving {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the target.
        target: Arc<str>,
        /// Whether the target is leaving.
        leaving: bool,
    },
    /// The instance should drain and stop.
    Drain,
}
