//! Discrete-event simulation around packet forwarders: clients that retry, a fabric that hashes
//! flows to instances, and targets with slots and queues. Times are in milliseconds.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, ServicePlan, Token, WeightedService,
        catalog::{Record, State},
        forwarder::{Forwarder, Settings, Verdict},
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Latency between a client and an instance or target.
const CLIENT_LATENCY_MS: u64 = 3;

/// Latency between instances and targets, and between instances.
const INTERNAL_LATENCY_MS: u64 = 1;

/// Requests that a target queues when its slots are busy.
const TARGET_QUEUE: usize = 12;

/// Retries of a client after the first attempt.
const RETRIES: u32 = 2;

/// Interval of an instance's reports.
const REPORT_INTERVAL_MS: u64 = 20;

/// Interval of reports to all instances registered in the store.
const STORE_INTERVAL_MS: u64 = 500;

/// Interval of an instance's ticks.
const TICK_INTERVAL_MS: u64 = 10;

/// Time after which a client gives up an attempt.
const ATTEMPT_TIMEOUT_MS: u64 = 1_400;

/// Requests of one route.
#[derive(Clone, Debug)]
pub struct Load {
    /// Port of its route.
    pub port: u16,
    /// Class in the plan.
    pub class: Class,
    /// Mean service time.
    pub work_ms: f64,
    /// Requests per second.
    pub per_s: f64,
    /// Credit for a request within its objective, and for a later one.
    pub value: (f64, f64),
    /// Clients that keep a flow for many requests; none if each request opens a flow.
    pub lasting: Option<Lasting>,
}

/// Clients that keep a flow and pause between its requests.
#[derive(Clone, Copy, Debug)]
pub struct Lasting {
    /// Number of clients.
    pub clients: usize,
    /// Mean pause between an answer and the next request.
    pub pause_ms: f64,
    /// Time within which all clients open their flows.
    pub open_within_ms: u64,
}

/// Results of the requests of one load.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub started: u64,
    pub on_time: u64,
    pub late: u64,
    pub failed: u64,
    /// Longest time from a request's start to its last refusal.
    pub refused_after_ms: u64,
}

impl Tally {
    /// Share of the possible credit that was earned.
    pub fn credit(&self, load: &Load) -> f64 {
        let earned = self.on_time as f64 * load.value.0 + self.late as f64 * load.value.1;
        earned / (self.started as f64 * load.value.0)
    }
}

#[derive(Clone, Debug)]
struct Request {
    load: usize,
    sent: u64,
    /// Whether it counts in the tallies.
    counted: bool,
    tries: u32,
    client: SocketAddrV4,
    answered: bool,
    opened: bool,
    target: usize,
    work_ms: f64,
    token: Token,
    /// Sequence number up to which the client has received the target's bytes.
    acked: u32,
    /// Whether it is forwarded to its target, and the client's reaction to the answer has not
    /// reached an instance yet.
    is_committed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Next { request: usize },
    Ack { request: usize, port: u16 },
    Open { request: usize, port: u16, copy: u32 },
    Accepted { request: usize, port: u16, target: usize, token: u32 },
    Refused { request: usize, port: u16 },
    Broken { request: usize, port: u16 },
    GiveUp { request: usize, port: u16 },
    Data { request: usize, port: u16 },
    Work { request: usize, port: u16, target: usize },
    Done { request: usize, port: u16, target: usize },
    Answered { request: usize, port: u16, shed: bool },
    Close { request: usize, port: u16 },
    Tick(usize),
    Report(usize),
}

#[derive(Clone, Debug, Default)]
struct SimTarget {
    /// Until when its work takes `slowness` times as long.
    slow_until: u64,
    slowness: f64,
    /// Share of its requests that end in an error, after their work.
    failing_share: f64,
    /// Whether it neither accepts flows nor answers requests.
    is_down: bool,
    running: usize,
    queue: VecDeque<(usize, u16)>,
}

/// Opening packet that waits for a free slot.
struct QueuedPacket {
    packet: Packet,
    arrived: u64,
    request: usize,
}

