//! Opening packets: where they are placed, how long they are queued, and when they are
//! refused.

use std::net::SocketAddrV4;

use super::{Deferral, Destination, Forwarder, Notice, Refusal, Verdict, destination, pace::Limits};
use crate::{
    relay::{
        Class, Packet,
        budget::{self, Budget},
        catalog::{State, Target},
        flows::{Activity, Flow, FlowKey},
        placement::{Candidate, Choice, Demand},
    },
    time::Time,
};

/// Time after an opening packet within which its retransmission goes to the same target,
/// in milliseconds. Clients send the first retransmission after 200 ms, so an earlier one
/// was delayed and does not show that the target failed to answer.
const SAME_TARGET_MS: u64 = 150;

/// Time for which a flow counts while its client has not gone on, in milliseconds. The client's
/// next retransmission comes within 400 ms; without one the target has refused the flow.
const HANDSHAKE_EXPIRY_MS: u64 = 450;

/// Times of the first opening packet and its retransmissions, in milliseconds from the
/// first one, as clients of the platform send them.
const RETRANSMIT_AT_MS: [u64; 3] = [0, 200, 600];

/// Share of the latency objective for which an opening packet may be queued. With two
/// retries of the client this adds up to a quarter of the objective.
const QUEUE_TIME_SHARE: f32 = 1.0 / 12.0;

/// Time for which a late opening packet may be queued, in milliseconds: until the
/// client's next retransmission replaces it.
const LATE_QUEUE_MS: u64 = 400;

/// Share of a service's slots in use up to which service times are sampled.
const LIGHT_LOAD_SHARE: f32 = 0.8;

/// Time after a start in which peers may be starting too, in milliseconds.
const STARTUP_MS: u64 = 2_000;

/// Time after a pause in which new flows wait until the state is confirmed, in
/// milliseconds. After that, no peer with newer state can be reached.
const RECONFIRM_MS: u64 = 300;

/// Opening packet to be placed.
#[derive(Clone, Copy, Debug)]
struct Opening {
    key: FlowKey,
    /// Address that the client connects to.
    address: SocketAddrV4,
    service: usize,
    class: Class,
    /// Number of the retransmission; zero for the first packet.
    copy: u32,
    /// Target that did not answer an earlier packet of the flow.
    avoid: Option<usize>,
    /// When this instance received it.
    arrived: Time,
}

impl Forwarder {
    /// Decides on an opening packet.
    pub(super) fn open(&mut self, now: Time, packet: &Packet, copy: u32, arrived: Time) -> Verdict {
        if self.catalog.plan().version == 0 {
            return Verdict::Defer(Deferral::Plan);
        }
        if self.resumed.is_some_and(|resumed| now.since(resumed) < RECONFIRM_MS) {
            return Verdict::Defer(Deferral::Pause);
        }
        let Some(route) = self.catalog.find_route(&packet.address) else {
            return Verdict::Defer(Deferral::Route);
        };
        if !route.is_active {
            return Verdict::Refuse(Refusal::RouteRemoved);
        }
        let class = route.class;
        let key = FlowKey::of(packet.client, packet.address);
        let service = pick_service(&route.shares, key);
        let mut avoid = None;
        if let Some(flow) = self.flows.get(key).cloned() {
            if let Some(destination) = self.previous_destination(now, &flow, service) {
                self.record_cold(now, flow.target);
                return Verdict::Forward(destination);
            }
            self.flows.remove(key);
            self.loads.remove(flow.target, flow.activity);
            if flow.activity == Activity::Opening {
                self.record_unanswered(now, packet, flow.target);
                avoid = Some(flow.target);
            }
        }
        self.route(now, &Opening { key, address: packet.address, service, class, copy, avoid, arrived })
    }

    /// Destination of a retransmitted opening packet: the flow's target, if that has
    /// answered or has not had the time to, and still gets new flows.
    fn previous_destination(&self, now: Time, flow: &Flow, service: usize) -> Option<Destination> {
        let target = self.catalog.target(flow.target)?;
        let takes_new = self.catalog.takes_new(target);
        let holds = flow.activity != Activity::Opening || now.since(flow.last_active) < SAME_TARGET_MS;
        (holds && takes_new && target.service == service).then(|| destination(flow.target, target))
    }

