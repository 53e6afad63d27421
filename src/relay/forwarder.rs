/*!
The packet path of one instance: packets in, verdicts out.

A packet of an open flow takes one look-up by token and one by address, and
changes at most the count of its own flow. An opening packet is placed by
[`super::place`]. Nothing here waits: a packet that cannot be judged yet is
given back as [`Verdict::Defer`], and the caller asks again when more is known.
*/

mod knowledge;
mod opening;
mod verdict;

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::verdict::{Context, Deferral, Destination, DropReason, Notice, Placement, Refusal, Verdict};
use super::{
    Kind, Packet, Token,
    budget::{self, Budget},
    catalog::{Catalog, Target},
    cells::Cell,
    flows::{Flow, Flows, Key, Shift},
    load::Loads,
    mix::Mix,
    outlier::Outliers,
    peers::Peers,
    place::{self, Candidate},
};
use crate::time::Time;

/// Gap between ticks from which on this instance was paused, in milliseconds: far
/// above what scheduling delays a tick, far below what a client waits.
pub const PAUSE_MS: u64 = 500;

/// Time for which a flow counts if its end is not seen, in milliseconds: longer than
/// any queue that a target keeps.
const FLOW_BOUND_MS: u64 = 2_000;

/// Time for which flows count that the fabric may have moved, as a multiple of their
/// service's mean.
const MOVED_MEANS: f32 = 2.0;

/// Time without news of the store after which the instance next to its reader takes
/// over, in milliseconds: a call of the reader, its answer and a margin.
const TAKE_OVER_MS: u64 = 1_250;

/// Time by which each later instance waits longer, in milliseconds: a call and the
/// news that follow from it.
const TAKE_OVER_STEP_MS: u64 = 150;

/// Time without news of the store after which any instance reads for itself, in
/// milliseconds: half of the time in which a target's leave has to be known.
const STALE_MS: u64 = 1_700;

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
    pub max_flow_lifetime_ms: u64,
    /// Limits of placing.
    pub place: place::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "instance".into(),
            zone: "zone".into(),
            seed: 1,
            max_flow_lifetime_ms: 60_000,
            place: place::Settings::default(),
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
    ticked: Option<Time>,
    resumed: Option<Time>,
    dark: Vec<(Arc<str>, Time)>,
    candidates: Vec<Candidate>,
    proven: Vec<Time>,
    notices: Vec<Notice>,
    is_leaving: bool,
    mix: Mix,
    shift: Shift,
    budgets: Vec<[Option<Budget>; budget::CLASSES]>,
    is_behind: bool,
    synced_at: Time,
    is_cut_off: bool,
    /// Targets that the cell uses, by service.
    homes: Vec<Vec<usize>>,
    /// Cell and state of the catalog that they were listed for.
    homes_for: Option<(Cell, u64)>,
}

impl Forwarder {
    /// Path that knows nothing yet.
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
            ticked: None,
            resumed: None,
            dark: Vec::new(),
            candidates: Vec::new(),
            proven: Vec::new(),
            notices: Vec::new(),
            is_leaving: false,
            mix: Mix::default(),
            shift: Shift::default(),
            budgets: Vec::new(),
            is_behind: false,
            synced_at: Time(0),
            is_cut_off: false,
            homes: Vec::new(),
            homes_for: None,
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
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
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

    /// Time without news of the store after which this instance reads it, in
    /// milliseconds. The next one by rank takes over first, and tells the others.
    pub fn takeover_delay_ms(&self, now: Time) -> u64 {
        if self.is_reader(now) {
            return 0;
        }
        let rank = self.peers.rank(&self.settings.name, &self.settings.zone, now) as u64;
        (TAKE_OVER_MS + rank.saturating_sub(1) * TAKE_OVER_STEP_MS).min(STALE_MS)
    }

    /// Judges a packet that has just arrived.
    pub fn receive(&mut self, now: Time, packet: &Packet) -> Verdict {
        self.decide(now, packet, now)
    }

