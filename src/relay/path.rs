/*!
The packet path of one instance: packets in, verdicts out.

A packet of an open flow takes one look-up by token and one by address, and
changes at most the count of its own flow. An opening packet is placed by
[`super::place`]. Nothing here waits: a packet that cannot be judged yet is
given back as [`Verdict::Wait`], and the caller asks again when more is known.
*/

use std::{fmt, net::SocketAddrV4, sync::Arc};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    Class, Kind, Packet, Plan, Token,
    budget::{self, Budget},
    catalog::{Catalog, Change, Row, State, Target},
    doubt::Doubts,
    flows::{Flow, Flows, Key, Shift},
    load::{self, Loads},
    mix::Mix,
    news::{Load, Report, Rows, Snapshot},
    peers::Peers,
    place::{self, Candidate, Choice, Demand},
};
use crate::time::Time;

/// Gap between ticks from which on this instance was paused, in milliseconds: far
/// above what scheduling delays a tick, far below what a client waits.
pub const PAUSE_MS: u64 = 500;

/// Time after an opening packet within which a copy of it goes to the same target,
/// in milliseconds. Clients send the first copy after 200.
const COPY_GAP_MS: u64 = 150;

/// Time for which a flow counts whose client has not gone on, in milliseconds. The
/// client's next copy comes within 400; without one the target has refused the flow.
const OPEN_BOUND_MS: u64 = 450;

/// Time for which a flow counts if its end is not seen, in milliseconds: longer than
/// any queue that a target keeps.
const FLOW_BOUND_MS: u64 = 2_000;

/// Time for which flows count that the fabric may have moved, as a multiple of their
/// service's mean.
const MOVED_MEANS: f32 = 4.0;

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

/// Settings of the path.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Seed of random choices.
    pub seed: u64,
    /// Longest life of a flow, in milliseconds.
    pub flow_life_ms: u64,
    /// Limits of placing.
    pub place: place::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "instance".into(),
            zone: "zone".into(),
            seed: 1,
            flow_life_ms: 60_000,
            place: place::Settings::default(),
        }
    }
}

/// Why a packet cannot be judged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// No plan is known.
    Plan,
    /// The plan has no such route.
    Route,
    /// No target has the token.
    Token,
    /// The route's services have no target.
    Targets,
    /// What was known before a pause is not used.
    Pause,
}

/// Why a flow is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The plan dropped the route.
    Dropped,
    /// This instance's part of the room in front of busy targets is used up.
    Spent,
    /// All targets are busy for longer than the class may wait.
    Full {
        /// Shortest wait, in milliseconds.
        wait_ms: f32,
        /// Longest wait that the class may have, in milliseconds.
        limit_ms: f32,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Dropped => f.write_str("the plan dropped the route"),
            Refusal::Spent => f.write_str("this instance's part of the room is used up"),
            Refusal::Full { wait_ms, limit_ms } => {
                write!(f, "shortest wait {wait_ms:.0} ms, longest allowed {limit_ms:.0} ms")
            }
        }
    }
}

/// Why a packet goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It names no target and opens no flow.
    NoToken,
    /// Its token names a target of a service that its route does not have.
    Foreign,
    /// It belongs to a route that the plan dropped.
    Dropped,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Way {
    /// Target's index.
    pub target: usize,
    /// Target's address.
    pub address: SocketAddrV4,
    /// Number in front of the packet.
    pub number: u64,
    /// Token that the packet carries on.
    pub token: Token,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it on.
    Forward(Way),
    /// Reset the flow, which has not opened.
    Refuse(Refusal),
    /// Drop it.
    Drop(Loss),
    /// Keep it until more is known, or drop it.
    Wait(Unknown),
    /// Keep it and ask again soon: no slot is free yet, and there is still time.
    Hold,
}

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