    fn record_unanswered(&mut self, now: Time, packet: &Packet, target: usize) {
        self.note_failure(target, now);
        if let Some(known) = self.catalog.target(target) {
            let name = known.record.entry.name.clone();
            let strikes = self.outliers.strikes(target);
            self.notices.push(Notice::Unanswered { target: name, failures: strikes, client: packet.client });
        }
    }

    /// Chooses a target, or queues or refuses the flow.
    fn route(&mut self, now: Time, opening: &Opening) -> Verdict {
        let Opening { service, class, .. } = *opening;
        if now == opening.arrived {
            self.mix.record(service, class.priority);
        }
        let demand = self.demand(now, opening);
        let mut candidates = std::mem::take(&mut self.candidates);
        self.collect_candidates(now, service, opening.avoid, Limits::Full, &mut candidates);
        let choice = self.choose(now, opening, &demand, &mut candidates);
        let found = candidates.iter().find(|candidate| choice == Choice::Target(candidate.target));
        let is_idle = found.is_some_and(|candidate| candidate.running < candidate.slots)
            && !self.has_just_started(now)
            && is_lightly_loaded(&candidates);
        self.candidates = candidates;
        match choice {
            Choice::Target(index) => self.place_on(now, opening, index, is_idle),
            Choice::NoTarget if self.note_evacuated(service) => Verdict::Refuse(Refusal::Evacuated),
            Choice::NoTarget if !self.must_wait_for_cold(now, service) => Verdict::Defer(Deferral::Targets),
            _ if now.since(opening.arrived) < self.queue_limit_ms(now, &demand) => Verdict::Queue,
            Choice::NoTarget => Verdict::Refuse(Refusal::TargetsCold),
            Choice::WithinBudget(_) => Verdict::Refuse(Refusal::BudgetExhausted),
            Choice::WaitTooLong { wait_ms, limit_ms } => {
                Verdict::Refuse(Refusal::WaitTooLong { wait_ms, limit_ms })
            }
        }
    }

    fn demand(&self, now: Time, opening: &Opening) -> Demand {
        let Opening { service, class, copy, arrived, .. } = *opening;
        let sent = RETRANSMIT_AT_MS[(copy as usize).min(RETRANSMIT_AT_MS.len() - 1)];
        let passed_ms = sent + now.since(arrived);
        let left_ms = class.objective_ms.saturating_sub(passed_ms) as f32;
        let mean_ms = self.loads.mean_ms(service);
        Demand {
            objective_ms: class.objective_ms as f32,
            priority_rank: self.mix.priority_rank(service, class.priority),
            is_late: left_ms < mean_ms,
            is_lasting: self.habits.is_lasting(opening.address),
            mean_ms,
        }
    }

    fn choose(
        &mut self,
        now: Time,
        opening: &Opening,
        demand: &Demand,
        candidates: &mut Vec<Candidate>,
    ) -> Choice {
        let may_probe =
            opening.copy == 0 && self.mix.is_least_urgent(opening.service, opening.class.priority);
        if may_probe && let Some(target) = self.probe_target(now, opening.service) {
            return Choice::Target(target);
        }
        if may_probe && let Some(target) = self.trial_target(now, opening.service, opening.avoid) {
            return Choice::Target(target);
        }
        let mut choice = self.settings.placement.choose(demand, candidates, &mut self.random);
        if let Some(limits) = self.lifted_limits(choice, demand, candidates) {
            self.collect_candidates(now, opening.service, opening.avoid, limits, candidates);
            choice = self.settings.placement.choose(demand, candidates, &mut self.random);
        }
        match choice {
            Choice::WithinBudget(target) if self.is_granted(now, opening.service, demand, candidates) => {
                Choice::Target(target)
            }
            choice => choice,
        }
    }

