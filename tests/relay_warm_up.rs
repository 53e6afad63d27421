//! Requests to cold targets, summed over all instances.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddrV4},
};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, ServicePlan, Token, WeightedService,
        catalog::{Record, State},
        forwarder::{Destination, Forwarder, Refusal, Settings, Verdict},
        gossip::{Load, Report},
        warm_up,
    },
    time::Time,
};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const STEP_MS: u64 = 10;
/// Time from a new flow to the answer to its first request.
const ANSWER_MS: u64 = 40;
/// When the cold targets start: after the start-up time of the instances.
const COLD_AT: u64 = 3_000;
/// Time without messages after which members of any fleet here are not live any more.
const CUT_AT: u64 = 5_000;
const END: u64 = 9_000;
/// New flows of an instance in a step that are more than the other targets serve without a wait,
/// in any fleet here.
const PLENTY: usize = 12;

#[derive(Clone, Copy, Debug)]
enum Cut {
    None,
    Isolated,
    Halves,
    One,
}

impl Cut {
    /// Whether messages pass between two instances.
    fn connects(self, a: usize, b: usize) -> bool {
        match self {
            Cut::None => true,
            Cut::Isolated => false,
            Cut::Halves => a % 2 == b % 2,
            Cut::One => a != 0 && b != 0,
        }
    }
}

/// Flow with its destination, the time of its next request, and the waiting request's arrival.
struct Flow {
    client: SocketAddrV4,
    destination: Destination,
    acked: u32,
    next: u64,
    arrived: Option<u64>,
}

/// New flow whose first request is not answered yet.
struct Opened {
    client: SocketAddrV4,
    destination: Destination,
    answered: u64,
    goes_on: bool,
}

struct Fleet {
    now: u64,
    forwarders: Vec<Forwarder>,
    is_running: Vec<bool>,
    opened: Vec<Vec<Opened>>,
    flows: Vec<Vec<Flow>>,
    cold: usize,
    clients: u32,
    /// Times of the requests to each cold target.
    requests: Vec<Vec<u64>>,
    warm_requests: u64,
    expired: u64,
    waited: u64,
}

fn record(index: usize, born_ms: u64, warm_up_ms: u64, revision: u64) -> Record {
    let entry = Entry {
        name: format!("i-{index:08x}").into(),
        number: index as u64 + 1,
        born_ms,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: ["pa", "ct", "me"][index % 3].into(),
        slots: 4,
        leaving: false,
        warm_up_ms,
        heartbeat: revision,
    };
    Record { entry, state: State::Ready, revision: revision.into() }
}

fn name(index: usize) -> String {
    format!("e-{index}")
}

fn packet(client: SocketAddrV4, token: Token, kind: Kind) -> Packet {
    Packet { client, address: ROUTE, token, kind }
}

fn forwarder(index: usize, targets: usize, per_s: f32, settings: warm_up::Settings) -> Forwarder {
    let mut forwarder = Forwarder::new(Settings {
        name: name(index).into(),
        zone: ["pa", "ct", "me"][index % 3].into(),
        seed: index as u64,
        warm_up: settings,
        ..Settings::default()
    });
    let route = Route {
        address: ROUTE,
        shares: vec![WeightedService { service: "booking".into(), weight: 1 }],
        class: Class { priority: 1, objective_ms: 300, timeout_ms: 2_500, ..Class::default() },
    };
    let service = ServicePlan { name: "booking".into(), warm_up_ms: 20_000, warm_up_per_s: per_s };
    forwarder.adopt(Plan { version: 1, routes: vec![route], services: vec![service], ..Plan::default() });
    for target in 0..targets {
        forwarder.apply(record(target, 1, 0, 1), Time(1));
    }
    forwarder.advance(1.into(), Time(1));
    forwarder
}

