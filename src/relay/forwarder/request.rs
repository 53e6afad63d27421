//! Requests on open flows: when they may start, and when the client's packets show that
//! they are answered.

use super::{Forwarder, LAG_RECOVERY_MS};
use crate::{
    relay::{
        Class, Kind, Packet, budget,
        catalog::State,
        flows::{Activity, Flow, FlowKey, IDLE_COUNTED_MS},
        gossip,
        pacing::Request,
        placement::Demand,
        stall,
    },
    time::Time,
};

/// Time for which a request counts if its answer is not seen, in milliseconds: longer than
/// the longest queueing delay at a target.
const REQUEST_EXPIRY_MS: u64 = 2_000;

/// Time for which the announcement of a moved flow may be on its way, in milliseconds: two
/// rounds of reports. A flow that moved here within it may have moved on to here.
const ANNOUNCEMENT_DELAY_MS: u64 = 40;

/// Weight of a moved flow in the exponential moving average of those that are followed.
const FOLLOWED_WEIGHT: f32 = 0.2;

/// Share of moved flows that have to be followed for their first requests to count.
const MIN_FOLLOWED_SHARE: f32 = 0.5;

impl Forwarder {
    /// Whether a packet starts a request that has to wait for its target.
    pub(super) fn must_wait(
        &mut self,
        now: Time,
        packet: &Packet,
        index: usize,
        class: Class,
        arrived: Time,
    ) -> bool {
        let Kind::Data { request: true, acked } = packet.kind else {
            return false;
        };
        // After a pause the counts start again at zero, and a process that shuts down must not
        // keep packets.
        if self.is_leaving || self.resumed.is_some() || !self.starts_request(packet, acked) {
            return false;
        }
        let Some(target) = self.catalog.target(index) else {
            return false;
        };
        if !matches!(target.record.state, State::Ready | State::Missing) {
            return false;
        }
        let candidate = self.candidate(now, index, target, 0.0);
        if candidate.is_ejected {
            return false;
        }
        let service = target.service;
        if now == arrived {
            self.mix.record(service, class.priority);
        }
        let demand = self.request_demand(now, service, class, arrived);
        let request = Request {
            target: index,
            running: candidate.running,
            slots: candidate.slots,
            limit: self.settings.placement.max_running(&demand, &candidate),
            class: budget::class_index(demand.priority_rank, demand.is_late),
            instances: self.instances(now),
        };
        let admitted = self.pacing.admit(&request, &mut self.random);
        // Without a record the request would no longer be paced.
        if !admitted && let Some(flow) = self.flows.get_mut(FlowKey::of(packet.client, packet.address)) {
            flow.expires = flow.expires.max(arrived + class.timeout_ms);
        }
        !admitted
    }

    /// Whether a packet belongs to a request on an open flow whose target is in a partitioned zone,
    /// and whose client may repeat it.
    pub(super) fn is_unanswered(&mut self, now: Time, packet: &Packet, index: usize, class: Class) -> bool {
        let Kind::Data { request: true, acked } = packet.kind else {
            return false;
        };
        if !self.settings.resets_stalled || !class.is_idempotent || self.is_lagging(now) {
            return false;
        }
        let key = FlowKey::of(packet.client, packet.address);
        let same_request = |flow: &&mut Flow| flow.activity != Activity::Opening && flow.acked == acked;
        if let Some(flow) = self.flows.get_mut(key).filter(same_request)
            && let Some(started) = flow.requested
        {
            flow.spans_packets |= now.since(started) < stall::RETRANSMIT_MS;
            if !flow.spans_packets {
                self.stalls.record_repeated(index, key, started, now);
            }
        }
        self.is_cut_off(now, index)
    }

    /// Whether packets may have waited at this instance, so that clients repeat requests that
    /// were answered.
    fn is_lagging(&self, now: Time) -> bool {
        self.resumed.is_some() || now.since(self.lagged_at) < LAG_RECOVERY_MS
    }

    /// Whether a target is in a partitioned zone.
    fn is_cut_off(&self, now: Time, index: usize) -> bool {
        let Some(zone) = self.catalog.target(index).map(|target| &target.record.entry.zone) else {
            return false;
        };
        let Some(&(_, silent_since)) = self.unreachable.iter().find(|(name, _)| name == zone) else {
            return false;
        };
        let hears_other_zone = self.peers.known_peers().any(|peer| {
            let is_silent = self.unreachable.iter().any(|(name, _)| *name == peer.zone);
            peer.zone != self.settings.zone && peer.last_heard.is_some() && !is_silent
        });
        if !hears_other_zone {
            return false;
        }
        let is_same_zone = |target: &usize| {
            self.catalog.target(*target).is_some_and(|target| target.record.entry.zone == *zone)
        };
        self.stalls.is_cut_off((0..self.catalog.size()).filter(is_same_zone), silent_since, now)
    }

