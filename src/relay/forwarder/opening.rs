//! Opening packets: where they are placed, for how long they are held, and when they
//! are refused.

use super::{Deferral, Destination, Forwarder, Notice, Refusal, Verdict, destination};
use crate::{
    relay::{
        Class, Packet,
        budget::{self, Budget},
        catalog::{State, Target},
        flows::{Flow, Key},
        place::{Candidate, Choice, Demand},
    },
    time::Time,
};

/// Time after an opening packet within which a copy of it goes to the same target,
/// in milliseconds. Clients send the first copy after 200.
const COPY_GAP_MS: u64 = 150;

/// Time for which a flow counts whose client has not gone on, in milliseconds. The
/// client's next copy comes within 400; without one the target has refused the flow.
const OPEN_BOUND_MS: u64 = 450;

/// Time after a client's first packet at which each copy is sent, in milliseconds,
/// as clients of the platform do.
const COPY_SENT_MS: [u64; 3] = [0, 200, 600];

/// Part of the latency objective for which an opening packet is held before it is
/// refused: with two retries of the client, a quarter of the objective in all.
const HOLD_SHARE: f32 = 1.0 / 12.0;

/// Time for which an opening packet is held if its objective has passed, in
/// milliseconds: until the client's next copy takes its place.
const HOLD_LATE_MS: u64 = 400;

/// Share of a service's slots in use up to which its flows' times are measured.
const LIGHT_SHARE: f32 = 0.8;

/// Time after a start within which peers may start too, in milliseconds.
const YOUNG_MS: u64 = 2_000;

/// Time for which former knowledge is not used after a pause, in milliseconds;
/// after that nobody can be reached who knows more.
const DISTRUST_MS: u64 = 300;

/// Opening packet that is to be placed.
#[derive(Clone, Copy, Debug)]
struct Opening {
    key: Key,
    service: usize,
    class: Class,
    /// Earlier copies that the client has sent.
    copy: u32,
    /// Target that did not answer an earlier copy.
    avoid: Option<usize>,
    /// When it came here.
    arrived: Time,
}

impl Forwarder {
    pub(super) fn open(&mut self, now: Time, packet: &Packet, copy: u32, arrived: Time) -> Verdict {
        if self.catalog.plan().version == 0 {
            return Verdict::Defer(Deferral::Plan);
        }
        if self.resumed.is_some_and(|resumed| now.since(resumed) < DISTRUST_MS) {
            return Verdict::Defer(Deferral::Pause);
        }
        let Some(place) = self.catalog.route(&packet.address) else {
            return Verdict::Defer(Deferral::Route);
        };
        if !place.present {
            return Verdict::Refuse(Refusal::RouteRemoved);
        }
        let class = place.class;
        let key = Key::of(packet.client, packet.address);
        let service = pick(&place.shares, key);
        let mut avoid = None;
        if let Some(flow) = self.flows.get(key).cloned() {
            if let Some(destination) = self.repeat(now, &flow, service) {
                return Verdict::Forward(destination);
            }
            self.flows.remove(key);
            if flow.counts {
                self.loads.end(flow.target);
            }
            if !flow.is_open {
                self.unanswered(now, packet, flow.target);
                avoid = Some(flow.target);
            }
        }
        self.place(now, &Opening { key, service, class, copy, avoid, arrived })
    }

    /// Where a further opening packet of a flow goes that is already placed: to the
    /// same target, if that has answered or has not had the time to.
    fn repeat(&self, now: Time, flow: &Flow, service: usize) -> Option<Destination> {
        let target = self.catalog.target(flow.target)?;
        let takes_new = matches!(target.record.state, State::Ready | State::Missing);
        let holds = flow.is_open || now.since(flow.active) < COPY_GAP_MS;
        (holds && takes_new && target.service == service).then(|| destination(flow.target, target))
    }

