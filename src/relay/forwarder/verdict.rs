//! What becomes of a packet, why, and what is worth a log line.

use std::{fmt, net::SocketAddrV4, sync::Arc};

use crate::relay::{Token, catalog::State};

/// Why a packet cannot be judged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// No plan is known.
    Plan,
    /// The plan has no such route.
    Route,
    /// No target has the token.
    Token,
    /// The route's services have no target.
    Targets,
    /// What was known before a pause is not used.
    Pause,
}

impl fmt::Display for Deferral {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Deferral::Plan => "no plan is known",
            Deferral::Route => "the plan has no such route",
            Deferral::Token => "no target has the token",
            Deferral::Targets => "the route's services have no target",
            Deferral::Pause => "what was known before a pause is not used",
        })
    }
}

/// Why a flow is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The plan dropped the route.
    RouteRemoved,
    /// This instance's part of the room in front of busy targets is used up.
    BudgetExhausted,
    /// All targets are busy for longer than the class may wait.
    WaitTooLong {
        /// Shortest wait, in milliseconds.
        wait_ms: f32,
        /// Longest wait that the class may have, in milliseconds.
        limit_ms: f32,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::RouteRemoved => f.write_str("the plan dropped the route"),
            Refusal::BudgetExhausted => f.write_str("this instance's part of the room is used up"),
            Refusal::WaitTooLong { wait_ms, limit_ms } => {
                write!(f, "shortest wait {wait_ms:.0} ms, longest allowed {limit_ms:.0} ms")
            }
        }
    }
}

/// Why a packet goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It names no target and opens no flow.
    NoToken,
    /// Its token names a target of a service that its route does not have.
    Foreign,
    /// It belongs to a route that the plan dropped.
    RouteRemoved,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Target's index.
    pub target: usize,
    /// Target's address.
    pub address: SocketAddrV4,
    /// Number in front of the packet.
    pub number: u64,
    /// Token that the packet carries on.
    pub token: Token,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it on.
    Forward(Destination),
    /// Reset the flow, which has not opened.
    Refuse(Refusal),
    /// Drop it.
    Drop(DropReason),
    /// Keep it until more is known, or drop it.
    Defer(Deferral),
    /// Keep it and ask again soon: no slot is free yet, and there is still time.
    Queue,
}

/// What decided where an opening packet goes, for a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Context {
    /// Revision of the store up to which this instance is complete.
    pub revision: u64,
    /// Version of the plan in force.
    pub plan: u64,
    /// Time since the store or its reader told that all is known, in milliseconds.
    pub sync_age_ms: u64,
    /// Instances of the cell whose reports count, beside this one.
    pub cell_peers: usize,
    /// Cell, and number of cells.
    pub cell: (usize, usize),
}

/// What was known of the target of a placed flow, for a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Target's name.
    pub target: Arc<str>,
    /// Open flows there that this instance placed, this one included.
    pub own: u32,
    /// The same of all instances that report.
    pub open: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Opening packets in a row that it did not answer.
    pub strikes: u32,
}

/// What happened that is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A copy of an opening packet came: the target did not answer.
    Unanswered {
        /// Target's name.
        target: Arc<str>,
        /// In a row, as this instance counts.
        failures: u32,
        /// Client's end.
        client: SocketAddrV4,
    },
    /// The instance was paused.
    Paused {
        /// Length of the gap, in milliseconds.
        gap_ms: u64,
    },
    /// A target changed.
    TargetChanged {
        /// Target's name.
        target: Arc<str>,
        /// Its state.
        state: State,
        /// Revision of the store.
        revision: u64,
    },
}
