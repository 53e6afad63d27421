//! Requests to cold targets: which targets are cold, and when this instance may send them one.

use super::Forwarder;
use crate::{
    hash,
    relay::{
        Kind, Packet,
        catalog::Target,
        peers::Peers,
        ramp::Start,
        warm_up::{self, Bound},
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
        let known = self.peers.known_peers().count() + 1;
        let instances =
            warm_up::sharing_instances(self.peers.cell_peers() + 1, known, self.peers.cell().count);
        Bound::new(per_s, self.settings.warm_up, instances)
    }

    /// Whether a target may get one more request of this instance now.
    pub(super) fn admits_cold(&self, now: Time, index: usize, target: &Target) -> bool {
        self.bound(now, index, target).is_none_or(|_| self.warm_up.admits(index, now))
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
    pub(super) fn must_wait_for_warm_up(&self, now: Time, packet: &Packet, index: usize) -> bool {
        let Kind::Data { request: true, acked } = packet.kind else {
            return false;
        };
        // A process that shuts down must not keep packets.
        !self.is_leaving
            && self.starts_request(packet, acked)
            && self.catalog.target(index).is_some_and(|target| !self.admits_cold(now, index, target))
    }

    /// Number from zero to one that differs between instances and targets.
    fn phase(&self, index: usize) -> f32 {
        let own = Peers::key(&self.settings.name);
        let target = self.catalog.target(index).map_or(0, |target| u64::from(target.token.0));
        hash::draw(target, own) as f32
    }
}
