/*!
The packet path of one instance: it gets packets and returns verdicts.

A packet of an open flow needs one look-up by token and one by address, and
updates at most the record of its own flow. An opening packet is placed by
[`super::placement`]. No call blocks: if a decision needs state that is missing,
the verdict is [`Verdict::Defer`], and the caller tries again when state arrives.
*/

mod cold;
mod opening;
mod pace;
mod request;
mod sync;
mod verdict;

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::sync::{EvacuationChange, Observation, Reading};
pub use self::verdict::{Context, Deferral, Destination, DropReason, Notice, Placement, Refusal, Verdict};
use super::{
    Kind, Packet, Token,
    budget::{self, Budget},
    catalog::{Catalog, Target},
    cells::Cell,
    flows::{Activity, Flow, FlowKey, Flows, MoveDetector},
    gossip::Report,
    habit::Habits,
    load::Loads,
    mix::Mix,
    outlier::Outliers,
    pacing::Pacing,
    peers::Peers,
    placement::{self, Candidate},
    ramp::Ramp,
    stall::Stalls,
    warm_up::{self, WarmUp},
};
use crate::time::Time;

/// Time without a tick from which on the process counts as paused, in milliseconds: far
/// longer than scheduling delays, far shorter than a client's time-out.
pub const PAUSE_MS: u64 = 500;

/// Time without a tick from which on packets may wait here so long that clients repeat them, in
/// milliseconds.
const LAG_MS: u64 = 120;

/// Time for which packets may be late after such a tick, in milliseconds.
const LAG_RECOVERY_MS: u64 = 2_000;

/// Time for which requests count whose flow the network fabric may have moved, as a multiple
/// of the service's mean service time.
const MOVED_FLOW_EXPIRY_MEANS: f32 = 2.0;

/// Interval of the work that goes through all peers and targets, in milliseconds. Peers and
/// zones time out after several times as long.
const FLEET_TICK_INTERVAL_MS: u64 = 100;

/// Time without an update after which the next instance by rank reads the store in place
/// of the reader, in milliseconds: a call of the reader to the store, the answer and a
/// margin.
const TAKEOVER_DELAY_MS: u64 = 1_250;

/// Additional delay of each further rank, in milliseconds: a call to the store and the
/// update that results from it.
const TAKEOVER_STEP_MS: u64 = 150;

/// Time without an update after which any instance reads the store, in milliseconds: half
/// of the time within which a leaving target has to be known.
const MAX_SYNC_AGE_MS: u64 = 1_700;

/// Settings of the packet path.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub name: Arc<str>,
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Seed of random choices.
    pub seed: u64,
    /// Longest duration of a flow, in milliseconds.
    pub max_flow_lifetime_ms: u64,
    /// Whether open flows of idempotent requests are reset whose target is in a partitioned zone.
    /// Off: with repeated requests as the only sign, flows were reset whose target answers.
    pub resets_stalled: bool,
    /// What cold targets may get.
    pub warm_up: warm_up::Settings,
    /// Parameters of placement.
    pub placement: placement::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "instance".into(),
            zone: "zone".into(),
            seed: 1,
            max_flow_lifetime_ms: 60_000,
            resets_stalled: false,
            warm_up: warm_up::Settings::default(),
            placement: placement::Settings::default(),
        }
    }
}

/// Packet path of one instance.
#[derive(Debug)]
pub struct Forwarder {
    settings: Settings,
    catalog: Catalog,
    flows: Flows,
    loads: Loads,
    outliers: Outliers,
    peers: Peers,
    random: Pcg64Mcg,
    started: Option<Time>,
    last_tick: Option<Time>,
    last_fleet_tick: Time,
    /// End of a pause, until the state is confirmed.
    resumed: Option<Time>,
    /// Unreachable availability zones, with the time of their last message.
    unreachable: Vec<(Arc<str>, Time)>,
    stalls: Stalls,
    /// Last tick that was late.
    lagged_at: Time,
    candidates: Vec<Candidate>,
    /// Last answer of each target to a client of this instance.
    last_answer: Vec<Time>,
    notices: Vec<Notice>,
    is_leaving: bool,
    mix: Mix,
    pacing: Pacing,
    warm_up: WarmUp,
    ramp: Ramp,
    /// Whether each target was ejected when that was last checked.
    ejected: Vec<bool>,
    habits: Habits,
    move_detector: MoveDetector,
    /// Flows that the fabric has moved to this instance since the last report.
    moved: Vec<FlowKey>,
    /// Flows that ended here since the last report, and that peers may count.
    ended: Vec<FlowKey>,
    /// Share of the flows moved here whose next answer was seen here; zero until one was.
    followed_share: f32,
    /// Last report without its revision.
    last_report: Report,
    /// Budgets of this round, by service and class.
    budgets: Vec<[Option<Budget>; budget::CLASS_COUNT]>,
    /// Whether an update was missed.
    is_behind: bool,
    /// When the targets were last confirmed to be complete.
    synced_at: Time,
    /// Since when they are confirmed without a gap.
    synced_since: Time,
    /// When this instance learned of the store's current era.
    era_began: Time,
    /// Services whose flows are refused, as all their targets are in evacuated zones.
    evacuated_services: Vec<usize>,
    is_store_unreachable: bool,
    /// Targets of the cell, by service.
    cell_targets: Vec<Vec<usize>>,
    /// Position among the cells that use the same targets, and their number, by service.
    sharing_cells: Vec<(usize, usize)>,
    /// Cell and list version that they were computed for.
    cell_targets_for: Option<(Cell, u64)>,
}