    /// Whether a packet with bytes of a request is the first one of it, on a flow that has a
    /// record here. The flow of another packet may have been placed by a peer just now, and
    /// its first request was admitted with it.
    pub(super) fn starts_request(&self, packet: &Packet, acked: u32) -> bool {
        match self.flows.get(FlowKey::of(packet.client, packet.address)) {
            None => false,
            Some(flow) => match flow.activity {
                Activity::Opening => false,
                Activity::Running => flow.is_answered_by(acked),
                Activity::Idle => true,
            },
        }
    }

    fn request_demand(&self, now: Time, service: usize, class: Class, arrived: Time) -> Demand {
        let mean_ms = self.loads.mean_ms(service);
        let left_ms = class.objective_ms.saturating_sub(now.since(arrived)) as f32;
        Demand {
            objective_ms: class.objective_ms as f32,
            priority_rank: self.mix.priority_rank(service, class.priority),
            is_late: left_ms < mean_ms,
            is_lasting: true,
            mean_ms,
        }
    }

    /// Updates the record of a packet's flow, and the answers and samples of its target.
    pub(super) fn track_flow(&mut self, now: Time, packet: &Packet, target: usize, service: usize) {
        let key = FlowKey::of(packet.client, packet.address);
        match packet.kind {
            Kind::Open { .. } => {}
            Kind::Data { request: true, acked } => self.track_request(now, packet, target, acked),
            Kind::Data { request: false, acked } => {
                let Some(flow) = self.flows.get(key) else {
                    self.move_detector.record_end(false);
                    self.announce_moved(key);
                    let expires = now + IDLE_COUNTED_MS;
                    let unplaced = unplaced(now, target, acked);
                    self.insert(key, Flow { activity: Activity::Idle, expires, requested: None, ..unplaced });
                    return;
                };
                match flow.activity {
                    Activity::Opening => self.note_open(now, key, target, acked),
                    Activity::Running if flow.is_answered_by(acked) => {
                        self.record_answer(now, key, target, service);
                    }
                    Activity::Idle if flow.answers == 0 && flow.is_answered_by(acked) => {
                        let (is_own, requested) = (flow.is_own, flow.requested);
                        self.note_followed(is_own, true);
                        if let Some(requested) = requested {
                            self.stalls.record_answer(target, requested);
                        }
                    }
                    Activity::Running | Activity::Idle => {}
                }
            }
            Kind::Close | Kind::Abort => {
                let Some(flow) = self.flows.get(key) else {
                    self.move_detector.record_end(false);
                    self.announce_end(key);
                    return;
                };
                let activity = flow.activity;
                if activity.is_running() && packet.kind == Kind::Abort {
                    self.ramp.record_failure(target, now);
                }
                if activity == Activity::Opening {
                    // Its request went to another instance, which still counts it.
                    self.announce_end(key);
                }
                if activity.is_running() && packet.kind == Kind::Close {
                    self.record_answer(now, key, target, service);
                }
                let Some(flow) = self.flows.remove(key) else {
                    return;
                };
                self.loads.remove(flow.target, flow.activity);
                // Otherwise its first answer was recorded.
                if flow.is_own && flow.answers == 0 {
                    self.move_detector.record_end(true);
                }
                if flow.is_own && flow.answers == 1 {
                    self.habits.record(packet.address, false);
                }
                self.note_answer(target, now);
            }
        }
    }

    /// Counts a request that starts on a flow, also on one that this instance did not see
    /// before.
    fn track_request(&mut self, now: Time, packet: &Packet, target: usize, acked: u32) {
        let key = FlowKey::of(packet.client, packet.address);
        let is_sample = self.has_free_slot(target);
        let expires = now + REQUEST_EXPIRY_MS;
        let Some(flow) = self.flows.get_mut(key) else {
            self.announce_moved(key);
            self.record_cold(now, target);
            // Its answer may be seen by another instance.
            let (activity, valid_ms) = match self.followed_share >= MIN_FOLLOWED_SHARE {
                true => (Activity::Running, self.moved_flow_expiry_ms()),
                false => (Activity::Idle, IDLE_COUNTED_MS),
            };
            let expires = now + valid_ms;
            self.insert(key, Flow { activity, is_sample, expires, ..unplaced(now, target, acked) });
            return;
        };
        flow.last_active = now;
        flow.expires = expires;
        if flow.activity == Activity::Opening {
            return self.note_open(now, key, target, acked);
        }
        let is_next = flow.activity == Activity::Idle || flow.is_answered_by(acked);
        if !is_next {
            return;
        }
        let former = std::mem::replace(&mut flow.activity, Activity::Running);
        // The acknowledgement of the former answer may come with the next request.
        let answered = flow.requested.filter(|_| flow.is_answered_by(acked));
        let is_repeated = flow.answers == 0 && flow.acked == acked && flow.requested.is_some();
        if !is_repeated {
            flow.requested = Some(now);
            flow.spans_packets = false;
        }
        (flow.started, flow.acked, flow.is_sample) = (now, acked, is_sample);
        let target = flow.target;
        if let Some(requested) = answered {
            self.stalls.record_answer(target, requested);
        }
        let is_second = flow.is_own && flow.answers == 1;
        self.loads.remove(target, former);
        self.loads.add(target, Activity::Running);
        self.record_cold(now, target);
        if is_second {
            self.habits.record(packet.address, true);
        }
    }