/// What happened that is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A copy of an opening packet came: the target did not answer.
    Unanswered {
        /// Target's name.
        target: Arc<str>,
        /// In a row, as this instance counts.
        strikes: u32,
        /// Client's end.
        client: SocketAddrV4,
    },
    /// The instance was paused.
    Paused {
        /// Length of the gap, in milliseconds.
        gap_ms: u64,
    },
    /// A target changed.
    Target {
        /// Target's name.
        target: Arc<str>,
        /// Its state.
        state: State,
        /// Revision of the store.
        revision: u64,
    },
}

/// Packet path of one instance.
#[derive(Debug)]
pub struct Path {
    settings: Settings,
    catalog: Catalog,
    flows: Flows,
    loads: Loads,
    doubts: Doubts,
    peers: Peers,
    random: Pcg64Mcg,
    started: Option<Time>,
    ticked: Option<Time>,
    resumed: Option<Time>,
    dark: Vec<(Arc<str>, Time)>,
    candidates: Vec<Candidate>,
    proven: Vec<Time>,
    notes: Vec<Note>,
    is_leaving: bool,
    mix: Mix,
    shift: Shift,
    budgets: Vec<[Option<Budget>; budget::CLASSES]>,
}

impl Path {
    /// Path that knows nothing yet.
    pub fn new(settings: Settings) -> Path {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Path {
            settings,
            catalog: Catalog::default(),
            flows: Flows::default(),
            loads: Loads::default(),
            doubts: Doubts::default(),
            peers: Peers::default(),
            random,
            started: None,
            ticked: None,
            resumed: None,
            dark: Vec::new(),
            candidates: Vec::new(),
            proven: Vec::new(),
            notes: Vec::new(),
            is_leaving: false,
            mix: Mix::default(),
            shift: Shift::default(),
            budgets: Vec::new(),
        }
    }

