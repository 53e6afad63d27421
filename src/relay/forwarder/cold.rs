//! Requests to cold targets: which targets are cold, and when this instance may send them one.

use super::Forwarder;
use crate::{
    hash,
    relay::{
        Kind, Packet,
        catalog::Target,
        flows::FlowKey,
        peers::Peers,
        ramp::Start,
        warm_up::{self, Bound, Group},
    },
    time::Time,
};

impl Forwarder {
    /// This instance's share of a cold target; none if the target is not cold, or its service
    /// has no limit for cold targets.
    fn bound(&self, now: Time, index: usize, target: &Target) -> Option<Bound> {
        let per_s = self.catalog.warm_up(target.service).per_s;
        let is_cold = now < target.warmed_up_at || self.warm_up.is_suspected(index, now);
        if !is_cold || per_s <= 0.0 {
            return None;
        }
        let own = Peers::key(&self.settings.name);
        let key = u64::from(target.token.0);
        let known = self.peers.known_peers().count() + 1;
        if !self.cell_targets(target.service).contains(&index) {
            let rank = self.peers.rendezvous_rank(key, own, false);
            return Bound::new(per_s, self.settings.warm_up, Group::Others, known, rank);
        }
        let cell = self.peers.cell_peers() + 1;
        let in_cell = warm_up::sharing_instances(cell, known, self.peers.cell().count);
        let rank = match in_cell == cell {
            true => self.peers.rendezvous_rank(key, own, true),
            // Some members of the cell are cut off: all that are known decide.
            false => self.peers.rendezvous_rank(key, own, false) * in_cell / known,
        };
        // Cells with the same targets take turns in the ranks.
        let (position, sharing) = self.sharing_cells.get(target.service).copied().unwrap_or((0, 1));
        let rank = rank * sharing + position;
        Bound::new(per_s, self.settings.warm_up, Group::Cell, in_cell * sharing, rank)
    }

    /// Whether a target may get one more request of this instance now.
    fn admits_cold(&self, now: Time, index: usize, target: &Target) -> bool {
        self.bound(now, index, target)
            .is_none_or(|bound| !self.has_just_started(now) && self.warm_up.admits(index, bound, now))
    }

    /// Whether a target may get a new flow of this instance now. An instance that has just
    /// started may not know most members yet, and its share would be too large.
    pub(super) fn admits_new_cold(&self, now: Time, index: usize, target: &Target) -> bool {
        self.bound(now, index, target)
            .is_none_or(|bound| !self.has_just_started(now) && self.warm_up.admits_new(index, bound, now))
    }

    /// Whether a service has no target for a new flow now only because its cold targets have
    /// got this instance's share.
    pub(super) fn must_wait_for_cold(&self, now: Time, service: usize) -> bool {
        self.cell_targets(service).iter().any(|index| {
            self.catalog.target(*index).is_some_and(|target| {
                self.catalog.takes_new(target) && !self.admits_new_cold(now, *index, target)
            })
        })
    }

    /// Counts a request to a target if it is cold or has a ramp.
    pub(super) fn record_cold(&mut self, now: Time, index: usize) {
        let bound = self.catalog.target(index).and_then(|target| self.bound(now, index, target));
        if let Some(bound) = bound {
            self.warm_up.record(index, bound, now);
        }
        self.ramp.record_use(index, now);
    }

    /// Starts the cold period of a target that has just started.
    pub(super) fn start_cold(&mut self, now: Time, index: usize) {
        let phase = self.phase(index);
        let bound = self.catalog.target(index).and_then(|target| self.bound(now, index, target));
        if let Some(bound) = bound {
            self.warm_up.start(index, bound, phase, now);
        }
    }

    /// Treats a target as cold until its next entry arrives, as it may have started again.
    pub(super) fn suspect_restart(&mut self, target: usize, now: Time) {
        let service = self.catalog.target(target).map(|known| known.service);
        if service.is_some_and(|service| self.catalog.warm_up(service).per_s > 0.0) {
            self.warm_up.suspect(target, now);
            self.start_cold(now, target);
        }
    }

    /// Starts the ramps of a zone's targets when its evacuation has ended, and treats them as
    /// cold until their next entries arrive.
    pub(super) fn return_zone(&mut self, zone: &str, now: Time) {
        for index in 0..self.catalog.size() {
            if self.catalog.target(index).is_some_and(|target| &*target.record.entry.zone == zone) {
                self.suspect_restart(index, now);
                self.start_ramp(index, Start::Fresh, now);
            }
        }
    }

    /// Whether a packet starts a request on an open flow for which its cold target has no room
    /// yet.
    pub(super) fn must_wait_for_warm_up(&mut self, now: Time, packet: &Packet, index: usize) -> bool {
        let Kind::Data { request: true, acked } = packet.kind else {
            return false;
        };
        // A process that shuts down must not keep packets. The fabric may move all flows of a
        // target at once, so the first request of a flow without a record waits too.
        let is_unknown = self.flows.get(FlowKey::of(packet.client, packet.address)).is_none();
        let waits = !self.is_leaving
            && (is_unknown || self.starts_request(packet, acked))
            && self.catalog.target(index).is_some_and(|target| !self.admits_cold(now, index, target));
        if waits {
            self.warm_up.reserve(index, now);
        }
        waits
    }

    /// Number from zero to one that differs between instances and targets.
    fn phase(&self, index: usize) -> f32 {
        let own = Peers::key(&self.settings.name);
        let target = self.catalog.target(index).map_or(0, |target| u64::from(target.token.0));
        hash::draw(target, own) as f32
    }
}