    /// Records that the client has gone on after the target's first answer.
    fn note_open(&mut self, now: Time, key: FlowKey, target: usize, acked: u32) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.activity = Activity::Running;
            flow.acked = acked;
            flow.expires = now + REQUEST_EXPIRY_MS;
        }
        self.note_answer(target, now);
    }

    /// Records that the answer to a flow's request reaches the client.
    fn record_answer(&mut self, now: Time, key: FlowKey, target: usize, service: usize) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let former = std::mem::replace(&mut flow.activity, Activity::Idle);
        flow.answers += 1;
        flow.expires = flow.last_active + IDLE_COUNTED_MS;
        let (counted, started, requested) = (flow.target, flow.started, flow.requested);
        let time_ms = now.since(started);
        let is_sample = flow.is_sample && flow.target == target;
        let (is_first, is_own) = (flow.answers == 1, flow.is_own);
        if is_first && is_own {
            self.move_detector.record_end(true);
        }
        if is_first {
            self.note_followed(is_own, true);
        }
        self.loads.remove(counted, former);
        self.loads.add(counted, Activity::Idle);
        self.pacing.record_end(counted);
        if counted == target {
            self.record_answer_time(target, service, time_ms, now);
        }
        if is_sample {
            self.loads.sample(target, service, time_ms, now);
        }
        self.note_answer(target, now);
        if let Some(requested) = requested {
            self.stalls.record_answer(target, requested);
        }
    }

    /// Tells peers with the next report that this instance counts a flow from now on.
    fn announce_moved(&mut self, key: FlowKey) {
        if self.moved.len() < gossip::MAX_MOVED {
            self.moved.push(key);
        }
    }

    /// Tells peers with the next report that a flow has ended that they may count.
    fn announce_end(&mut self, key: FlowKey) {
        if self.ended.len() < gossip::MAX_MOVED {
            self.ended.push(key);
        }
    }

    /// Removes the record of a flow that a peer counts from now on.
    pub(super) fn remove_moved(&mut self, key: FlowKey, now: Time) {
        let is_newer = |flow: &Flow| !flow.is_own && now.since(flow.last_active) < ANNOUNCEMENT_DELAY_MS;
        if !self.flows.get(key).is_none_or(is_newer) {
            self.remove_record(key);
        }
    }

    /// Removes the record of a flow.
    pub(super) fn remove_record(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.loads.remove(flow.target, flow.activity);
            self.note_lost(&flow);
        }
    }

    /// Learns from a record that ends without an answer.
    pub(super) fn note_lost(&mut self, flow: &Flow) {
        if flow.answers == 0 {
            self.note_followed(flow.is_own, false);
        }
    }

    /// Records whether the answer to the first request of a moved flow was seen here. If most
    /// are not, the fabric does not keep the packets of a flow together, and the requests of
    /// moved flows are not counted, as their ends would be seen elsewhere.
    fn note_followed(&mut self, is_own: bool, is_followed: bool) {
        if !is_own {
            let sample = if is_followed { 1.0 } else { 0.0 };
            self.followed_share += FOLLOWED_WEIGHT * (sample - self.followed_share);
        }
    }

    fn has_free_slot(&self, target: usize) -> bool {
        let slots = self.catalog.target(target).map_or(0, |target| target.record.entry.slots);
        self.loads.running(target) < slots
    }
}

/// Flow with a request whose opening packet this instance has not forwarded.
fn unplaced(now: Time, target: usize, acked: u32) -> Flow {
    Flow {
        target,
        activity: Activity::Running,
        started: now,
        requested: Some(now),
        spans_packets: false,
        last_active: now,
        acked,
        answers: 0,
        is_sample: false,
        is_own: false,
        expires: now,
    }
}