    /// Limits to place a flow with that has no free slot within the limits of ramps; none if it
    /// need not be placed again. Those limits must not refuse what targets could serve.
    fn lifted_limits(&self, choice: Choice, demand: &Demand, candidates: &[Candidate]) -> Option<Limits> {
        let all_limited = self.are_all_limited(candidates);
        match choice {
            _ if self.ramping_targets() == 0 => None,
            Choice::Target(_) => None,
            _ if all_limited => Some(Limits::Lifted),
            Choice::WaitTooLong { .. } if !demand.is_late => Some(Limits::TrialsOnly),
            _ => None,
        }
    }

    fn place_on(&mut self, now: Time, opening: &Opening, index: usize, is_idle: bool) -> Verdict {
        let Some(target) = self.catalog.target(index) else {
            return Verdict::Defer(Deferral::Targets);
        };
        let destination = destination(index, target);
        self.record_cold(now, index);
        self.insert(
            opening.key,
            Flow {
                target: index,
                activity: Activity::Opening,
                started: now,
                requested: Some(now),
                spans_packets: false,
                last_active: now,
                acked: 0,
                answers: 0,
                is_sample: is_idle && opening.copy == 0,
                is_own: true,
                expires: now + HANDSHAKE_EXPIRY_MS,
            },
        );
        Verdict::Forward(destination)
    }

    /// Takes one flow out of the budget of its class for this round; returns whether it was
    /// granted.
    fn is_granted(&mut self, now: Time, service: usize, demand: &Demand, candidates: &[Candidate]) -> bool {
        if self.budgets.len() <= service {
            self.budgets.resize(service + 1, Default::default());
        }
        let instances = self.instances(now);
        let placement = &self.settings.placement;
        let slot = &mut self.budgets[service][budget::class_index(demand.priority_rank, demand.is_late)];
        let limit = |candidate: &Candidate| placement.max_running(demand, candidate);
        let budget = slot.get_or_insert_with(|| Budget::new(candidates, limit, instances));
        budget.take(&mut self.random)
    }

    /// Time for which an opening packet may be queued, in milliseconds. It is longer soon
    /// after a start: clients that retry after an outage exceed the capacity, but only for
    /// a short time.
    fn queue_limit_ms(&self, now: Time, demand: &Demand) -> u64 {
        match demand.is_late || self.has_just_started(now) {
            true => LATE_QUEUE_MS,
            false => (demand.objective_ms * QUEUE_TIME_SHARE) as u64,
        }
    }

    /// Whether this instance started less than two seconds ago, so that peers may be
    /// starting too.
    pub fn has_just_started(&self, now: Time) -> bool {
        self.started.is_none_or(|started| now.since(started) < STARTUP_MS)
    }

    /// Number of instances that place flows, as far as is known. Soon after a start it
    /// includes peers that have not reported yet.
    pub(super) fn instances(&self, now: Time) -> usize {
        let is_one_cell = self.peers.cell().count == 1;
        let known =
            if is_one_cell && self.has_just_started(now) { self.peers.known_peers().count() } else { 0 };
        let reporting = if is_one_cell { self.loads.peers() } else { self.peers.cell_peers() };
        known.max(reporting) + 1
    }

    /// Returns whether all targets of a service are in evacuated zones. The first flow that is
    /// refused for it leaves a notice.
    fn note_evacuated(&mut self, service: usize) -> bool {
        let is_evacuated = self.catalog.is_evacuated(service);
        if is_evacuated && !self.evacuated_services.contains(&service) {
            self.evacuated_services.push(service);
            let service = self.catalog.service(service).clone();
            self.notices.push(Notice::ServiceEvacuated { service, is_evacuated });
        }
        is_evacuated
    }

    /// Leaves a notice for each service whose flows are placed again.
    pub(super) fn update_evacuated(&mut self) {
        let catalog = &self.catalog;
        for service in self.evacuated_services.extract_if(.., |service| !catalog.is_evacuated(*service)) {
            let service = catalog.service(service).clone();
            self.notices.push(Notice::ServiceEvacuated { service, is_evacuated: false });
        }
    }