    fn unanswered(&mut self, now: Time, packet: &Packet, target: usize) {
        self.outliers.strike(target, now);
        if let Some(known) = self.catalog.target(target) {
            let name = known.record.entry.name.clone();
            let strikes = self.outliers.strikes(target);
            self.notices.push(Notice::Unanswered { target: name, failures: strikes, client: packet.client });
        }
    }

    fn place(&mut self, now: Time, opening: &Opening) -> Verdict {
        let Opening { service, class, .. } = *opening;
        if now == opening.arrived {
            self.mix.note(service, class.priority);
        }
        let demand = self.demand(now, opening);
        let mut candidates = std::mem::take(&mut self.candidates);
        self.list(now, service, opening.avoid, &mut candidates);
        let choice = self.choose(now, opening, &demand, &candidates);
        let found = candidates.iter().find(|candidate| choice == Choice::Target(candidate.target));
        let is_idle = found.is_some_and(|candidate| candidate.open < candidate.slots)
            && !self.has_just_started(now)
            && is_light(&candidates);
        self.candidates = candidates;
        match choice {
            Choice::Target(index) => self.send(now, opening, index, is_idle),
            Choice::Empty => Verdict::Defer(Deferral::Targets),
            _ if now.since(opening.arrived) < self.hold_ms(now, &demand) => Verdict::Queue,
            Choice::Busy(_) => Verdict::Refuse(Refusal::BudgetExhausted),
            Choice::WaitTooLong { wait_ms, limit_ms } => {
                Verdict::Refuse(Refusal::WaitTooLong { wait_ms, limit_ms })
            }
        }
    }

    fn demand(&self, now: Time, opening: &Opening) -> Demand {
        let Opening { service, class, copy, arrived, .. } = *opening;
        let sent = COPY_SENT_MS[(copy as usize).min(COPY_SENT_MS.len() - 1)];
        let passed_ms = sent + now.since(arrived);
        let left_ms = class.objective_ms.saturating_sub(passed_ms) as f32;
        let mean_ms = self.loads.mean_ms(service);
        Demand {
            objective_ms: class.objective_ms as f32,
            standing: self.mix.standing(service, class.priority),
            is_late: left_ms < mean_ms,
            mean_ms,
        }
    }

    fn choose(&mut self, now: Time, opening: &Opening, demand: &Demand, candidates: &[Candidate]) -> Choice {
        let may_try = opening.copy == 0 && self.mix.is_least(opening.service, opening.class.priority);
        if may_try && let Some(target) = self.trial(now, opening.service) {
            return Choice::Target(target);
        }
        match self.settings.place.choose(demand, candidates, &mut self.random) {
            Choice::Busy(target) if self.is_granted(now, opening.service, demand, candidates) => {
                Choice::Target(target)
            }
            choice => choice,
        }
    }

    fn send(&mut self, now: Time, opening: &Opening, index: usize, is_idle: bool) -> Verdict {
        let Some(target) = self.catalog.target(index) else {
            return Verdict::Defer(Deferral::Targets);
        };
        let destination = destination(index, target);
        self.start(
            opening.key,
            Flow {
                target: index,
                opened: now,
                active: now,
                is_open: false,
                counts: true,
                is_sample: is_idle && opening.copy == 0,
                expires: now + OPEN_BOUND_MS,
            },
        );
        Verdict::Forward(destination)
    }

    /// Takes one flow out of the budget of its class for this round.
    fn is_granted(&mut self, now: Time, service: usize, demand: &Demand, candidates: &[Candidate]) -> bool {
        if self.budgets.len() <= service {
            self.budgets.resize(service + 1, Default::default());
        }
        let instances = self.instances(now);
        let place = &self.settings.place;
        let slot = &mut self.budgets[service][budget::index(demand.standing, demand.is_late)];
        let limit = |candidate: &Candidate| place.most_open(demand, candidate);
        let budget = slot.get_or_insert_with(|| Budget::new(candidates, limit, instances));
        budget.take(&mut self.random)
    }

