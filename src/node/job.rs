//! Packets and requests in progress.

use std::sync::Arc;

use super::event::{Packet, Request};
use crate::{time::Time, wire::RequestId};

/// Concurrency slot on which a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// Slot that this instance owns.
    Own,
    /// Slot leased from a peer, with the id of the query that requested it.
    Leased(Arc<str>, u32),
}

/// Run of a request on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) target: u16,
    pub(super) slot: Slot,
    pub(super) started: Time,
}

/// Stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Awaits permission to run from its primary replica.
    Claiming,
    /// Awaits the outcome of another attempt.
    Joined,
    /// Awaits the target of its flow.
    Routing,
    /// Queued for a concurrency slot.
    Waiting,
    /// Runs on a target.
    Running(Run),
    /// Delayed until this time before the next run.
    Backoff(Time),
}

/// Request in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) service: usize,
    pub(super) deadline: Time,
    pub(super) stage: Stage,
    /// Target of its flow, once known; none if the service is movable.
    pub(super) target: Option<u16>,
    /// Targets on which a run was unsuccessful.
    pub(super) avoid: Vec<u16>,
    /// Runs started so far.
    pub(super) runs: u32,
    /// Id of its record on the replicas; none for an idempotent request.
    pub(super) record: Option<RequestId>,
    /// Query id of its claim.
    pub(super) claim: u32,
    /// Whether a run may have had an effect.
    pub(super) may_have_run: bool,
}

/// Packet or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// Packet that awaits the target of its flow, with the index of its service.
    Packet(Packet, usize),
    /// Request in any stage.
    PendingRequest(Box<PendingRequest>),
}
