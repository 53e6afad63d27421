//! Log lines on decisions about opening packets: what decided them, and the outcome.
//!
//! The requests inside flows are not seen here, so a flow is named by its two ends.

use std::fmt;

use ragwortlb::relay::{
    Kind, Packet,
    path::{Inputs, Way},
};

use super::shared::{Shared, now};

/// Logs that a flow was placed, if there is room for the line.
pub(super) fn placed(shared: &Shared, packet: &Packet, way: &Way, waited_ms: u64) {
    let Kind::Open { copy } = packet.kind else {
        return;
    };
    if !shared.placements.take() {
        return;
    }
    let path = shared.path.borrow();
    let Some(chosen) = path.chosen(way.target) else {
        return;
    };
    let Inputs { revision, plan, news_age_ms, mates, .. } = path.inputs(now());
    log::info!(
        client:% = packet.client, address:% = packet.address, copy, waited_ms,
        target:% = chosen.target, token = way.token.0,
        own = chosen.own, open = chosen.open, slots = chosen.slots, strikes = chosen.strikes,
        mates, revision, plan, news_age_ms;
        "E724 placed"
    );
}

/// Logs that a flow was refused, if there is room for the line.
pub(super) fn refused(shared: &Shared, packet: &Packet, reason: &impl fmt::Display, waited_ms: u64) {
    if !shared.refusals.take() {
        return;
    }
    let Inputs { revision, plan, news_age_ms, mates, cell } = shared.path.borrow().inputs(now());
    let copy = if let Kind::Open { copy } = packet.kind { copy } else { 0 };
    log::info!(
        client:% = packet.client, address:% = packet.address, copy, waited_ms,
        reason:%, mates, cell = cell.0, cells = cell.1, revision, plan, news_age_ms;
        "E721 refused"
    );
}