    /// Time for which an opening packet may be held, in milliseconds. Clients that come
    /// back after an outage are more than the targets can serve at once, but not for
    /// long.
    fn hold_ms(&self, now: Time, demand: &Demand) -> u64 {
        match demand.is_late || self.has_just_started(now) {
            true => HOLD_LATE_MS,
            false => (demand.objective_ms * HOLD_SHARE) as u64,
        }
    }

    /// Reports whether this instance has started a short time ago, so that peers may
    /// have started with it.
    pub fn has_just_started(&self, now: Time) -> bool {
        self.started.is_none_or(|started| now.since(started) < YOUNG_MS)
    }

    /// Instances that place flows, as far as is known. Soon after a start peers may be
    /// there that have not reported yet.
    fn instances(&self, now: Time) -> usize {
        let is_one_cell = self.peers.cell().count == 1;
        let known = if is_one_cell && self.has_just_started(now) { self.peers.rows().count() } else { 0 };
        let reporting = if is_one_cell { self.loads.peers() } else { self.peers.cell_peers() };
        known.max(reporting) + 1
    }

    /// Target that is left alone and due for a trial.
    fn trial(&mut self, now: Time, service: usize) -> Option<usize> {
        let instances = self.peers.cell_peers() + 1;
        let found = self.homes(service).iter().copied().find(|index| {
            self.outliers.ejects(*index, now)
                && self.outliers.may_try(*index, instances, now)
                && self.catalog.target(*index).is_some_and(|target| target.record.state == State::Ready)
        })?;
        self.outliers.note_trial(found, now);
        Some(found)
    }

    /// Targets that flows of a service are placed on: the cell's part, or all if that is
    /// empty or not known yet.
    fn homes(&self, service: usize) -> &[usize] {
        match self.homes.get(service) {
            Some(homes) if !homes.is_empty() => homes,
            _ => self.catalog.members(service),
        }
    }

    fn list(&self, now: Time, service: usize, avoid: Option<usize>, candidates: &mut Vec<Candidate>) {
        candidates.clear();
        let unseen = self.unseen(service);
        for &index in self.homes(service) {
            let Some(target) = self.catalog.target(index) else {
                continue;
            };
            if target.record.state == State::Leaving || Some(index) == avoid {
                continue;
            }
            candidates.push(self.candidate(now, index, target, unseen));
        }
    }

    /// Flows that instances of the cell are likely to have at each target of a service
    /// without having told yet. Soon after a start they do as this one does.
    fn unseen(&self, service: usize) -> f32 {
        let homes = self.homes(service);
        let own: u32 = homes.iter().map(|index| self.loads.own(*index)).sum();
        self.peers.unreported_cell_peers() as f32 * own as f32 / homes.len().max(1) as f32
    }

    fn candidate(&self, now: Time, index: usize, target: &Target, unseen: f32) -> Candidate {
        let entry = &target.record.entry;
        let proven = self.proven.get(index).copied().unwrap_or_default();
        let is_cut_off = self.dark.iter().any(|(zone, since)| *zone == entry.zone && proven <= *since);
        Candidate {
            target: index,
            slots: entry.slots as f32,
            open: self.loads.all(index) as f32 + unseen,
            slowness: self.loads.slowness(index, target.service),
            is_cold: now < target.warm_at,
            is_near: entry.zone == self.settings.zone,
            is_ejected: is_cut_off || self.outliers.ejects(index, now),
        }
    }
}

/// Reports whether a flow's time shows its target rather than queues: with most slots
/// free, a few flows that are not counted do not fill the rest.
fn is_light(candidates: &[Candidate]) -> bool {
    let slots: f32 = candidates.iter().map(|candidate| candidate.slots).sum();
    let open: f32 = candidates.iter().map(|candidate| candidate.open).sum();
    open < LIGHT_SHARE * slots
}

/// Service of a flow, by the weights of its route.
fn pick(shares: &[(usize, u32)], key: Key) -> usize {
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