impl Fleet {
    fn new(instances: usize, targets: usize, cold: usize, per_s: f32, settings: warm_up::Settings) -> Fleet {
        let forwarders = (0..instances).map(|index| forwarder(index, targets, per_s, settings)).collect();
        Fleet {
            now: 1,
            forwarders,
            is_running: vec![true; instances],
            opened: (0..instances).map(|_| Vec::new()).collect(),
            flows: (0..instances).map(|_| Vec::new()).collect(),
            cold,
            clients: 0,
            requests: vec![Vec::new(); cold],
            warm_requests: 0,
            expired: 0,
            waited: 0,
        }
    }

    fn hear(&mut self, cut: Cut) {
        for to in 0..self.forwarders.len() {
            for from in (0..self.forwarders.len()).filter(|from| *from != to) {
                if self.is_running[from] && cut.connects(from, to) {
                    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, from as u8), 7_720);
                    let zone = ["pa", "ct", "me"][from % 3];
                    let peers = self.forwarders[to].peers_mut();
                    peers.record_peer(&name(from).into(), &zone.into(), address, Time(self.now));
                }
            }
        }
    }

    fn count(&mut self, target: usize) {
        match self.requests.get_mut(target) {
            Some(times) => times.push(self.now),
            None => self.warm_requests += 1,
        }
    }

    /// Runs up to a time, with some new flows at each instance in each step. Flows go on with a
    /// request each second.
    fn run(&mut self, end: u64, cut: Cut, new_flows: usize, goes_on: bool) {
        while self.now < end {
            self.now += STEP_MS;
            if self.now % 100 < STEP_MS {
                self.hear(cut);
            }
            for index in 0..self.forwarders.len() {
                if !self.is_running[index] {
                    continue;
                }
                self.forwarders[index].tick(Time(self.now));
                if self.now >= COLD_AT {
                    self.step(index, new_flows, goes_on);
                }
            }
        }
    }

    fn step(&mut self, index: usize, new_flows: usize, goes_on: bool) {
        let now = Time(self.now);
        for _ in 0..new_flows {
            self.clients += 1;
            let ip = Ipv4Addr::from_bits(0x6440_0000 + self.clients);
            let client = SocketAddrV4::new(ip, 9);
            let opening = packet(client, Token::NONE, Kind::Open { copy: 0 });
            let Verdict::Forward(destination) = self.forwarders[index].receive(now, &opening) else {
                continue;
            };
            self.count(destination.target);
            let request = packet(client, destination.token, Kind::Data { request: true, acked: 1 });
            self.forwarders[index].receive(now, &request);
            let goes_on = goes_on && destination.target < self.cold;
            self.opened[index].push(Opened { client, destination, answered: self.now + ANSWER_MS, goes_on });
        }
        self.answer(index);
        let mut flows = std::mem::take(&mut self.flows[index]);
        flows.retain_mut(|flow| {
            if self.now < flow.next {
                return true;
            }
            let arrived = *flow.arrived.get_or_insert(self.now);
            let kind = Kind::Data { request: true, acked: flow.acked + 1_200 };
            let request = packet(flow.client, flow.destination.token, kind);
            match self.forwarders[index].decide(now, &request, Time(arrived)) {
                Verdict::Forward(destination) => {
                    assert_eq!(destination, flow.destination);
                    self.count(destination.target);
                    self.waited += u64::from(self.now > arrived);
                    flow.acked += 1_200;
                    flow.arrived = None;
                    flow.next = self.now + 1_000;
                    true
                }
                Verdict::Queue => true,
                verdict => {
                    assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
                    self.expired += 1;
                    false
                }
            }
        });
        self.flows[index].append(&mut flows);
    }

    /// Acknowledges the answers that are due. Flows that do not go on are closed.
    fn answer(&mut self, index: usize) {
        let now = Time(self.now);
        let due: Vec<_> = self.opened[index].extract_if(.., |opened| opened.answered <= self.now).collect();
        for Opened { client, destination, goes_on, .. } in due {
            let acked = 1_201;
            let answered = packet(client, destination.token, Kind::Data { request: false, acked });
            self.forwarders[index].receive(now, &answered);
            if goes_on {
                let next = self.now + 1_000 - ANSWER_MS;
                let flow = Flow { client, destination, acked, next, arrived: None };
                self.flows[index].push(flow);
            } else {
                self.forwarders[index].receive(now, &packet(client, destination.token, Kind::Close));
            }
        }
    }

    fn start_cold(&mut self) {
        for forwarder in &mut self.forwarders {
            for target in 0..self.cold {
                forwarder.apply(record(target, 2, 20_000, 2), Time(self.now));
            }
        }
    }

    /// Moves each flow to the next running instance, as the fabric does when one leaves.
    fn move_flows(&mut self) {
        let mut flows: Vec<Vec<Flow>> = (0..self.forwarders.len()).map(|_| Vec::new()).collect();
        let running: Vec<_> = (0..self.forwarders.len()).filter(|index| self.is_running[*index]).collect();
        for (position, flow) in self.flows.drain(..).flatten().enumerate() {
            flows[running[position % running.len()]].push(flow);
        }
        self.flows = flows;
    }

    /// Most requests to a cold target in a second.
    fn peak(&self) -> usize {
        let mut most = 0;
        for times in &self.requests {
            let mut window = VecDeque::new();
            for &time in times {
                window.push_back(time);
                while time - window[0] > 1_000 {
                    window.pop_front();
                }
                most = most.max(window.len());
            }
        }
        most
    }
}

