//! Table of packets and requests that are not yet done.

use std::sync::Arc;

use super::event::{Packet, Request};
use crate::{time::Time, wire::RequestId};

/// Slot on which a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// Of this instance.
    Own,
    /// Lent by a peer under the number of the question.
    Leased(Arc<str>, u32),
}

/// Run of a request on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) target: u16,
    pub(super) slot: Slot,
    pub(super) started: Time,
}

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its keepers are asked for leave.
    Claiming,
    /// It waits for the outcome of its first attempt.
    Joined,
    /// Its flow's target is being found.
    Routing,
    /// It waits for a slot.
    Waiting,
    /// It runs.
    Running(Run),
    /// It waits before it is tried again.
    Pausing(Time),
}

/// Request inside the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Work {
    pub(super) request: Request,
    pub(super) service: usize,
    pub(super) deadline: Time,
    pub(super) stage: Stage,
    /// Target that it is bound to.
    pub(super) target: Option<u16>,
    /// Targets that did not run it.
    pub(super) avoid: Vec<u16>,
    pub(super) runs: u32,
    /// Record held by keepers.
    pub(super) record: Option<RequestId>,
    /// Number of its claim.
    pub(super) claim: u32,
    /// Whether a run may have taken effect.
    pub(super) may_have_run: bool,
}

/// Packet or request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// Packet that waits for a keeper's answer.
    Packet(Packet, usize),
    /// Request.
    Work(Box<Work>),
}
