//! Actions that a node returns for the host program to carry out.

use std::{fmt, net::SocketAddr, sync::Arc};

use super::event::Ticket;
use crate::wire::{Message, Outcome};

/// Action for the host program.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a packet to a target.
    Forward {
        /// Ticket of the packet.
        ticket: Ticket,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Drop a packet.
    Drop {
        /// Ticket of the packet.
        ticket: Ticket,
    },
    /// Run a request on a target; [`Event::Answer`](super::Event::Answer) reports the result.
    Run {
        /// Ticket of the request.
        ticket: Ticket,
        /// Number of the run, from 1 for each request.
        run: u32,
        /// Target as `NAME@ADDRESS`.
        name: Arc<str>,
        /// Address of the target.
        target: SocketAddr,
        /// Time until the deadline of the request, in milliseconds.
        left_ms: u64,
    },
    /// Cancel a run, on the target too.
    Abort {
        /// Ticket of the request.
        ticket: Ticket,
        /// Number of the run.
        run: u32,
    },
    /// Reply to the customer with the outcome of a request.
    Reply {
        /// Ticket of the request.
        ticket: Ticket,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Send a message to a peer.
    Send {
        /// Address of the peer.
        to: SocketAddr,
        /// Message.
        message: Message,
    },
    /// Write a log line.
    Notice(Notice),
    /// The instance has drained; the process may end.
    Stopped,
}

/// Event for the log. docs/EVENTS.md lists the numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The instance has joined and serves.
    Serving,
    /// The instance drains.
    Leaving,
    /// A configuration revision was adopted.
    RevisionAdopted(u64),
    /// A revision older than the adopted one was refused: offered, adopted.
    OlderRevision(u64, u64),
    /// A revision that does not descend from the adopted one was refused.
    ForkedRevision(u64),
    /// An offered revision is invalid.
    InvalidRevision(String),
    /// Tables of this version took effect.
    TablesEffective(u64),
    /// The change to tables of this version is finished on all instances.
    TablesSettled(u64),
    /// A peer was discovered, or is reachable again.
    PeerJoined(Arc<str>),
    /// A peer stopped sending heartbeats, or restarted, without a leave message.
    PeerFailed(Arc<str>),
    /// A peer sent a leave message.
    PeerLeft(Arc<str>),
    /// A target announced that it leaves.
    TargetLeaving(Arc<str>),
    /// A target that was leaving serves again.
    TargetBack(Arc<str>),
    /// A leaving target reached its drain limit: target, tracked flows dropped.
    FlowsDropped(Arc<str>, usize),
    /// A peer still routes by older tables.
    PeerLags(Arc<str>),
}

impl Notice {
    /// Number of the event, without the leading `E`.
    pub fn number(&self) -> u32 {
        match self {
            Notice::Serving => 101,
            Notice::Leaving => 102,
            Notice::RevisionAdopted(_) => 201,
            Notice::OlderRevision(..) => 202,
            Notice::ForkedRevision(_) => 203,
            Notice::InvalidRevision(_) => 204,
            Notice::TablesEffective(_) => 301,
            Notice::TablesSettled(_) => 302,
            Notice::FlowsDropped(..) => 303,
            Notice::PeerJoined(_) => 401,
            Notice::PeerFailed(_) => 402,
            Notice::PeerLeft(_) => 403,
            Notice::PeerLags(_) => 404,
            Notice::TargetLeaving(_) => 501,
            Notice::TargetBack(_) => 502,
        }
    }

    /// Reports whether the event is logged as a warning.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Notice::OlderRevision(..)
                | Notice::ForkedRevision(_)
                | Notice::InvalidRevision(_)
                | Notice::PeerFailed(_)
                | Notice::FlowsDropped(..)
        )
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Serving => write!(f, "serving"),
            Notice::Leaving => write!(f, "leaving"),
            Notice::RevisionAdopted(revision) => write!(f, "adopted configuration revision {revision}"),
            Notice::OlderRevision(offered, adopted) => {
                write!(f, "refused configuration revision {offered}: older than adopted revision {adopted}")
            }
            Notice::ForkedRevision(offered) => {
                write!(
                    f,
                    "refused configuration revision {offered}: it does not descend from the adopted one"
                )
            }
            Notice::InvalidRevision(what) => write!(f, "refused a configuration revision: {what}"),
            Notice::TablesEffective(version) => write!(f, "routing tables {version:016x} took effect"),
            Notice::TablesSettled(version) => {
                write!(f, "routing tables {version:016x} settled on all instances")
            }
            Notice::PeerJoined(name) => write!(f, "peer {name} joined"),
            Notice::PeerFailed(name) => write!(f, "peer {name} failed or restarted without a leave message"),
            Notice::PeerLeft(name) => write!(f, "peer {name} left"),
            Notice::TargetLeaving(name) => write!(f, "target {name} is leaving and gets no new flows"),
            Notice::TargetBack(name) => write!(f, "target {name} is back"),
            Notice::FlowsDropped(name, count) => {
                write!(f, "dropped {count} flows of target {name}, which reached its drain limit")
            }
            Notice::PeerLags(name) => write!(f, "peer {name} still routes by older tables"),
        }
    }
}