    /// Target of a service that is ejected and due for a probe by this instance.
    fn probe_target(&mut self, now: Time, service: usize) -> Option<usize> {
        let instances = self.peers.cell_peers() + 1;
        let found = self.cell_targets(service).iter().copied().find(|index| {
            self.outliers.ejects(*index, now)
                && self.outliers.may_probe(*index, instances, now)
                && self.catalog.target(*index).is_some_and(|target| {
                    target.record.state == State::Ready
                        && self.catalog.takes_new(target)
                        && self.admits_new_cold(now, *index, target)
                })
        })?;
        self.outliers.record_probe(found, now);
        Some(found)
    }

    /// Targets that new flows of a service are placed on: those of the cell, or all if the
    /// cell has none or they are not listed yet.
    pub(super) fn cell_targets(&self, service: usize) -> &[usize] {
        match self.cell_targets.get(service) {
            Some(cell_targets) if !cell_targets.is_empty() => cell_targets,
            _ => self.catalog.service_targets(service),
        }
    }

    fn collect_candidates(
        &self,
        now: Time,
        service: usize,
        avoid: Option<usize>,
        limits: Limits,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.clear();
        let unreported_flows = self.unreported_flows(service);
        for &index in self.cell_targets(service) {
            let Some(target) = self.catalog.target(index) else {
                continue;
            };
            let may_use = self.catalog.takes_new(target) && self.admits_new_cold(now, index, target);
            if !may_use || Some(index) == avoid {
                continue;
            }
            if let Some(slots) = self.ramp_slots(index, target.record.entry.slots as f32, limits) {
                candidates.push(Candidate { slots, ..self.candidate(now, index, target, unreported_flows) });
            }
        }
    }

    /// Estimate of the flows per target that unheard instances of the cell have placed. It
    /// assumes that soon after a start they place as many flows as this instance.
    fn unreported_flows(&self, service: usize) -> f32 {
        let cell_targets = self.cell_targets(service);
        let own: u32 = cell_targets.iter().map(|index| self.loads.own_running(*index)).sum();
        self.peers.unreported_cell_peers() as f32 * own as f32 / cell_targets.len().max(1) as f32
    }

    pub(super) fn candidate(
        &self,
        now: Time,
        index: usize,
        target: &Target,
        unreported_flows: f32,
    ) -> Candidate {
        let entry = &target.record.entry;
        let last_answer = self.last_answer.get(index).copied().unwrap_or_default();
        let is_unreachable =
            self.unreachable.iter().any(|(zone, since)| *zone == entry.zone && last_answer <= *since);
        Candidate {
            target: index,
            // Requests on open flows cannot go elsewhere, so one of them may always run.
            slots: self.ramp.limit(index, entry.slots as f32).max(1.0),
            running: self.loads.running(index) as f32 + unreported_flows,
            flows: self.loads.flows(index) as f32 + unreported_flows,
            slowness: self.loads.slowness(index, target.service),
            is_warming_up: self.is_warming_up(now, index, target),
            is_same_zone: entry.zone == self.settings.zone,
            is_ejected: is_unreachable || self.outliers.ejects(index, now),
        }
    }
}

/// Whether enough slots are free for durations to show service times rather than queueing.
/// Below this load, some flows that are missing from the count do not fill the rest.
fn is_lightly_loaded(candidates: &[Candidate]) -> bool {
    let slots: f32 = candidates.iter().map(|candidate| candidate.slots).sum();
    let open: f32 = candidates.iter().map(|candidate| candidate.running).sum();
    open < LIGHT_LOAD_SHARE * slots
}

/// Selects the service of a flow by the weights of its route.
fn pick_service(shares: &[(usize, u32)], key: FlowKey) -> usize {
    let total: u64 = shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return shares.first().map_or(0, |(service, _)| *service);
    }
    let mut draw = key.bits() % total;
    for (service, weight) in shares {
        let weight = u64::from(*weight);
        if draw < weight {
            return *service;
        }
        draw -= weight;
    }
    shares[0].0
}