impl Forwarder {
    /// Forwarder without any state.
    pub fn new(settings: Settings) -> Forwarder {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Forwarder {
            settings,
            catalog: Catalog::default(),
            flows: Flows::default(),
            loads: Loads::default(),
            outliers: Outliers::default(),
            peers: Peers::default(),
            random,
            started: None,
            last_tick: None,
            last_fleet_tick: Time(0),
            resumed: None,
            unreachable: Vec::new(),
            stalls: Stalls::default(),
            lagged_at: Time(0),
            candidates: Vec::new(),
            last_answer: Vec::new(),
            notices: Vec::new(),
            is_leaving: false,
            mix: Mix::default(),
            pacing: Pacing::default(),
            warm_up: WarmUp::default(),
            ramp: Ramp::default(),
            ejected: Vec::new(),
            habits: Habits::default(),
            move_detector: MoveDetector::default(),
            moved: Vec::new(),
            ended: Vec::new(),
            followed_share: 0.0,
            last_report: Report::default(),
            budgets: Vec::new(),
            is_behind: false,
            synced_at: Time(0),
            synced_since: Time(0),
            era_began: Time(0),
            evacuated_services: Vec::new(),
            is_store_unreachable: false,
            cell_targets: Vec::new(),
            sharing_cells: Vec::new(),
            cell_targets_for: None,
        }
    }

    /// Targets and routes.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Peers.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Peers, for changes.
    pub fn peers_mut(&mut self) -> &mut Peers {
        &mut self.peers
    }