    /// Targets and routes.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Other instances.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Other instances, to change.
    pub fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Open flows of targets.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Number of own flows that count.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Notes since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Notes that this instance leaves.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Reports whether enough is known to serve.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving && self.catalog.plan().version > 0 && self.catalog.revision() > 0
    }

    /// Reports whether this instance reads the store for its availability zone.
    pub fn is_reader(&self, now: Time) -> bool {
        !self.is_leaving && self.peers.is_reader(&self.settings.name, &self.settings.zone, now)
    }

    /// Judges a packet that has just arrived.
    pub fn receive(&mut self, now: Time, packet: &Packet) -> Verdict {
        self.judge(now, packet, now)
    }

    /// Judges a packet that has waited or was held since it arrived.
    pub fn judge(&mut self, now: Time, packet: &Packet, arrived: Time) -> Verdict {
        if self.ticked.is_some_and(|ticked| now.since(ticked) >= PAUSE_MS) {
            self.tick(now);
        }
        match packet.kind {
            Kind::Open { copy } => self.open(now, packet, copy, arrived),
            _ => self.follow(now, packet),
        }
    }

    fn follow(&mut self, now: Time, packet: &Packet) -> Verdict {
        if packet.token == Token::NONE {
            return Verdict::Drop(Loss::NoToken);
        }
        let Some(index) = self.catalog.find(packet.token) else {
            return Verdict::Wait(Unknown::Token);
        };
        let Some(place) = self.catalog.route(&packet.address) else {
            let none = self.catalog.plan().version == 0;
            return Verdict::Wait(if none { Unknown::Plan } else { Unknown::Route });
        };
        if !place.present {
            return Verdict::Drop(Loss::Dropped);
        }
        let Some(target) = self.catalog.target(index) else {
            return Verdict::Wait(Unknown::Token);
        };
        let service = target.service;
        if !place.shares.iter().any(|(known, _)| *known == service) {
            return Verdict::Drop(Loss::Foreign);
        }
        let way = way(index, target);
        self.count(now, packet, index, service);
        Verdict::Forward(way)
    }

    /// Counts what a packet of an open flow says about its target.
    fn count(&mut self, now: Time, packet: &Packet, target: usize, service: usize) {
        let key = Key::of(packet.client, packet.address);
        match packet.kind {
            Kind::Open { .. } => {}
            Kind::Data { request } => {
                let expires = now + FLOW_BOUND_MS;
                match self.flows.get_mut(key) {
                    Some(flow) => {
                        let is_first = !flow.is_open;
                        flow.is_open = true;
                        if request {
                            flow.active = now;
                        }
                        if request || is_first {
                            flow.expires = expires;
                        }
                        if is_first {
                            self.answered(target, now);
                        }
                    }
                    None if request => self.start(
                        key,
                        Flow { target, opened: now, active: now, is_open: true, is_sample: false, expires },
                    ),
                    None => {}
                }
            }
            Kind::Close | Kind::Abort => {
                let flow = self.flows.remove(key);
                self.shift.note(flow.is_some());
                let Some(flow) = flow else {
                    return;
                };
                self.loads.end(flow.target);
                if flow.is_sample && flow.target == target && packet.kind == Kind::Close {
                    self.loads.sample(target, service, now.since(flow.opened), now);
                }
                self.answered(target, now);
            }
        }
    }

    fn answered(&mut self, target: usize, now: Time) {
        self.doubts.clear(target, now);
        if self.proven.len() <= target {
            self.proven.resize(target + 1, Time(0));
        }
        self.proven[target] = now;
    }

    fn start(&mut self, key: Key, flow: Flow) {
        self.loads.start(flow.target);
        if let Some(former) = self.flows.insert(key, flow) {
            self.loads.end(former.target);
        }
    }

    fn open(&mut self, now: Time, packet: &Packet, copy: u32, arrived: Time) -> Verdict {
        if self.catalog.plan().version == 0 {
            return Verdict::Wait(Unknown::Plan);
        }
        if self.resumed.is_some_and(|resumed| now.since(resumed) < DISTRUST_MS) {
            return Verdict::Wait(Unknown::Pause);
        }
        let Some(place) = self.catalog.route(&packet.address) else {
            return Verdict::Wait(Unknown::Route);
        };
        if !place.present {
            return Verdict::Refuse(Refusal::Dropped);
        }
        let class = place.class;
        let key = Key::of(packet.client, packet.address);
        let service = pick(&place.shares, key);
        let mut avoid = None;
        if let Some(flow) = self.flows.get(key).cloned() {
            if let Some(way) = self.repeat(now, &flow, service) {
                return Verdict::Forward(way);
            }
            self.flows.remove(key);
            self.loads.end(flow.target);
            if !flow.is_open {
                self.unanswered(now, packet, flow.target);
                avoid = Some(flow.target);
            }
        }
        self.place(now, &Opening { key, service, class, copy, avoid, arrived })
    }

    /// Where a further opening packet of a flow goes that is already placed: to the
    /// same target, if that has answered or has not had the time to.
    fn repeat(&self, now: Time, flow: &Flow, service: usize) -> Option<Way> {
        let target = self.catalog.target(flow.target)?;
        let takes_new = matches!(target.row.state, State::Ready | State::Missing);
        let holds = flow.is_open || now.since(flow.active) < COPY_GAP_MS;
        (holds && takes_new && target.service == service).then(|| way(flow.target, target))
    }

    fn unanswered(&mut self, now: Time, packet: &Packet, target: usize) {
        self.doubts.strike(target, now);
        if let Some(known) = self.catalog.target(target) {
            let name = known.row.entry.name.clone();
            let strikes = self.doubts.strikes(target);
            self.notes.push(Note::Unanswered { target: name, strikes, client: packet.client });
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
            && !self.is_young(now)
            && is_light(&candidates);
        self.candidates = candidates;
        match choice {
            Choice::Target(index) => self.send(now, opening, index, is_idle),
            Choice::Empty => Verdict::Wait(Unknown::Targets),
            _ if now.since(opening.arrived) < self.hold_ms(now, &demand) => Verdict::Hold,
            Choice::Busy(_) => Verdict::Refuse(Refusal::Spent),
            Choice::Full { wait_ms, limit_ms } => Verdict::Refuse(Refusal::Full { wait_ms, limit_ms }),
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
            return Verdict::Wait(Unknown::Targets);
        };
        let way = way(index, target);
        self.start(
            opening.key,
            Flow {
                target: index,
                opened: now,
                active: now,
                is_open: false,
                is_sample: is_idle && opening.copy == 0,
                expires: now + OPEN_BOUND_MS,
            },
        );
        Verdict::Forward(way)
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
        match demand.is_late || self.is_young(now) {
            true => HOLD_LATE_MS,
            false => (demand.objective_ms * HOLD_SHARE) as u64,
        }
    }

    /// Reports whether this instance has started a short time ago, so that peers may
    /// have started with it.
    pub fn is_young(&self, now: Time) -> bool {
        self.started.is_none_or(|started| now.since(started) < YOUNG_MS)
    }

    /// Instances that place flows, as far as is known. Soon after a start peers may be
    /// there that have not reported yet.
    fn instances(&self, now: Time) -> usize {
        let known = if self.is_young(now) { self.peers.rows().count() } else { 0 };
        known.max(self.loads.peers()) + 1
    }

    /// Target that is left alone and due for a trial. It must have shown a sign of
    /// life since it was tried last.
    fn trial(&mut self, now: Time, service: usize) -> Option<usize> {
        let found = self.catalog.members(service).iter().copied().find(|index| {
            self.doubts.is_out(*index, now)
                && self.doubts.may_try(*index, now)
                && self.catalog.target(*index).is_some_and(|target| {
                    target.row.state == State::Ready && now.since(target.beat_at) < super::doubt::TRIAL_MS
                })
        })?;
        self.doubts.note_trial(found, now);
        Some(found)
    }

    fn list(&self, now: Time, service: usize, avoid: Option<usize>, candidates: &mut Vec<Candidate>) {
        candidates.clear();
        for &index in self.catalog.members(service) {
            let Some(target) = self.catalog.target(index) else {
                continue;
            };
            if target.row.state == State::Leaving || Some(index) == avoid {
                continue;
            }
            candidates.push(self.candidate(now, index, target));
        }
    }

    fn candidate(&self, now: Time, index: usize, target: &Target) -> Candidate {
        let entry = &target.row.entry;
        let proven = self.proven.get(index).copied().unwrap_or_default();
        let is_cut_off = self.dark.iter().any(|(zone, since)| *zone == entry.zone && proven <= *since);
        Candidate {
            target: index,
            slots: entry.slots as f32,
            open: self.loads.all(index) as f32,
            slowness: self.loads.slowness(index, target.service),
            is_cold: now < target.warm_at,
            is_near: entry.zone == self.settings.zone,
            is_doubted: is_cut_off || self.doubts.is_out(index, now),
        }
    }

    /// Runs what is due; to be called some ten times a second or more.
    pub fn tick(&mut self, now: Time) {
        let gap_ms = self.ticked.map_or(0, |ticked| now.since(ticked));
        self.ticked = Some(now);
        self.started.get_or_insert(now);
        if gap_ms >= PAUSE_MS {
            self.resume(now, gap_ms);
        }
        if self.shift.tick(now) {
            self.flows.shorten(now + self.usual_flow_ms());
        }
        for expired in self.flows.expire(now) {
            self.loads.end(expired.flow.target);
            if !expired.flow.is_open {
                self.doubts.strike(expired.flow.target, now);
            }
        }
        self.loads.expire(now);
        self.mix.tick(now);
        self.budgets.fill(Default::default());
        self.peers.forget(now);
        self.look_at_zones(now);
        self.catalog.forget(now, self.settings.flow_life_ms);
    }

    /// Time after which a flow has usually ended, in milliseconds.
    fn usual_flow_ms(&self) -> u64 {
        let means = (0..self.catalog.services()).map(|service| self.loads.mean_ms(service));
        (MOVED_MEANS * means.fold(0.0, f32::max)) as u64
    }

    /// Notes which availability zones are cut off. What was held against targets of one
    /// that is back no longer counts.
    fn look_at_zones(&mut self, now: Time) {
        let dark = self.peers.dark_zones(&self.settings.zone, now);
        let back = |zone: &Arc<str>| {
            self.dark.iter().any(|(former, _)| former == zone) && !dark.iter().any(|(now, _)| now == zone)
        };
        for index in 0..self.catalog.size() {
            if self.catalog.target(index).is_some_and(|target| back(&target.row.entry.zone)) {
                self.doubts.reset(index);
            }
        }
        self.dark = dark;
    }

    fn resume(&mut self, now: Time, gap_ms: u64) {
        self.notes.push(Note::Paused { gap_ms });
        self.flows.clear();
        self.loads.clear();
        self.peers.resume(now);
        self.resumed = Some(now);
    }

    /// Time since the end of a pause, if nothing was confirmed since then, in
    /// milliseconds.
    pub fn paused_for(&self, now: Time) -> Option<u64> {
        self.resumed.map(|resumed| now.since(resumed))
    }

    /// Notes that what is known was confirmed after the last pause.
    pub fn confirm(&mut self) {
        self.resumed = None;
    }

    /// Takes a plan if it is later than the one in force.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        self.catalog.adopt(plan)
    }

    /// Takes a row; returns whether it was new.
    pub fn apply(&mut self, row: Row, now: Time) -> bool {
        let (name, state, revision) = (row.entry.name.clone(), row.state, row.revision);
        match self.catalog.apply(row, now) {
            Change::None => return false,
            Change::Beat(_) => return true,
            Change::State(_) => {}
            Change::Life(index) => {
                self.loads.reset(index);
                self.doubts.reset(index);
            }
        }
        // The first reading is told as a whole.
        if self.catalog.revision() > 0 {
            self.notes.push(Note::Target { target: name, state, revision });
        }
        true
    }

    /// Takes rows that a reader passed on; returns whether this instance is complete
    /// up to their revision.
    pub fn take_rows(&mut self, rows: Rows, now: Time) -> bool {
        let is_next = rows.after <= self.catalog.revision();
        for row in rows.rows {
            self.apply(row, now);
        }
        if is_next {
            self.catalog.advance(rows.revision);
        }
        is_next
    }

    /// All that is known here.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.catalog.revision(),
            plan: self.catalog.plan().clone(),
            rows: self.catalog.rows().cloned().collect(),
        }
    }

    /// Takes all that a peer knows.
    pub fn take_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        self.adopt(snapshot.plan);
        for row in snapshot.rows {
            self.apply(row, now);
        }
        self.catalog.advance(snapshot.revision);
    }

    /// Notes that the catalog is complete up to a revision.
    pub fn advance(&mut self, revision: u64) {
        self.catalog.advance(revision);
    }

    /// Takes a peer's report.
    pub fn hear(&mut self, sender: &str, report: &Report, now: Time) {
        let mut loads = Vec::with_capacity(report.loads.len());
        for load in &report.loads {
            let Some(target) = self.catalog.find(load.token) else {
                continue;
            };
            loads.push(load::Report { target, open: load.open });
            self.doubts.hear(target, load.strikes, now);
        }
        self.loads.report(Peers::key(sender), loads, now);
        if let Some(row) = self.peers.get_mut(sender) {
            row.revision = report.revision;
            row.plan_version = report.plan_version;
            row.is_leaving = report.is_leaving;
        }
    }

    /// Own state, for peers.
    pub fn report(&self) -> Report {
        let loads = (0..self.catalog.size())
            .filter_map(|index| {
                let target = self.catalog.target(index)?;
                let (open, strikes) = (self.loads.own(index), self.doubts.strikes(index));
                (open + strikes > 0).then_some(Load { token: target.token, open, strikes })
            })
            .collect();
        Report {
            revision: self.catalog.revision(),
            plan_version: self.catalog.plan().version,
            is_leaving: self.is_leaving,
            loads,
        }
    }
}

fn way(index: usize, target: &Target) -> Way {
    let entry = &target.row.entry;
    Way { target: index, address: entry.address, number: entry.number, token: target.token }
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