fn cuts() -> impl Strategy<Value = Cut> {
    prop_oneof![Just(Cut::None), Just(Cut::Isolated), Just(Cut::Halves), Just(Cut::One)]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against more requests to a cold target than it bears while members leave, join
    /// again, are cut off and disagree on who they are, and while the fabric moves flows.
    #[test]
    fn limit_holds(
        instances in 2usize..40,
        targets in 2usize..40,
        cold_share in 1usize..=4,
        per_s in 2f32..40.0,
        overage in 1f32..2.0,
        slack in 0f32..6.0,
        cut in cuts(),
        left in 0usize..40,
    ) {
        let settings = warm_up::Settings { overage, slack };
        let cold = (targets * cold_share).div_ceil(4);
        let mut fleet = Fleet::new(instances, targets, cold, per_s, settings);
        fleet.run(COLD_AT - STEP_MS, Cut::None, 0, true);
        fleet.start_cold();
        fleet.run(CUT_AT, Cut::None, 2, true);
        // One instance leaves, and the fabric moves the flows of all.
        let left = left % instances;
        if instances > 2 {
            fleet.is_running[left] = false;
            fleet.move_flows();
        }
        fleet.run(CUT_AT + 1_500, cut, 2, true);
        fleet.is_running[left] = true;
        fleet.move_flows();
        fleet.run(END, cut, 2, true);
        let limit = per_s * overage + slack;
        prop_assert!(fleet.peak() as f32 <= limit.max(1.0), "{} requests in a second, limit {limit}", fleet.peak());
    }
}

/// Guards against cold targets that starve, and measures their use under plenty of demand.
#[test]
fn share_is_used() {
    for (instances, targets, cold) in [(3, 12, 4), (72, 120, 40), (72, 30, 10), (72, 120, 120)] {
        let per_s = 25.0;
        let settings = warm_up::Settings { overage: 1.5, slack: 5.0 };
        let mut fleet = Fleet::new(instances, targets, cold, per_s, settings);
        fleet.run(COLD_AT - STEP_MS, Cut::None, 0, false);
        fleet.start_cold();
        fleet.run(END, Cut::None, PLENTY, false);
        let time_s = (END - COLD_AT) as f32 / 1_000.0;
        let shares = fleet.requests.iter().map(|times| times.len() as f32 / time_s / per_s);
        let mean = shares.clone().sum::<f32>() / cold as f32;
        let (least, most) = (shares.clone().fold(f32::MAX, f32::min), shares.fold(0.0, f32::max));
        println!(
            "{instances} instances, {cold} of {targets} targets cold: {:.0}% of what they bear, {:.0}% to {:.0}%, peak {}",
            100.0 * mean,
            100.0 * least,
            100.0 * most,
            fleet.peak(),
        );
        assert!(least >= 0.3, "a target got {least} of what it bears");
        assert!(fleet.peak() as f32 <= 42.5);
    }
}