    /// Load of the targets.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Number of flows with a record.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Events since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Marks this instance as shutting down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether this instance has the state to serve and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving && self.catalog.plan().version > 0 && self.catalog.revision().is_some()
    }

    /// Whether this instance is the store reader of its availability zone.
    pub fn is_reader(&self, now: Time) -> bool {
        !self.is_leaving && self.peers.is_reader(&self.settings.name, &self.settings.zone, now)
    }

    /// Time without an update after which this instance reads the store, in milliseconds:
    /// zero for the reader, and longer for higher ranks, so that the next one takes over
    /// and updates the others.
    pub fn takeover_delay_ms(&self, now: Time) -> u64 {
        if self.is_reader(now) {
            return 0;
        }
        let rank = self.peers.rank(&self.settings.name, &self.settings.zone, now) as u64;
        (TAKEOVER_DELAY_MS + rank.saturating_sub(1) * TAKEOVER_STEP_MS).min(MAX_SYNC_AGE_MS)
    }

    /// Decides on a packet that has just arrived.
    pub fn receive(&mut self, now: Time, packet: &Packet) -> Verdict {
        self.decide(now, packet, now)
    }

    /// Decides on a packet again that was deferred or queued since it arrived.
    pub fn decide(&mut self, now: Time, packet: &Packet, arrived: Time) -> Verdict {
        if self.last_tick.is_some_and(|last_tick| now.since(last_tick) >= PAUSE_MS) {
            self.tick(now);
        }
        match packet.kind {
            Kind::Open { copy } => self.open(now, packet, copy, arrived),
            _ => self.forward(now, packet, arrived),
        }
    }

    /// Decides on a packet of an open flow.
    fn forward(&mut self, now: Time, packet: &Packet, arrived: Time) -> Verdict {
        if packet.token == Token::NONE {
            return Verdict::Drop(DropReason::NoToken);
        }
        let Some(index) = self.catalog.find(packet.token) else {
            return Verdict::Defer(Deferral::Token);
        };
        let Some(route) = self.catalog.find_route(&packet.address) else {
            let none = self.catalog.plan().version == 0;
            return Verdict::Defer(if none { Deferral::Plan } else { Deferral::Route });
        };
        if !route.is_active {
            return Verdict::Drop(DropReason::RouteRemoved);
        }
        let Some(target) = self.catalog.target(index) else {
            return Verdict::Defer(Deferral::Token);
        };
        let service = target.service;
        if !route.shares.iter().any(|(known, _)| *known == service) {
            return Verdict::Drop(DropReason::WrongService);
        }
        let destination = destination(index, target);
        let class = route.class;
        if self.is_unanswered(now, packet, index, class) {
            self.remove_record(FlowKey::of(packet.client, packet.address));
            return Verdict::Reset;
        }
        if self.must_wait_for_warm_up(now, packet, index)
            || self.must_wait(now, packet, index, class, arrived)
        {
            let has_time = now.since(arrived) < class.timeout_ms;
            return if has_time { Verdict::Queue } else { Verdict::Drop(DropReason::RequestExpired) };
        }
        self.track_flow(now, packet, index, service);
        Verdict::Forward(destination)
    }

    /// Records that a target answered a client.
    fn note_answer(&mut self, target: usize, now: Time) {
        if self.outliers.ejects(target, now) {
            self.suspect_restart(target, now);
        }
        self.outliers.record_answer(target, now);
        self.update_ejected(target, now);
        if self.last_answer.len() <= target {
            self.last_answer.resize(target + 1, Time(0));
        }
        self.last_answer[target] = now;
    }

    /// Adds a flow, replacing a former one with the same key.
    fn insert(&mut self, key: FlowKey, flow: Flow) {
        self.loads.add(flow.target, flow.activity);
        if let Some(former) = self.flows.insert(key, flow) {
            self.loads.remove(former.target, former.activity);
        }
    }

    /// Runs periodic work; to be called at least some ten times a second.
    pub fn tick(&mut self, now: Time) {
        let gap_ms = self.last_tick.map_or(0, |last_tick| now.since(last_tick));
        self.last_tick = Some(now);
        self.started.get_or_insert(now);
        if gap_ms >= LAG_MS {
            self.lagged_at = now;
        }
        if gap_ms >= PAUSE_MS {
            self.resume(now, gap_ms);
        }
        if self.move_detector.tick(now) {
            self.flows.limit_expiry(now + self.moved_flow_expiry_ms());
        }
        for expired in self.flows.expire(now) {
            self.loads.remove(expired.target, expired.activity);
            match expired.activity {
                Activity::Opening => self.note_failure(expired.target, now),
                Activity::Running => self.loads.add(expired.target, Activity::Idle),
                Activity::Idle => self.note_lost(&expired),
            }
        }
        self.loads.expire(now);
        self.mix.tick(now);
        self.budgets.fill(Default::default());
        self.pacing.tick();
        let has_just_started = self.has_just_started(now);
        if has_just_started || now.since(self.last_fleet_tick) >= FLEET_TICK_INTERVAL_MS {
            self.last_fleet_tick = now;
            self.tick_fleet(now, has_just_started);
        }
        self.update_cell_targets();
    }

    /// Runs the periodic work that goes through all peers and targets.
    fn tick_fleet(&mut self, now: Time, has_just_started: bool) {
        self.peers.tick(&self.settings.name, has_just_started, now);
        self.peers.forget(now);
        self.update_zones(now);
        self.catalog.forget(now, self.settings.max_flow_lifetime_ms);
        self.end_overdue(now);
        self.settle_evacuations(now);
        self.update_evacuated();
        self.update_ramps(now);
    }

    /// Updates the lists of the cell's targets if the cell or the catalog has changed.
    fn update_cell_targets(&mut self) {
        let basis = (self.peers.cell(), self.catalog.list_version());
        if self.cell_targets_for == Some(basis) {
            return;
        }
        self.cell_targets_for = Some(basis);
        let cell = self.peers.cell();
        let services = 0..self.catalog.services();
        let sharing_cells = |service| cell.sharing(self.catalog.placeable_targets(service));
        self.sharing_cells = services.clone().map(sharing_cells).collect();
        self.cell_targets = services.map(|service| self.catalog.targets_in_cell(service, cell)).collect();
    }

    /// Time within which most flows end, in milliseconds.
    fn moved_flow_expiry_ms(&self) -> u64 {
        let means = (0..self.catalog.services()).map(|service| self.loads.mean_ms(service));
        (MOVED_FLOW_EXPIRY_MEANS * means.fold(0.0, f32::max)) as u64
    }

    /// Updates the unreachable zones. Failures of targets in a zone that is reachable again
    /// are cleared, as they may come from the partition.
    fn update_zones(&mut self, now: Time) {
        let unreachable = self.peers.unreachable_zones(&self.settings.zone, now);
        let has_recovered = |zone: &Arc<str>| {
            self.unreachable.iter().any(|(former, _)| former == zone)
                && !unreachable.iter().any(|(now, _)| now == zone)
        };
        for index in 0..self.catalog.size() {
            if self.catalog.target(index).is_some_and(|target| has_recovered(&target.record.entry.zone)) {
                self.outliers.reset(index);
            }
        }
        self.unreachable = unreachable;
    }

    /// Clears state that is outdated after a pause.
    fn resume(&mut self, now: Time, gap_ms: u64) {
        self.notices.push(Notice::Paused { gap_ms });
        self.flows.clear();
        self.loads.clear();
        self.pacing.clear();
        self.stalls.clear();
        self.peers.resume(now);
        self.resumed = Some(now);
    }

    /// Time since the end of a pause, in milliseconds; none once the state is confirmed.
    pub fn unconfirmed_pause_ms(&self, now: Time) -> Option<u64> {
        self.resumed.map(|resumed| now.since(resumed))
    }

    /// Marks the state as confirmed after a pause.
    pub fn confirm_after_pause(&mut self) {
        self.resumed = None;
    }
}

fn destination(index: usize, target: &Target) -> Destination {
    let entry = &target.record.entry;
    Destination { target: index, address: entry.address, number: entry.number, token: target.token }
}
