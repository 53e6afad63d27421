//! Verdicts on packets, their reasons, and events for the log.

use std::{fmt, net::SocketAddrV4, sync::Arc};

use crate::relay::{Token, catalog::State, revision::Revision};

/// State that is missing to decide on a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// No plan has arrived yet.
    Plan,
    /// The plan has no such route.
    Route,
    /// No target has the token.
    Token,
    /// The route's services have no target.
    Targets,
    /// The process was paused and its state is not confirmed yet.
    Pause,
}

impl fmt::Display for Deferral {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Deferral::Plan => "no plan has arrived yet",
            Deferral::Route => "the plan has no route for the address",
            Deferral::Token => "no target has the token",
            Deferral::Targets => "the route's services have no targets",
            Deferral::Pause => "state is not confirmed after a pause",
        })
    }
}

/// Why a flow is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The route was removed from the plan.
    RouteRemoved,
    /// All targets of the service are in evacuated zones.
    Evacuated,
    /// All targets are cold and have got this instance's share of requests.
    TargetsCold,
    /// This instance has used its share of the spare capacity until the next reports.
    BudgetExhausted,
    /// The expected wait for a slot exceeds the limit of the class.
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
            Refusal::RouteRemoved => f.write_str("route removed from the plan"),
            Refusal::Evacuated => f.write_str("all targets are in evacuated zones"),
            Refusal::TargetsCold => f.write_str("share of the cold targets used up"),
            Refusal::BudgetExhausted => f.write_str("share of the spare capacity used up"),
            Refusal::WaitTooLong { wait_ms, limit_ms } => {
                write!(f, "shortest wait {wait_ms:.0} ms, longest allowed {limit_ms:.0} ms")
            }
        }
    }
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It has no token and is not an opening packet.
    NoToken,
    /// Its token belongs to a target of a service that its route does not have.
    WrongService,
    /// Its route was removed from the plan.
    RouteRemoved,
    /// It starts a request that has waited for its target until the timeout of its class.
    RequestExpired,
}

/// Target that a packet is forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Target's index.
    pub target: usize,
    /// Target's address.
    pub address: SocketAddrV4,
    /// Number that the target expects in front of the packet.
    pub number: u64,
    /// Token to put into the packet.
    pub token: Token,
}

/// Decision on a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Forward it.
    Forward(Destination),
    /// Refuse the flow with a reset; it has not opened yet.
    Refuse(Refusal),
    /// Reset its open flow: the flow's target is in a partitioned zone, and its client may
    /// repeat the request.
    Reset,
    /// Drop it.
    Drop(DropReason),
    /// Keep it until the missing state arrives, for a limited time.
    Defer(Deferral),
    /// Keep it and decide again soon: no slot of its target is free yet, and there is still time.
    Queue,
}

/// State that decisions on opening packets depend on, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Context {
    /// Store revision up to which the catalog is complete.
    pub revision: Revision,
    /// Version of the plan in effect.
    pub plan: u64,
    /// Time since the store or its reader confirmed that the catalog is complete, in
    /// milliseconds.
    pub sync_age_ms: u64,
    /// Other instances of the cell that have reported.
    pub cell_peers: usize,
    /// Index of the cell, and number of cells.
    pub cell: (usize, usize),
}

/// Load of the target of a placed flow, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Target's name.
    pub target: Arc<str>,
    /// Own flows with a request there, including this one.
    pub own: u32,
    /// Flows with a request there, own and reported by peers.
    pub running: u32,
    /// All flows there, running or idle, own and reported by peers.
    pub flows: u32,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Consecutive opening packets that it left unanswered, as counted here.
    pub strikes: u32,
}

/// Event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A client retransmitted its opening packet: the target did not answer.
    Unanswered {
        /// Target's name.
        target: Arc<str>,
        /// Consecutive unanswered opening packets, as counted here.
        failures: u32,
        /// Address of the client.
        client: SocketAddrV4,
    },
    /// The process was paused.
    Paused {
        /// Time without a tick, in milliseconds.
        gap_ms: u64,
    },
    /// The state of a target changed.
    TargetChanged {
        /// Target's name.
        target: Arc<str>,
        /// New state.
        state: State,
        /// Store revision of the change.
        revision: Revision,
    },
    /// An availability zone was evacuated, or its evacuation ended.
    EvacuationChanged {
        /// Availability zone.
        zone: Arc<str>,
        /// Whether it is evacuated.
        is_active: bool,
        /// Store revision of the change.
        revision: Revision,
    },
    /// New flows of a service are refused, as all its targets are in evacuated zones, or that
    /// has ended.
    ServiceEvacuated {
        /// Service.
        service: Arc<str>,
        /// Whether its flows are refused.
        is_evacuated: bool,
    },
    /// A target that has started or recovered gets few requests until it keeps up.
    RampStarted {
        /// Target's name.
        target: Arc<str>,
    },
    /// A target has kept up with as many requests as it has slots.
    RampEnded {
        /// Target's name.
        target: Arc<str>,
        /// Time since the start of the ramp, in milliseconds.
        duration_ms: u64,
    },
    /// The store has returned from a backup.
    EraBegan {
        /// New era.
        era: u32,
        /// Store revision up to which the targets are complete.
        revision: Revision,
    },
}