/// Guards against requests on open flows that are lost although the target has room for them, as
/// new flows take its share.
#[test]
fn open_flows_wait() {
    let settings = warm_up::Settings { overage: 1.5, slack: 5.0 };
    let mut fleet = Fleet::new(3, 6, 2, 25.0, settings);
    fleet.run(COLD_AT - STEP_MS, Cut::None, 0, true);
    fleet.start_cold();
    fleet.run(END, Cut::None, PLENTY, true);
    println!("{} requests waited, {} expired", fleet.waited, fleet.expired);
    assert!(fleet.waited > 20);
    assert_eq!(fleet.expired, 0);
}

/// Guards against a limit where none is stated.
#[test]
fn no_limit() {
    let mut fleet = Fleet::new(3, 6, 6, 0.0, warm_up::Settings::default());
    fleet.run(COLD_AT - STEP_MS, Cut::None, 0, true);
    fleet.start_cold();
    fleet.run(COLD_AT + 1_000, Cut::None, 4, false);
    let total: usize = fleet.requests.iter().map(Vec::len).sum();
    assert_eq!(total, 3 * 4 * 101);
}

/// Guards against a full share for a target that may have started again: it counts as cold once
/// it answers after an ejection, also where only a peer saw the answer.
#[test]
fn answer_after_ejection() {
    for by_peer in [false, true] {
        let mut fleet = Fleet::new(3, 1, 1, 25.0, warm_up::Settings { overage: 1.5, slack: 5.0 });
        fleet.run(COLD_AT - STEP_MS, Cut::None, 0, false);
        let forwarder = &mut fleet.forwarders[0];
        let token = forwarder.catalog().target(0).unwrap().token;
        let now = Time(COLD_AT);
        let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 9);
        let opening = packet(client, Token::NONE, Kind::Open { copy: 0 });
        assert!(matches!(forwarder.receive(now, &opening), Verdict::Forward(_)));
        let load = Load { token, running: 0, idle: 0, failures: 9, is_responsive: false };
        let report = |load| Report { loads: vec![load], ..Report::default() };
        forwarder.record_peer("e-1", &report(load), now);
        match by_peer {
            true => forwarder.record_peer(
                "e-1",
                &report(Load { failures: 0, is_responsive: true, ..load }),
                now + 10,
            ),
            false => drop(forwarder.receive(now + 10, &packet(client, token, Kind::Close))),
        }
        fleet.now = COLD_AT + 10;
        let forwarder = &mut fleet.forwarders[0];
        forwarder.tick(now + 10);
        let mut placed = 0;
        for flow in 0..200 {
            let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, flow), 9);
            let opening = packet(client, Token::NONE, Kind::Open { copy: 0 });
            placed += usize::from(matches!(forwarder.receive(now + 400, &opening), Verdict::Forward(_)));
        }
        assert_eq!(placed, 1, "answer seen by a peer: {by_peer}");
    }
}

/// Guards against clients that wait in vain when there are only cold targets.
#[test]
fn only_cold_targets() {
    let mut fleet = Fleet::new(3, 2, 2, 25.0, warm_up::Settings::default());
    fleet.run(COLD_AT - STEP_MS, Cut::None, 0, false);
    fleet.start_cold();
    fleet.run(COLD_AT + 1_000, Cut::None, 4, false);
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 9, 9), 9);
    let opening = packet(client, Token::NONE, Kind::Open { copy: 0 });
    let (arrived, now) = (Time(fleet.now), Time(fleet.now + 30));
    let verdicts = [(arrived, arrived), (now, arrived)]
        .map(|(now, arrived)| fleet.forwarders[0].decide(now, &opening, arrived));
    assert!(matches!(verdicts[0], Verdict::Queue), "{verdicts:?}");
    assert!(matches!(verdicts[1], Verdict::Refuse(Refusal::TargetsCold)), "{verdicts:?}");
}