    /// Judges a packet that has waited or was held since it arrived.
    pub fn decide(&mut self, now: Time, packet: &Packet, arrived: Time) -> Verdict {
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
            return Verdict::Drop(DropReason::NoToken);
        }
        let Some(index) = self.catalog.find(packet.token) else {
            return Verdict::Defer(Deferral::Token);
        };
        let Some(place) = self.catalog.route(&packet.address) else {
            let none = self.catalog.plan().version == 0;
            return Verdict::Defer(if none { Deferral::Plan } else { Deferral::Route });
        };
        if !place.present {
            return Verdict::Drop(DropReason::RouteRemoved);
        }
        let Some(target) = self.catalog.target(index) else {
            return Verdict::Defer(Deferral::Token);
        };
        let service = target.service;
        if !place.shares.iter().any(|(known, _)| *known == service) {
            return Verdict::Drop(DropReason::Foreign);
        }
        let destination = destination(index, target);
        self.count(now, packet, index, service);
        Verdict::Forward(destination)
    }

    /// Counts what a packet of an open flow says about its target.
    fn count(&mut self, now: Time, packet: &Packet, target: usize, service: usize) {
        let key = Key::of(packet.client, packet.address);
        match packet.kind {
            Kind::Open { .. } => {}
            Kind::Data { request } => {
                // A flow that was placed elsewhere counts there; its end may not come here.
                let Some(flow) = self.flows.get_mut(key) else {
                    return;
                };
                let is_first = !flow.is_open;
                flow.is_open = true;
                if request {
                    flow.active = now;
                }
                if request && !flow.counts {
                    flow.counts = true;
                    self.loads.start(flow.target);
                }
                if request || is_first {
                    flow.expires = now + FLOW_BOUND_MS;
                }
                if is_first {
                    self.answered(target, now);
                }
            }
            Kind::Close | Kind::Abort => {
                let flow = self.flows.remove(key);
                self.shift.note(flow.is_some());
                let Some(flow) = flow else {
                    return;
                };
                if flow.counts {
                    self.loads.end(flow.target);
                }
                if flow.is_sample && flow.target == target && packet.kind == Kind::Close {
                    self.loads.sample(target, service, now.since(flow.opened), now);
                }
                self.answered(target, now);
            }
        }
    }

    fn answered(&mut self, target: usize, now: Time) {
        self.outliers.clear(target, now);
        if self.proven.len() <= target {
            self.proven.resize(target + 1, Time(0));
        }
        self.proven[target] = now;
    }

    fn start(&mut self, key: Key, flow: Flow) {
        self.loads.start(flow.target);
        if let Some(former) = self.flows.insert(key, flow).filter(|former| former.counts) {
            self.loads.end(former.target);
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
        for expired in self.flows.expire(now, self.settings.max_flow_lifetime_ms) {
            self.loads.end(expired.flow.target);
            if !expired.flow.is_open {
                self.outliers.strike(expired.flow.target, now);
            }
        }
        let has_just_started = self.has_just_started(now);
        self.peers.tick(&self.settings.name, has_just_started, now);
        self.choose_homes();
        self.loads.expire(now);
        self.mix.tick(now);
        self.budgets.fill(Default::default());
        self.peers.forget(now);
        self.look_at_zones(now);
        self.catalog.forget(now, self.settings.max_flow_lifetime_ms);
    }

    /// Lists the targets that this instance's cell uses, if they may have changed.
    fn choose_homes(&mut self) {
        let cause = (self.peers.cell(), self.catalog.listings());
        if self.homes_for == Some(cause) {
            return;
        }
        self.homes_for = Some(cause);
        let cell = self.peers.cell();
        let services = 0..self.catalog.services();
        self.homes = services.map(|service| self.catalog.part(service, cell)).collect();
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
            if self.catalog.target(index).is_some_and(|target| back(&target.record.entry.zone)) {
                self.outliers.reset(index);
            }
        }
        self.dark = dark;
    }

    fn resume(&mut self, now: Time, gap_ms: u64) {
        self.notices.push(Notice::Paused { gap_ms });
        self.flows.clear();
        self.loads.clear();
        self.peers.resume(now);
        self.resumed = Some(now);
    }

    /// Time since the end of a pause, if nothing was confirmed since then, in
    /// milliseconds.
    pub fn unconfirmed_pause_ms(&self, now: Time) -> Option<u64> {
        self.resumed.map(|resumed| now.since(resumed))
    }

    /// Notes that what is known was confirmed after the last pause.
    pub fn confirm_after_pause(&mut self) {
        self.resumed = None;
    }
}

fn destination(index: usize, target: &Target) -> Destination {
    let entry = &target.record.entry;
    Destination { target: index, address: entry.address, number: entry.number, token: target.token }
}