/// Simulated clients, fabric, instances and targets.
pub struct Simulation {
    pub now: u64,
    pub forwarders: Vec<Forwarder>,
    /// Instances that neither receive nor send.
    pub frozen: Vec<bool>,
    /// Instances that the fabric sends packets to.
    pub rotation: Vec<usize>,
    /// Whether all reports are lost.
    pub drop_reports: bool,
    /// Targets that do not answer.
    pub dead: Vec<bool>,
    /// Number of flows placed on each target.
    pub placed: Vec<u64>,
    /// Number of flows that were refused.
    pub refusals: u64,
    /// Whether each packet goes to another instance, whatever its flow.
    pub is_sprayed: bool,
    /// Latest store revision.
    revision: u64,
    loads: Vec<Load>,
    tallies: Vec<Tally>,
    slots: usize,
    sim_targets: Vec<SimTarget>,
    requests: Vec<Request>,
    queued: Vec<Vec<QueuedPacket>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    next_port: u16,
    counting: bool,
    random: Pcg64Mcg,
}

pub fn entry(index: usize, slots: u32) -> Entry {
    Entry {
        name: format!("i-{index:08x}").into(),
        number: index as u64 + 1,
        born_ms: 1,
        service: "matching".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: ["pa", "ct", "me"][index % 3].into(),
        slots,
        leaving: false,
        warm_up_ms: 0,
        heartbeat: 1,
    }
}

pub fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

