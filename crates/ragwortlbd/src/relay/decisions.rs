//! Log lines about opening packets and about requests that waited: the decision and the
//! state that led to it.
//!
//! The packet path does not parse the requests inside a flow, so a line identifies the
//! flow by the client's address and the called address. All kinds of line have a rate
//! limit, as a flood refuses thousands of flows a second.

use std::fmt;

use ragwortlb::relay::{
    Kind, Packet,
    forwarder::{Context, Destination},
};

use super::shared::{Shared, now};

/// Logs that a flow was placed on a target, unless the rate limit is reached.
pub(super) fn placed(shared: &Shared, packet: &Packet, destination: &Destination, waited_ms: u64) {
    let Kind::Open { copy } = packet.kind else {
        return;
    };
    if !shared.placements.accept() {
        return;
    }
    let forwarder = shared.forwarder.borrow();
    let Some(placement) = forwarder.placement(destination.target) else {
        return;
    };
    let Context { revision, plan, sync_age_ms: news_age_ms, cell_peers: mates, .. } =
        forwarder.context(now());
    log::info!(
        client:% = packet.client, address:% = packet.address, copy, waited_ms,
        target:% = placement.target, token = destination.token.0,
        own = placement.own, running = placement.running, flows = placement.flows, slots = placement.slots,
        strikes = placement.strikes,
        mates, revision:%, plan, news_age_ms;
        "E724 flow placed on a target"
    );
}

/// Logs that a flow was refused, unless the rate limit is reached.
pub(super) fn refused(shared: &Shared, packet: &Packet, reason: &impl fmt::Display, waited_ms: u64) {
    if !shared.refusals.accept() {
        return;
    }
    let Context { revision, plan, sync_age_ms: news_age_ms, cell_peers: mates, cell } =
        shared.forwarder.borrow().context(now());
    let copy = if let Kind::Open { copy } = packet.kind { copy } else { 0 };
    log::info!(
        client:% = packet.client, address:% = packet.address, copy, waited_ms,
        reason:%, mates, cell = cell.0, cells = cell.1, revision:%, plan, news_age_ms;
        "E721 flow refused"
    );
}

/// Logs that an open flow was reset, as its target is in a partitioned zone, unless the rate limit is
/// reached.
pub(super) fn reset(shared: &Shared, packet: &Packet) {
    if shared.refusals.accept() {
        log::info!(
            client:% = packet.client, address:% = packet.address, token = packet.token.0;
            "E727 an open flow was reset; its target is in a partitioned zone"
        );
    }
}

/// Logs that a request of an open flow started after it had waited for its target, unless the
/// rate limit is reached.
pub(super) fn started(shared: &Shared, packet: &Packet, destination: &Destination, waited_ms: u64) {
    if !shared.waits.accept() {
        return;
    }
    let forwarder = shared.forwarder.borrow();
    let Some(placement) = forwarder.placement(destination.target) else {
        return;
    };
    log::info!(
        client:% = packet.client, address:% = packet.address, waited_ms,
        target:% = placement.target, token = destination.token.0,
        own = placement.own, running = placement.running, flows = placement.flows, slots = placement.slots;
        "E725 a request on an open flow waited for its target"
    );
}

/// Logs that a request of an open flow was dropped as it had waited until its timeout, unless
/// the rate limit is reached.
pub(super) fn expired(shared: &Shared, packet: &Packet, waited_ms: u64) {
    if shared.waits.accept() {
        log::info!(
            client:% = packet.client, address:% = packet.address, waited_ms, token = packet.token.0;
            "E726 a request on an open flow was dropped at the timeout of its class"
        );
    }
}