impl Simulation {
    /// Creates instances in front of the targets of one service.
    pub fn new(seed: u64, instances: usize, targets: usize, slots: u32, loads: Vec<Load>) -> Simulation {
        let plan = plan(&loads);
        let forwarders = (0..instances).map(|index| forwarder(index, seed, &plan, targets, slots)).collect();
        let mut sim = Simulation {
            now: 0,
            forwarders,
            frozen: vec![false; instances],
            rotation: (0..instances).collect(),
            drop_reports: false,
            dead: vec![false; targets],
            placed: vec![0; targets],
            refusals: 0,
            is_sprayed: false,
            revision: 1,
            tallies: vec![Tally::default(); loads.len()],
            loads,
            slots: slots as usize,
            sim_targets: vec![SimTarget::default(); targets],
            requests: Vec::new(),
            queued: (0..instances).map(|_| Vec::new()).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            next_port: 1_024,
            counting: true,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..instances {
            sim.after(1 + index as u64, Event::Tick(index));
            sim.after(2 + 2 * index as u64, Event::Report(index));
        }
        for load in 0..sim.loads.len() {
            let Some(lasting) = sim.loads[load].lasting else {
                sim.after(1, Event::Start(load));
                continue;
            };
            for client in 0..lasting.clients as u64 {
                sim.after(1 + client * lasting.open_within_ms / lasting.clients as u64, Event::Start(load));
            }
        }
        sim
    }

    /// Sets the mean pause between requests of the lasting flows of a load.
    pub fn set_pause(&mut self, load: usize, pause_ms: f64) {
        if let Some(lasting) = &mut self.loads[load].lasting {
            lasting.pause_ms = pause_ms;
        }
    }

    /// Requests that are forwarded to their target and not answered, including packets and
    /// answers on their way.
    pub fn committed(&self) -> usize {
        self.requests.iter().filter(|request| request.is_committed).count()
    }

    /// Open flows of each target that still have a client.
    pub fn lasting_flows(&self) -> Vec<usize> {
        let mut flows = vec![0; self.sim_targets.len()];
        let mut seen = std::collections::HashSet::new();
        for request in self.requests.iter().rev().filter(|request| self.loads[request.load].lasting.is_some())
        {
            if request.opened && seen.insert(request.client) {
                flows[request.target] += 1;
            }
        }
        flows
    }

    /// Sets the rate of a load, in requests per second.
    pub fn set_rate(&mut self, load: usize, per_s: f64) {
        self.loads[load].per_s = per_s;
    }

    /// Clears the tallies; they count requests that start from now on.
    pub fn reset_tallies(&mut self) {
        self.tallies.fill(Tally::default());
        for request in &mut self.requests {
            request.counted = false;
        }
        self.counting = true;
    }

    /// Runs until all counted requests have ended; requests that start meanwhile do not count.
    pub fn finish(&mut self) {
        self.counting = false;
        self.run_to(self.now + 3 * ATTEMPT_TIMEOUT_MS);
    }

    /// Results of a load.
    pub fn tally(&self, load: usize) -> &Tally {
        &self.tallies[load]
    }

    /// Share of the possible credit of all loads that was earned.
    pub fn credit(&self) -> f64 {
        let value = |load: &Load, tally: &Tally| tally.started as f64 * load.value.0;
        let pairs = || self.loads.iter().zip(&self.tallies);
        let total: f64 = pairs().map(|(load, tally)| value(load, tally)).sum();
        pairs().map(|(load, tally)| tally.credit(load) * value(load, tally)).sum::<f64>() / total
    }

    /// Largest share of the credit that the slots can earn in a time with the requests that
    /// started, if those with the most credit per service time come first.
    pub fn optimal_credit(&self, time_ms: u64) -> f64 {
        let density = |load: &Load| load.value.0 / load.work_ms;
        let mut pairs: Vec<_> = self.loads.iter().zip(&self.tallies).collect();
        pairs.sort_by(|(a, _), (b, _)| density(b).total_cmp(&density(a)));
        let mut left_ms = (self.sim_targets.len() * self.slots) as f64 * time_ms as f64;
        let (mut earned, mut total) = (0.0, 0.0);
        for (load, tally) in pairs {
            let needed_ms = tally.started as f64 * load.work_ms;
            let share = (left_ms / needed_ms).clamp(0.0, 1.0);
            left_ms -= share * needed_ms;
            earned += share * tally.started as f64 * load.value.0;
            total += tally.started as f64 * load.value.0;
        }
        earned / total
    }

    /// Adopts a plan with a warm-up time on all instances, which enables ramps.
    pub fn set_warm_up(&mut self, warm_up_ms: u64) {
        let service = ServicePlan { name: "matching".into(), warm_up_ms, warm_up_per_s: 0.0 };
        let plan = Plan { version: 2, services: vec![service], ..plan(&self.loads) };
        for forwarder in &mut self.forwarders {
            forwarder.adopt(plan.clone());
        }
    }

    /// Starts a new incarnation of a target, whose work takes `slowness` times as long for a
    /// time.
    pub fn restart_target(&mut self, index: usize, slow_ms: u64, slowness: f64) {
        self.slow_target(index, slow_ms, slowness);
        let now = Time(self.now);
        let entry = Entry { born_ms: self.now, warm_up_ms: slow_ms, ..entry(index, self.slots as u32) };
        self.revision += 1;
        let revision = self.revision.into();
        for forwarder in &mut self.forwarders {
            forwarder.apply(Record { entry: entry.clone(), state: State::Ready, revision }, now);
            forwarder.advance(revision, now);
        }
    }

    /// Lets the work of a target take `slowness` times as long for a time.
    pub fn slow_target(&mut self, index: usize, slow_ms: u64, slowness: f64) {
        let target = &mut self.sim_targets[index];
        (target.slow_until, target.slowness) = (self.now + slow_ms, slowness);
    }

    /// Lets a share of the requests to a target end in an error.
    pub fn set_failing_share(&mut self, index: usize, failing_share: f64) {
        self.sim_targets[index].failing_share = failing_share;
    }

    /// Sets whether a target neither accepts flows nor answers requests.
    pub fn set_down(&mut self, index: usize, is_down: bool) {
        self.sim_targets[index].is_down = is_down;
    }

    /// Restarts all instances; they know the peers registered in the store.
    pub fn restart(&mut self) {
        for index in 0..self.forwarders.len() {
            self.restart_one(index);
        }
    }

    /// Restarts all instances one after the other within a time.
    pub fn restart_within(&mut self, time_ms: u64) {
        let (start, count) = (self.now, self.forwarders.len());
        for index in 0..count {
            self.run_to(start + time_ms * index as u64 / count as u64);
            self.restart_one(index);
        }
    }

    fn restart_one(&mut self, index: usize) {
        let plan = plan(&self.loads);
        let (targets, slots) = (self.sim_targets.len(), self.slots as u32);
        let mut forwarder = forwarder(index, self.now + index as u64, &plan, targets, slots);
        for other in (0..self.forwarders.len()).filter(|other| *other != index) {
            let (name, zone, from) = instance(other);
            forwarder.peers_mut().discover(&name, &zone, from, Time(self.now));
        }
        self.forwarders[index] = forwarder;
        self.queued[index].clear();
        self.frozen[index] = false;
    }

    /// Runs until a time.
    pub fn run_to(&mut self, end: u64) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(load) => self.start(load),
            Event::Next { request } => self.next(request),
            Event::Ack { request, port } => self.ack(request, port),
            Event::Open { request, port, copy } => self.open(request, port, copy),
            Event::Accepted { request, port, target, token } => {
                self.accepted(request, port, target, Token(token));
            }
            Event::Broken { request, port } => {
                self.end(request, port, Kind::Abort);
                self.refused(request, port);
            }
            Event::Refused { request, port } | Event::GiveUp { request, port } => {
                self.refused(request, port);
            }
            Event::Data { request, port } => self.data(request, port),
            Event::Work { request, port, target } => self.work(request, port, target),
            Event::Done { request, port, target } => self.done(request, port, target),
            Event::Answered { request, port, shed } => self.answered(request, port, shed),
            Event::Close { request, port } => self.close(request, port),
            Event::Tick(index) => self.tick(index),
            Event::Report(index) => self.report(index),
        }
    }

    fn start(&mut self, load: usize) {
        if self.loads[load].lasting.is_none() {
            let gap = self.exponential(1_000.0 / self.loads[load].per_s);
            self.after(gap, Event::Start(load));
        }
        self.push_request(load);
        self.retry(self.requests.len() - 1);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-self.random.random::<f64>().max(1e-9).ln() * mean).round() as u64
    }

    fn push_request(&mut self, load: usize) {
        let spread = 0.5 + self.random.random::<f64>();
        let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 0);
        self.requests.push(Request {
            load,
            sent: self.now,
            counted: self.counting,
            tries: 0,
            client,
            answered: false,
            opened: false,
            target: 0,
            work_ms: self.loads[load].work_ms * spread,
            token: Token::NONE,
            acked: 0,
            is_committed: false,
        });
        self.tallies[load].started += u64::from(self.counting);
    }

    /// Starts the request that follows another one on a lasting flow, or on a new flow if
    /// that one failed.
    fn next(&mut self, former: usize) {
        let Request { load, client, opened, target, token, acked, .. } = self.requests[former];
        self.push_request(load);
        let request = self.requests.len() - 1;
        if !opened {
            return self.retry(request);
        }
        let state = &mut self.requests[request];
        (state.client, state.opened, state.target, state.token) = (client, true, target, token);
        state.acked = acked + 1_200;
        let port = client.port();
        self.after(CLIENT_LATENCY_MS, Event::Data { request, port });
        self.after(self.loads[load].class.timeout_ms, Event::GiveUp { request, port });
    }

    /// Schedules the next request of a client that keeps its flow.
    fn pause(&mut self, request: usize) {
        if let Some(lasting) = self.loads[self.requests[request].load].lasting {
            let pause_ms = self.exponential(lasting.pause_ms);
            self.after(pause_ms, Event::Next { request });
        }
    }

    fn ack(&mut self, request: usize, port: u16) {
        let instance = self.instance(request);
        if self.frozen[instance] || self.requests[request].client.port() != port {
            return;
        }
        self.requests[request].is_committed = false;
        let acked = self.requests[request].acked + 1_200;
        let packet = self.packet(request, Kind::Data { request: false, acked });
        self.forwarders[instance].receive(Time(self.now), &packet);
    }

    fn retry(&mut self, request: usize) {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
        let port = self.next_port;
        // Ports repeat; the address keeps flows distinct.
        let ip = Ipv4Addr::new(100, 64, (request >> 8) as u8, request as u8);
        self.requests[request].client = SocketAddrV4::new(ip, port);
        self.requests[request].opened = false;
        for (copy, at) in [0, 200, 600].into_iter().enumerate() {
            self.after(at + CLIENT_LATENCY_MS, Event::Open { request, port, copy: copy as u32 });
        }
        self.after(ATTEMPT_TIMEOUT_MS, Event::GiveUp { request, port });
    }

    fn is_current(&self, request: usize, port: u16) -> bool {
        let request = &self.requests[request];
        !request.answered && request.client.port() == port
    }

    fn instance(&mut self, request: usize) -> usize {
        if self.is_sprayed {
            return self.rotation[self.random.random_range(0..self.rotation.len())];
        }
        let client = self.requests[request].client;
        let hash = u64::from(u32::from(*client.ip())).wrapping_mul(31) + u64::from(client.port());
        self.rotation[(hash.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as usize % self.rotation.len()]
    }

    fn packet(&self, request: usize, kind: Kind) -> Packet {
        let Request { client, load, token, .. } = self.requests[request];
        Packet { client, address: address(self.loads[load].port), kind, token }
    }

    fn open(&mut self, request: usize, port: u16, copy: u32) {
        let instance = self.instance(request);
        if !self.is_current(request, port) || self.requests[request].opened || self.frozen[instance] {
            return;
        }
        let packet = Packet { token: Token::NONE, ..self.packet(request, Kind::Open { copy }) };
        if let Some(queued) =
            self.queued[instance].iter_mut().find(|queued| queued.packet.client == packet.client)
        {
            *queued = QueuedPacket { packet, arrived: self.now, request };
            return;
        }
        let verdict = self.forwarders[instance].receive(Time(self.now), &packet);
        self.act(instance, request, packet, self.now, verdict);
    }

    fn act(&mut self, instance: usize, request: usize, packet: Packet, arrived: u64, verdict: Verdict) {
        let port = packet.client.port();
        if matches!(verdict, Verdict::Forward(_)) {
            self.requests[request].is_committed = true;
        }
        match (packet.kind, verdict) {
            (Kind::Open { .. }, Verdict::Forward(destination)) => self.placed[destination.target] += 1,
            (_, Verdict::Refuse(_)) => self.refusals += 1,
            _ => {}
        }
        if matches!(packet.kind, Kind::Data { .. }) {
            return self.act_on_request(instance, request, packet, arrived, verdict);
        }
        match verdict {
            Verdict::Forward(destination)
                if !self.dead[destination.target] && !self.sim_targets[destination.target].is_down =>
            {
                let event =
                    Event::Accepted { request, port, target: destination.target, token: destination.token.0 };
                self.after(INTERNAL_LATENCY_MS + CLIENT_LATENCY_MS, event);
            }
            Verdict::Refuse(_) | Verdict::Reset => {
                self.after(CLIENT_LATENCY_MS, Event::Refused { request, port });
            }
            Verdict::Queue => self.queued[instance].push(QueuedPacket { packet, arrived, request }),
            Verdict::Forward(_) | Verdict::Drop(_) | Verdict::Defer(_) => {}
        }
    }

    fn act_on_request(
        &mut self,
        instance: usize,
        request: usize,
        packet: Packet,
        arrived: u64,
        verdict: Verdict,
    ) {
        let port = packet.client.port();
        match verdict {
            Verdict::Forward(destination) => {
                let expected = self.requests[request].target;
                assert_eq!(destination.target, expected, "an open flow keeps its target");
                self.after(INTERNAL_LATENCY_MS, Event::Work { request, port, target: destination.target });
            }
            Verdict::Queue => self.queued[instance].push(QueuedPacket { packet, arrived, request }),
            Verdict::Refuse(_) | Verdict::Reset | Verdict::Drop(_) | Verdict::Defer(_) => {}
        }
    }

    fn accepted(&mut self, request: usize, port: u16, target: usize, token: Token) {
        if !self.is_current(request, port) || self.requests[request].opened {
            return;
        }
        let state = &mut self.requests[request];
        state.opened = true;
        state.target = target;
        state.token = token;
        self.after(CLIENT_LATENCY_MS, Event::Data { request, port });
    }

    fn data(&mut self, request: usize, port: u16) {
        let instance = self.instance(request);
        if !self.is_current(request, port) || self.frozen[instance] {
            return;
        }
        let acked = self.requests[request].acked;
        let packet = self.packet(request, Kind::Data { request: true, acked });
        let verdict = self.forwarders[instance].receive(Time(self.now), &packet);
        self.act(instance, request, packet, self.now, verdict);
    }

    fn work(&mut self, request: usize, port: u16, target: usize) {
        let sim_target = &mut self.sim_targets[target];
        if sim_target.running < self.slots {
            sim_target.running += 1;
            self.start_work(request, port, target);
        } else if sim_target.queue.len() < TARGET_QUEUE {
            sim_target.queue.push_back((request, port));
        } else {
            self.after(CLIENT_LATENCY_MS, Event::Answered { request, port, shed: true });
        }
    }

    fn start_work(&mut self, request: usize, port: u16, target: usize) {
        let SimTarget { slow_until, slowness, .. } = self.sim_targets[target];
        let factor = if self.now < slow_until { slowness } else { 1.0 };
        let work_ms = (self.requests[request].work_ms * factor).round() as u64;
        self.after(work_ms, Event::Done { request, port, target });
    }

    fn done(&mut self, request: usize, port: u16, target: usize) {
        let SimTarget { failing_share, is_down, .. } = self.sim_targets[target];
        if failing_share > 0.0 && self.random.random::<f64>() < failing_share {
            self.after(CLIENT_LATENCY_MS, Event::Broken { request, port });
        } else if !is_down {
            self.after(CLIENT_LATENCY_MS, Event::Answered { request, port, shed: false });
        }
        match self.sim_targets[target].queue.pop_front() {
            Some((next, port)) => self.start_work(next, port, target),
            None => self.sim_targets[target].running -= 1,
        }
    }

    fn answered(&mut self, request: usize, port: u16, shed: bool) {
        let keeps_flow = !shed && self.loads[self.requests[request].load].lasting.is_some();
        let reaction = if keeps_flow { Event::Ack { request, port } } else { Event::Close { request, port } };
        self.after(CLIENT_LATENCY_MS, reaction);
        if !self.is_current(request, port) {
            return;
        }
        if shed {
            self.refused(request, port);
            return;
        }
        let Request { load, sent, counted, .. } = self.requests[request];
        self.requests[request].answered = true;
        self.pause(request);
        if !counted {
            return;
        }
        let on_time = self.now - sent <= self.loads[load].class.objective_ms;
        let tally = &mut self.tallies[load];
        if on_time { tally.on_time += 1 } else { tally.late += 1 }
    }

    fn close(&mut self, request: usize, port: u16) {
        self.end(request, port, Kind::Close);
    }

    fn end(&mut self, request: usize, port: u16, kind: Kind) {
        let instance = self.instance(request);
        if self.frozen[instance] || self.requests[request].client.port() != port {
            return;
        }
        self.requests[request].is_committed = false;
        let packet = self.packet(request, kind);
        self.forwarders[instance].receive(Time(self.now), &packet);
    }

    fn refused(&mut self, request: usize, port: u16) {
        if !self.is_current(request, port) {
            return;
        }
        let Request { load, sent, tries, counted, .. } = self.requests[request];
        if tries < RETRIES && self.now - sent < self.loads[load].class.timeout_ms {
            self.requests[request].tries += 1;
            self.retry(request);
            return;
        }
        self.requests[request].answered = true;
        if self.loads[load].lasting.is_some() {
            self.requests[request].opened = false;
            self.after(CLIENT_LATENCY_MS, Event::Close { request, port });
            self.pause(request);
        }
        if !counted {
            return;
        }
        self.tallies[load].failed += 1;
        let after_ms = self.now - sent;
        self.tallies[load].refused_after_ms = after_ms.max(self.tallies[load].refused_after_ms);
    }

    fn tick(&mut self, index: usize) {
        self.after(TICK_INTERVAL_MS, Event::Tick(index));
        if self.frozen[index] {
            return;
        }
        self.forwarders[index].tick(Time(self.now));
        let queued = std::mem::take(&mut self.queued[index]);
        for QueuedPacket { packet, arrived, request } in queued.into_iter().rev() {
            if !self.is_current(request, packet.client.port()) {
                continue;
            }
            let verdict = self.forwarders[index].decide(Time(self.now), &packet, Time(arrived));
            self.act(index, request, packet, arrived, verdict);
        }
        self.queued[index].reverse();
    }

    fn report(&mut self, index: usize) {
        self.after(REPORT_INTERVAL_MS, Event::Report(index));
        if self.frozen[index] || self.drop_reports {
            return;
        }
        let now = Time(self.now);
        let report = self.forwarders[index].report(now);
        let recipients =
            self.forwarders[index].report_recipients(&report, self.now / REPORT_INTERVAL_MS, now);
        let forwarder = &self.forwarders[index];
        // At intervals a report goes to all instances registered in the store.
        let sends_to_all = forwarder.peers().known_peers().next().is_none()
            || self.now % STORE_INTERVAL_MS < REPORT_INTERVAL_MS;
        let mut is_recipient = vec![sends_to_all; self.forwarders.len()];
        for address in recipients {
            is_recipient[usize::from(address.ip().octets()[3])] = true;
        }
        let (name, zone, from) = instance(index);
        for (other, forwarder) in self.forwarders.iter_mut().enumerate() {
            if other != index && !self.frozen[other] && is_recipient[other] {
                forwarder.peers_mut().record_peer(&name, &zone, from, now);
                forwarder.record_peer(&name, &report, now);
                forwarder.confirm_after_pause();
            }
        }
    }
}

/// Name, availability zone and address of an instance.
pub fn instance(index: usize) -> (Arc<str>, Arc<str>, SocketAddrV4) {
    let from = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index as u8), 7_720);
    (format!("e-{index}").into(), ["pa", "ct", "me"][index % 3].into(), from)
}

pub fn plan(loads: &[Load]) -> Plan {
    let route = |load: &Load| Route {
        address: address(load.port),
        shares: vec![WeightedService { service: "matching".into(), weight: 1 }],
        class: load.class,
    };
    Plan { version: 1, routes: loads.iter().map(route).collect(), idle_ms: 15_000, ..Plan::default() }
}

pub fn forwarder(index: usize, seed: u64, plan: &Plan, targets: usize, slots: u32) -> Forwarder {
    let mut forwarder = Forwarder::new(Settings {
        name: format!("e-{index}").into(),
        zone: ["pa", "ct", "me"][index % 3].into(),
        seed: seed + index as u64,
        ..Settings::default()
    });
    forwarder.adopt(plan.clone());
    for target in 0..targets {
        forwarder
            .apply(Record { entry: entry(target, slots), state: State::Ready, revision: 1.into() }, Time(0));
    }
    forwarder.advance(1.into(), Time(0));
    forwarder
}

/// Loads of the site nidosicuro-lb at a multiple of its normal rate.
pub fn site_loads(factor: f64) -> Vec<Load> {
    let class =
        |priority, objective_ms, timeout_ms| Class { priority, objective_ms, timeout_ms, ..Class::default() };
    vec![
        Load {
            port: 443,
            class: class(2, 250, 1_500),
            work_ms: 55.0,
            per_s: 292.0 * factor,
            value: (1.0, 0.3),
            lasting: None,
        },
        Load {
            port: 8080,
            class: class(1, 300, 2_000),
            work_ms: 72.0,
            per_s: 83.3 * factor,
            value: (2.0, 0.6),
            lasting: None,
        },
    ]
}

/// Loads of the site sohar-sleeve: previews on lasting flows, and approvals at a multiple of
/// their normal rate.
pub fn lasting_loads(factor: f64) -> Vec<Load> {
    let class =
        |priority, objective_ms, timeout_ms| Class { priority, objective_ms, timeout_ms, ..Class::default() };
    vec![
        Load {
            port: 8443,
            class: class(2, 250, 4_000),
            work_ms: 55.0,
            per_s: 0.0,
            value: (1.0, 0.5),
            lasting: Some(Lasting { clients: 297, pause_ms: 950.0, open_within_ms: 1_000 }),
        },
        Load {
            port: 80,
            class: class(1, 300, 5_000),
            work_ms: 72.0,
            per_s: 83.3 * factor,
            value: (2.0, 1.0),
            lasting: None,
        },
    ]
}
