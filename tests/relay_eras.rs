//! The store returns from a backup: revisions are given out again, and writes are lost. All
//! instances must agree with the store once the operator and the targets have written again
//! what was lost, in whatever order they learned of it and whoever is lost. Until then, what
//! was accepted stays in effect.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use proptest::{
    prelude::*,
    test_runner::{TestError, TestRunner},
};
use ragwortlb::{
    relay::{
        Entry, Plan,
        catalog::{Catalog, REREGISTRATION_MS, Record, State},
        evacuation::REWRITE_MS,
        forwarder::{EvacuationChange, Forwarder, Observation, Reading, Settings},
        gossip::{self, Frame, KnownState, Message, Snapshot, Update},
        revision::Revision,
    },
    time::Time,
};

/// Instances, in two availability zones in turn.
const INSTANCES: usize = 4;

const TARGETS: usize = 6;

/// Targets whose records do not fit into one datagram.
const MANY: usize = 60;

/// Zones that are evacuated.
const ZONES: [&str; 2] = ["pa", "ct"];

/// Time after a restore within which targets write their entries again, in milliseconds.
const REWRITE_TIME_MS: u64 = 2_000;

/// Time after which a datagram or a snapshot on its way is lost, in milliseconds.
const MAX_DELAY_MS: u64 = 200;

/// Time after which an answer of the store on its way is lost, in milliseconds: what instances
/// allow beyond the time within which targets write their entries again.
const MAX_ANSWER_DELAY_MS: u64 = REREGISTRATION_MS - REWRITE_TIME_MS;

/// Time between two calls of a store reader, in milliseconds.
const CALL_INTERVAL_MS: u64 = 700;

/// Time between ticks, in milliseconds: less than what counts as a pause.
const TICK_MS: u64 = 100;

const START: Time = Time(100_000);

/// What a target writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Value {
    born: u64,
    heartbeat: u64,
    is_leaving: bool,
}

/// Key of the store with its value; none if it was removed.
#[derive(Clone, Debug, PartialEq)]
enum Write {
    Plan { version: u64, content: u32 },
    Target { index: usize, value: Option<Value> },
    Evacuation { zone: usize, is_active: bool },
}

/// Store that keeps its history: the write of each revision of its era, beginning at 1.
#[derive(Default)]
struct Store {
    era: u32,
    writes: Vec<Write>,
}

/// Latest state of the store, without revisions.
#[derive(Debug, Default, PartialEq, Eq)]
struct Keys {
    /// Version and content.
    plan: (u64, u32),
    /// Start of each target, and whether it drains.
    targets: BTreeMap<usize, (u64, bool)>,
    zones: BTreeSet<usize>,
}

impl Store {
    fn number(&self) -> u64 {
        self.writes.len() as u64
    }

    /// Last write of each key that exists, with its number.
    fn items(&self) -> Vec<(Write, u64)> {
        let mut items: Vec<(Write, u64)> = Vec::new();
        for (write, number) in self.writes.iter().zip(1..) {
            items.retain(|(former, _)| match (former, write) {
                (Write::Plan { .. }, Write::Plan { .. }) => false,
                (Write::Target { index, .. }, Write::Target { index: other, .. }) => index != other,
                (Write::Evacuation { zone, .. }, Write::Evacuation { zone: other, .. }) => zone != other,
                _ => true,
            });
            if !matches!(
                write,
                Write::Target { value: None, .. } | Write::Evacuation { is_active: false, .. }
            ) {
                items.push((write.clone(), number));
            }
        }
        items
    }

    fn keys(&self) -> Keys {
        let mut keys = Keys::default();
        for (write, _) in self.items() {
            match write {
                Write::Plan { version, content } => keys.plan = (version, content),
                Write::Target { index, value: Some(value) } => {
                    keys.targets.insert(index, (value.born, value.is_leaving));
                }
                Write::Evacuation { zone, .. } => {
                    keys.zones.insert(zone);
                }
                Write::Target { value: None, .. } => {}
            }
        }
        keys
    }
}

/// Answer of the store on its way to an instance.
#[derive(Clone)]
struct Answer {
    at: Time,
    revision: Revision,
    is_full: bool,
    events: Vec<(Write, u64)>,
}

fn name(index: usize) -> Arc<str> {
    format!("i-{index:08x}").into()
}

fn zone(instance: usize) -> &'static str {
    ZONES[instance % 2]
}

fn record(index: usize, value: Value, revision: Revision) -> Record {
    let entry = Entry {
        name: name(index),
        number: index as u64 + 1,
        born_ms: value.born,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: value.is_leaving,
        warm_up_ms: 0,
        heartbeat: value.heartbeat,
    };
    let state = if value.is_leaving { State::Leaving } else { State::Ready };
    Record { entry, state, revision }
}

#[derive(Clone)]
enum Content {
    Update { from: usize, update: Update },
    Snapshot(Snapshot),
}

/// Message on its way to an instance.
#[derive(Clone)]
struct Sent {
    from: usize,
    to: usize,
    at: Time,
    content: Content,
}

#[derive(Clone, Debug)]
enum Step {
    WritePlan,
    /// A target starts, or starts again under its name.
    StartTarget(usize),
    Heartbeat(usize),
    Drain(usize),
    End(usize),
    Evacuate {
        zone: usize,
        is_active: bool,
    },
    /// The store returns from a backup that lacks its last writes.
    Restore {
        lost: usize,
    },
    /// An instance calls the store. Its answer is on its way until `Answer`.
    Call(usize),
    Answer(usize),
    /// An instance starts again without any state.
    Stop(usize),
    /// An instance moves to a side. Only the first one has the store.
    Move {
        instance: usize,
        side: usize,
    },
    SetUnreachable {
        instance: usize,
        is_unreachable: bool,
    },
    Fetch {
        to: usize,
        from: usize,
    },
    /// A message arrives, and once more later if it is not removed.
    Deliver {
        message: usize,
        is_removed: bool,
    },
    Lose {
        message: usize,
    },
    Wait {
        ticks: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let (instance, target) = (0..INSTANCES, 0..TARGETS);
    prop_oneof![
        3 => Just(Step::WritePlan),
        3 => target.clone().prop_map(Step::StartTarget),
        2 => target.clone().prop_map(Step::Heartbeat),
        2 => target.clone().prop_map(Step::Drain),
        2 => target.prop_map(Step::End),
        2 => (0..ZONES.len(), any::<bool>())
            .prop_map(|(zone, is_active)| Step::Evacuate { zone, is_active }),
        3 => (0..8usize).prop_map(|lost| Step::Restore { lost }),
        8 => instance.clone().prop_map(Step::Call),
        8 => instance.clone().prop_map(Step::Answer),
        1 => instance.clone().prop_map(Step::Stop),
        2 => (instance.clone(), 0..2usize).prop_map(|(instance, side)| Step::Move { instance, side }),
        1 => (instance.clone(), any::<bool>())
            .prop_map(|(instance, is_unreachable)| Step::SetUnreachable { instance, is_unreachable }),
        5 => (instance.clone(), instance).prop_map(|(to, from)| Step::Fetch { to, from }),
        16 => (any::<usize>(), any::<bool>())
            .prop_map(|(message, is_removed)| Step::Deliver { message, is_removed }),
        3 => any::<usize>().prop_map(|message| Step::Lose { message }),
        3 => (1..25u64).prop_map(|ticks| Step::Wait { ticks }),
    ]
}

struct Fleet {
    store: Store,
    /// What was accepted last, whether or not the store has lost it.
    accepted: Keys,
    /// Latest writes of the running targets.
    running: BTreeMap<usize, Value>,
    /// Starts of targets so far.
    starts: u64,
    plans_written: u32,
    restored_at: Option<Time>,
    /// Whether a restore begins a new era. Otherwise revisions are bare numbers.
    has_eras: bool,
    instances: Vec<Forwarder>,
    sides: [usize; INSTANCES],
    answers: [Option<Answer>; INSTANCES],
    sent: Vec<Sent>,
    now: Time,
}

impl Fleet {
    fn new() -> Fleet {
        let mut fleet = Fleet {
            store: Store { era: 1, ..Store::default() },
            accepted: Keys::default(),
            running: BTreeMap::new(),
            starts: 0,
            plans_written: 0,
            restored_at: None,
            has_eras: true,
            instances: (0..INSTANCES).map(|instance| start(instance, START)).collect(),
            sides: [0; INSTANCES],
            answers: Default::default(),
            sent: Vec::new(),
            now: START,
        };
        fleet.step(Step::WritePlan);
        fleet
    }

    /// Fleet in which all instances know a plan and target 0.
    fn with_target() -> Fleet {
        let mut fleet = Fleet::new();
        fleet.step(Step::StartTarget(0));
        fleet.read_everywhere();
        // Until then, instances do not know whether the era has just begun.
        fleet.wait(REREGISTRATION_MS + TICK_MS);
        fleet
    }

    fn read_everywhere(&mut self) {
        for instance in 0..INSTANCES {
            self.read(instance);
        }
        self.sent.clear();
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::WritePlan => {
                self.plans_written += 1;
                let version = self.store.keys().plan.0 + 1;
                self.write_plan(version, self.plans_written);
            }
            Step::StartTarget(index) => {
                // Later at each start, also after a restore and on a clock that stands still.
                self.starts += 1;
                let born = self.now.0 + self.starts;
                self.write_target(index, Value { born, heartbeat: 1, is_leaving: false });
            }
            Step::Heartbeat(index) => {
                if let Some(value) = self.running.get(&index).copied() {
                    self.write_target(index, Value { heartbeat: value.heartbeat + 1, ..value });
                }
            }
            Step::Drain(index) => {
                if let Some(value) = self.running.get(&index).copied() {
                    let heartbeat = value.heartbeat + 1;
                    self.write_target(index, Value { heartbeat, is_leaving: true, ..value });
                }
            }
            Step::End(index) => {
                self.running.remove(&index);
                if self.store.keys().targets.contains_key(&index) {
                    self.store.writes.push(Write::Target { index, value: None });
                }
            }
            Step::Evacuate { zone, is_active } => {
                match is_active {
                    true => self.accepted.zones.insert(zone),
                    false => self.accepted.zones.remove(&zone),
                };
                if is_active || self.store.keys().zones.contains(&zone) {
                    self.store.writes.push(Write::Evacuation { zone, is_active });
                }
            }
            // Not again while targets register: they need some time for it.
            Step::Restore { .. } if self.restored_at.is_some() => {}
            Step::Restore { lost } => {
                let kept = self.store.writes.len().saturating_sub(lost).max(1);
                self.store.writes.truncate(kept);
                self.store.era += u32::from(self.has_eras);
                self.restored_at = Some(self.now);
            }
            Step::Call(instance) => self.call(instance),
            Step::Answer(instance) => self.answer(instance),
            Step::Stop(instance) => {
                self.instances[instance] = start(instance, self.now);
                self.answers[instance] = None;
                self.sent.retain(|sent| sent.to != instance);
            }
            Step::Move { instance, side } => self.sides[instance] = side,
            Step::SetUnreachable { instance, is_unreachable } => {
                self.instances[instance].set_store_unreachable(is_unreachable);
            }
            Step::Fetch { to, from } => self.fetch(to, from),
            Step::Deliver { message, is_removed } => {
                if let Some(index) = self.message(message) {
                    let sent = self.sent[index].clone();
                    if is_removed {
                        self.sent.remove(index);
                    }
                    self.deliver(sent);
                }
            }
            Step::Lose { message } => {
                if let Some(index) = self.message(message) {
                    self.sent.remove(index);
                }
            }
            Step::Wait { ticks } => self.wait(ticks * TICK_MS),
        }
    }

    fn write_plan(&mut self, version: u64, content: u32) {
        self.store.writes.push(Write::Plan { version, content });
        if version >= self.accepted.plan.0 {
            self.accepted.plan = (version, content);
        }
    }

    fn write_target(&mut self, index: usize, value: Value) {
        self.running.insert(index, value);
        self.store.writes.push(Write::Target { index, value: Some(value) });
    }

    /// Index of a drawn message; none if there is no message.
    fn message(&self, drawn: usize) -> Option<usize> {
        (!self.sent.is_empty()).then(|| drawn % self.sent.len())
    }

    /// Lets time pass. Targets register again within their time.
    fn wait(&mut self, time_ms: u64) {
        for _ in 0..time_ms / TICK_MS {
            self.now = self.now + TICK_MS;
            if self.restored_at.is_some_and(|restored| self.now.since(restored) >= REWRITE_TIME_MS) {
                self.restored_at = None;
                self.rewrite_targets();
            }
            let now = self.now;
            self.sent.retain(|sent| now.since(sent.at) < MAX_DELAY_MS);
            for answer in &mut self.answers {
                answer.take_if(|answer| now.since(answer.at) >= MAX_ANSWER_DELAY_MS);
            }
            for instance in 0..INSTANCES {
                let forwarder = &mut self.instances[instance];
                if forwarder.peers().live(now).next().is_some() {
                    meet_peers(forwarder, instance, now);
                }
                forwarder.tick(now);
            }
        }
    }

    /// Calls the store, which answers at once but may be heard later. As in the daemon, an
    /// instance watches once it has state, and reads all keys if the store has not its revision.
    fn call(&mut self, instance: usize) {
        if self.sides[instance] != 0 {
            return;
        }
        let after = self.instances[instance].catalog().revision();
        let revision = Revision::new(self.store.era, self.store.number());
        let is_full = !after.is_some() || after.era != revision.era || after.number > revision.number;
        let events = match is_full {
            true => self.store.items(),
            false => self.store.writes.iter().cloned().zip(1..).skip(after.number as usize).collect(),
        };
        self.answers[instance] = Some(Answer { at: self.now, revision, is_full, events });
    }

    fn answer(&mut self, instance: usize) {
        let Some(answer) = self.answers[instance].take() else {
            return;
        };
        let now = self.now;
        let forwarder = &mut self.instances[instance];
        let catalog = forwarder.catalog();
        let before = catalog.target_revision();
        let is_restored = answer.revision.era > before.era;
        let era_began = if is_restored { now } else { forwarder.era_began() };
        let store_unstable = now.since(era_began) < REREGISTRATION_MS;
        let mut reading = Reading { revision: answer.revision, ..Reading::default() };
        if answer.is_full {
            let listed = answer.events.iter().filter_map(|(write, _)| match write {
                Write::Target { index, .. } => Some(name(*index)),
                _ => None,
            });
            let unlisted = catalog.unlisted(&listed.collect::<Vec<_>>(), answer.revision, store_unstable);
            reading.is_list = true;
            reading.observations = unlisted.into_iter().map(Observation::Record).collect();
            let zones = answer.events.iter().filter_map(|(write, _)| match write {
                Write::Evacuation { zone, .. } => Some(ZONES[*zone].into()),
                _ => None,
            });
            let ended = catalog.evacuations().unlisted(&zones.collect::<Vec<_>>(), answer.revision);
            reading.evacuations = ended.into_iter().map(EvacuationChange::from).collect();
        }
        for (write, number) in answer.events {
            let revision = Revision::new(answer.revision.era, number);
            match write {
                Write::Plan { version, content } => {
                    let plan = plan(version, content, revision.era);
                    if reading.plan.as_ref().is_none_or(|former| plan.id().replaces(former.id())) {
                        reading.plan = Some(plan);
                    }
                }
                Write::Target { index, value: Some(value) } => {
                    reading.observations.push(Observation::Record(record(index, value, revision)));
                }
                Write::Target { index, value: None } => reading.observations.push(Observation::Ended {
                    name: name(index),
                    revision,
                    store_unstable,
                }),
                Write::Evacuation { zone, is_active } => {
                    let zone = ZONES[zone].into();
                    reading.evacuations.push(EvacuationChange { zone, is_active, revision });
                }
            }
        }
        let is_ignored = reading.revision.era < before.era;
        let update = forwarder.apply_reading(reading, now);
        if answer.is_full {
            forwarder.record_skipped(before);
        }
        assert!(!is_ignored || !update.after.is_some(), "a reading of an earlier era is announced");
        if update.after.is_some() {
            self.send_update(instance, update);
        }
        if is_ignored {
            return;
        }
        let forwarder = &mut self.instances[instance];
        let records = forwarder.catalog().unrecovered(forwarder.era_began(), now);
        if !records.is_empty() {
            for record in &records {
                forwarder.apply(record.clone(), now);
            }
            let update = forwarder.update(forwarder.catalog().target_revision(), records);
            self.send_update(instance, update);
        }
    }

    fn read(&mut self, instance: usize) {
        self.call(instance);
        self.answer(instance);
    }

    fn send_update(&mut self, from: usize, update: Update) {
        for part in gossip::split(update) {
            let sender = format!("edge-{from}");
            let message = Message::Update(part);
            let frame = Frame { sender: sender.into(), zone: zone(from).into(), message };
            let Message::Update(update) = Frame::from_bytes(&frame.to_bytes()).unwrap().message else {
                panic!("an update is decoded as another message");
            };
            let peers = (0..INSTANCES).filter(|to| *to != from);
            self.sent.extend(peers.map(|to| Sent {
                from,
                to,
                at: self.now,
                content: Content::Update { from, update: update.clone() },
            }));
        }
    }

    fn fetch(&mut self, to: usize, from: usize) {
        let known = KnownState::from_bytes(&self.instances[to].known_state().to_bytes()).unwrap();
        let snapshot = self.instances[from].snapshot(&known);
        let has_plan = known.plan.version.max(snapshot.plan.version) > 0;
        if to != from && self.sides[to] == self.sides[from] && snapshot.revision.is_some() && has_plan {
            let snapshot = Snapshot::from_bytes(&snapshot.to_bytes()).unwrap();
            self.sent.push(Sent { from, to, at: self.now, content: Content::Snapshot(snapshot) });
        }
    }

    fn deliver(&mut self, sent: Sent) {
        let Sent { from, to, content, .. } = sent;
        if self.sides[from] != self.sides[to] {
            return;
        }
        match content {
            Content::Update { from: reader, update } => {
                let passes_on = self.instances[to].apply_update(update.clone(), zone(reader), self.now);
                if passes_on {
                    let peers = (0..INSTANCES).filter(|peer| *peer != to && zone(*peer) == zone(to));
                    let at = self.now;
                    let content = Content::Update { from: to, update };
                    self.sent.extend(peers.map(|peer| Sent {
                        from: to,
                        to: peer,
                        at,
                        content: content.clone(),
                    }));
                }
            }
            Content::Snapshot(snapshot) => self.instances[to].apply_snapshot(snapshot, self.now),
        }
    }

    /// Delivers all messages, in order.
    fn deliver_all(&mut self) {
        for sent in std::mem::take(&mut self.sent) {
            self.deliver(sent);
        }
    }

    /// Running targets register again with their next heartbeat.
    fn rewrite_targets(&mut self) {
        for (index, value) in self.running.clone() {
            self.write_target(index, Value { heartbeat: value.heartbeat + 1, ..value });
        }
        // Their leases ended with them.
        for index in self.store.keys().targets.into_keys() {
            if !self.running.contains_key(&index) {
                self.store.writes.push(Write::Target { index, value: None });
            }
        }
    }

    /// Writes again what the restores have lost.
    fn rewrite(&mut self) {
        self.rewrite_targets();
        self.restored_at = None;
        if self.store.keys().plan != self.accepted.plan {
            let (version, content) = self.accepted.plan;
            self.write_plan(version, content);
        }
        for zone in 0..ZONES.len() {
            let is_active = self.accepted.zones.contains(&zone);
            if self.store.keys().zones.contains(&zone) != is_active {
                self.store.writes.push(Write::Evacuation { zone, is_active });
            }
        }
    }

    /// State of an instance.
    fn state(&self, instance: usize) -> Keys {
        keys(self.instances[instance].catalog())
    }

    fn target_state(&self, instance: usize, target: usize) -> Option<State> {
        let mut records = self.instances[instance].catalog().records();
        records.find(|record| record.entry.name == name(target)).map(|record| record.state)
    }

    /// Checks that no instance has removed a target that runs and registers again in time.
    fn check_running(&self) -> Result<(), TestCaseError> {
        for (instance, forwarder) in self.instances.iter().enumerate() {
            for record in forwarder.catalog().records().filter(|record| record.state == State::Gone) {
                let is_running = self.running.iter().any(|(index, value)| {
                    name(*index) == record.entry.name && value.born == record.entry.born_ms
                });
                prop_assert!(!is_running, "instance {} has removed the running {:?}", instance, record);
            }
        }
        Ok(())
    }

    /// Checks that an instance that reads the store alone agrees with it.
    fn check_survivor(&mut self, instance: usize) -> Result<(), TestCaseError> {
        self.sides[instance] = 0;
        for _ in 0..2 * REWRITE_MS / CALL_INTERVAL_MS {
            self.read(instance);
            self.sent.clear();
            self.wait(CALL_INTERVAL_MS);
        }
        prop_assert_eq!(self.state(instance), self.store.keys(), "instance {}", instance);
        Ok(())
    }
}

fn plan(version: u64, content: u32, era: u32) -> Plan {
    Plan { version, era, digest: content, idle_ms: 15_000, ..Plan::default() }
}

/// Plan, running targets and evacuated zones of an instance.
fn keys(catalog: &Catalog) -> Keys {
    let index = |name: &str| usize::from_str_radix(&name[2..], 16).unwrap();
    let running = catalog.records().filter(|record| record.state < State::Missing);
    let target = |record: &Record| (record.entry.born_ms, record.state == State::Leaving);
    Keys {
        plan: (catalog.plan().version, catalog.plan().digest),
        targets: running.map(|record| (index(&record.entry.name), target(record))).collect(),
        zones: (0..ZONES.len()).filter(|zone| catalog.evacuations().contains(ZONES[*zone])).collect(),
    }
}

fn meet_peers(forwarder: &mut Forwarder, instance: usize, now: Time) {
    for peer in (0..INSTANCES).filter(|peer| *peer != instance) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, peer as u8), 7_720);
        let name = format!("edge-{peer}").into();
        forwarder.peers_mut().record_peer(&name, &zone(peer).into(), address, now);
    }
}

/// Instance without state. In each zone the instance of lowest rank is the store reader.
fn start(instance: usize, now: Time) -> Forwarder {
    let settings = Settings {
        name: format!("edge-{instance}").into(),
        zone: zone(instance).into(),
        ..Settings::default()
    };
    let mut forwarder = Forwarder::new(settings);
    meet_peers(&mut forwarder, instance, now);
    forwarder
}

// Guards against a target that is removed although it runs, as an instance learned of the
// restore from a peer's snapshot and took the lost entry for a removed one.
#[test]
fn era_from_peer() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Restore { lost: 1 });
    fleet.read(0);
    fleet.sent.clear();
    fleet.fetch(1, 0);
    fleet.deliver_all();
    assert_eq!(fleet.instances[1].catalog().target_revision().era, 2);
    fleet.read(1);
    for instance in [0, 1] {
        assert_eq!(fleet.target_state(instance, 0), Some(State::Missing), "instance {instance}");
    }
    fleet.wait(REWRITE_TIME_MS);
    fleet.read(1);
    assert_eq!(fleet.target_state(1, 0), Some(State::Ready));
}

// Guards against a target that is removed at once by an instance that was started after the
// restore and knows it only as missing.
#[test]
fn new_instance() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Restore { lost: 1 });
    fleet.read(0);
    fleet.step(Step::Stop(1));
    fleet.sent.clear();
    fleet.fetch(1, 0);
    fleet.deliver_all();
    fleet.read(1);
    assert_eq!(fleet.target_state(1, 0), Some(State::Missing));
}

// Guards against a target that stays missing, or gets flows for good, after the store has lost
// its entry: it had ended when the store returned.
#[test]
fn never_written_again() {
    let mut fleet = Fleet::with_target();
    fleet.running.clear();
    fleet.step(Step::Restore { lost: 1 });
    fleet.read(0);
    fleet.deliver_all();
    assert_eq!(fleet.target_state(0, 0), Some(State::Missing));
    assert_eq!(fleet.target_state(2, 0), Some(State::Missing));
    for _ in 0..10 {
        fleet.wait(CALL_INTERVAL_MS);
        fleet.read(0);
        // No update with the end of the target arrives at the others.
        fleet.sent.retain(|sent| match &sent.content {
            Content::Update { update, .. } => update.records.is_empty(),
            Content::Snapshot(_) => true,
        });
        fleet.deliver_all();
    }
    for instance in [0, 2] {
        assert_eq!(fleet.target_state(instance, 0), Some(State::Gone), "instance {instance}");
    }
}

// Guards against two sides of a partition that do not agree after it, as the one that is
// behind has greater numbers of an earlier era.
#[test]
fn two_eras() {
    let mut fleet = Fleet::with_target();
    for index in 1..TARGETS {
        fleet.step(Step::StartTarget(index));
    }
    fleet.read_everywhere();
    fleet.step(Step::Move { instance: 1, side: 1 });
    fleet.step(Step::Move { instance: 3, side: 1 });
    fleet.step(Step::Restore { lost: 5 });
    fleet.step(Step::WritePlan);
    fleet.read(0);
    fleet.step(Step::Move { instance: 1, side: 0 });
    fleet.step(Step::Move { instance: 3, side: 0 });
    let [ahead, behind] = [0, 1].map(|instance| fleet.instances[instance].catalog().target_revision());
    assert!(ahead > behind && ahead.number < behind.number, "{ahead} after {behind}");
    // What the side that is behind says changes nothing on the other one.
    let expected = fleet.state(0);
    fleet.sent.clear();
    fleet.fetch(0, 1);
    fleet.deliver_all();
    assert_eq!(fleet.state(0), expected);
    fleet.fetch(1, 0);
    fleet.deliver_all();
    assert_eq!(fleet.state(1), expected);
}

// Guards against an old state that comes back, and against a confirmation that peers are up to
// date, by a reading that was begun before the restore.
#[test]
fn reading_from_before() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Heartbeat(0));
    fleet.call(1);
    fleet.step(Step::Restore { lost: 1 });
    fleet.read(0);
    fleet.sent.clear();
    fleet.fetch(1, 0);
    fleet.deliver_all();
    fleet.wait(500);
    let (expected, age) = (fleet.state(1), fleet.instances[1].sync_age_ms(fleet.now));
    fleet.answer(1);
    assert!(fleet.sent.is_empty(), "an ignored reading is announced");
    assert_eq!(fleet.state(1), expected);
    assert_eq!(fleet.instances[1].sync_age_ms(fleet.now), age, "an ignored reading confirms the state");
}

// Guards against flows to a target that drains or has ended, as the store shows its earlier
// entry again.
#[test]
fn undone_drain_and_removal() {
    for (step, state) in [(Step::Drain(0), State::Leaving), (Step::End(0), State::Gone)] {
        let mut fleet = Fleet::with_target();
        fleet.step(step);
        fleet.read_everywhere();
        fleet.step(Step::Restore { lost: 1 });
        for instance in 0..INSTANCES {
            fleet.read(instance);
            assert_eq!(fleet.target_state(instance, 0), Some(state), "instance {instance}");
        }
    }
}

// Guards against new flows to a draining target whose entry was lost, and which is therefore
// missing.
#[test]
fn lost_drain() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Drain(0));
    fleet.read_everywhere();
    fleet.step(Step::Restore { lost: 2 });
    fleet.read(0);
    let catalog = fleet.instances[0].catalog();
    let target = catalog.target(0).unwrap();
    assert_eq!(target.record.state, State::Missing);
    assert!(!catalog.takes_new(target), "a draining target gets new flows");
}

// Guards against instances that keep a lost plan for good, as another one has its version.
#[test]
fn version_given_out_again() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::WritePlan);
    fleet.read_everywhere();
    let lost = fleet.accepted.plan;
    fleet.step(Step::Restore { lost: 1 });
    fleet.read_everywhere();
    assert_eq!(fleet.state(0).plan, lost, "a plan that was accepted stays in effect");
    fleet.step(Step::WritePlan);
    assert_eq!(fleet.accepted.plan.0, lost.0);
    for instance in 0..INSTANCES {
        fleet.read(instance);
        assert_eq!(fleet.state(instance).plan, fleet.accepted.plan, "instance {instance}");
    }
}

// Guards against a plan of an era in between that replaces the one in effect, as the era is
// not known in which that one was written again.
#[test]
fn version_given_out_twice() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::WritePlan);
    fleet.read_everywhere();
    let first = fleet.accepted.plan;
    fleet.step(Step::Restore { lost: 1 });
    fleet.step(Step::WritePlan);
    fleet.read(0);
    let lost = fleet.store.writes.len();
    fleet.wait(REWRITE_TIME_MS);
    let lost = fleet.store.writes.len() - lost + 1;
    fleet.step(Step::Restore { lost });
    fleet.write_plan(first.0, first.1);
    fleet.read(1);
    fleet.sent.clear();
    fleet.fetch(1, 0);
    fleet.deliver_all();
    assert_eq!(fleet.state(1).plan, first);
    fleet.read(0);
    assert_eq!(fleet.state(0).plan, first);
}

// Guards against flows to an evacuated zone, as the store has lost the key and the operator has
// not written it again yet.
#[test]
fn lost_evacuation() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Evacuate { zone: 0, is_active: true });
    fleet.read_everywhere();
    fleet.step(Step::Restore { lost: 1 });
    for _ in 0..REWRITE_MS / CALL_INTERVAL_MS {
        fleet.read(0);
        fleet.wait(CALL_INTERVAL_MS);
        assert!(fleet.instances[0].catalog().evacuations().contains("pa"));
        assert!(fleet.instances[1].catalog().evacuations().contains("pa"));
        fleet.sent.clear();
    }
    for _ in 0..4 {
        fleet.read(0);
        fleet.wait(CALL_INTERVAL_MS);
    }
    assert!(!fleet.instances[0].catalog().evacuations().contains("pa"), "the key is not written again");
    // The other instance is not told whether it was.
    assert!(fleet.instances[1].catalog().evacuations().contains("pa"));
}

// Guards against a zone that is evacuated again, as the store shows a key again whose removal
// is known, also if a peer that does not know the removal reports it first.
#[test]
fn undone_evacuation() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Evacuate { zone: 0, is_active: true });
    fleet.read_everywhere();
    fleet.step(Step::Evacuate { zone: 0, is_active: false });
    fleet.read(0);
    fleet.read(1);
    fleet.sent.clear();
    fleet.step(Step::Restore { lost: 1 });
    fleet.read(2);
    assert!(fleet.instances[2].catalog().evacuations().contains("pa"), "it does not know the removal");
    fleet.fetch(1, 2);
    fleet.deliver_all();
    fleet.read(0);
    for instance in [0, 1] {
        let evacuations = fleet.instances[instance].catalog().evacuations();
        assert!(!evacuations.contains("pa"), "instance {instance}");
    }
    fleet.deliver_all();
    assert!(!fleet.instances[2].catalog().evacuations().contains("pa"), "a peer knows the removal");
}

// Guards against an evacuation that is ignored for good, as its key was written anew with the
// number that a lost one had.
#[test]
fn evacuation_with_known_number() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Evacuate { zone: 0, is_active: true });
    fleet.read_everywhere();
    fleet.step(Step::Evacuate { zone: 0, is_active: false });
    fleet.read_everywhere();
    fleet.step(Step::Restore { lost: 2 });
    fleet.step(Step::Evacuate { zone: 0, is_active: true });
    for instance in 0..INSTANCES {
        fleet.check_survivor(instance).unwrap();
    }
}

// Guards against an instance that counts as complete although it lacks a record: the parts of
// an update with ends of missing targets require no less than the update itself.
#[test]
fn split_keeps_requirement() {
    let value = Value { born: 1, heartbeat: 1, is_leaving: false };
    let gone = |index| Record { state: State::Gone, ..record(index, value, Revision::new(2, 905)) };
    let revision = Revision::new(2, 950);
    let update = Fleet::with_target().instances[0].update(revision, (0..MANY).map(gone).collect());
    let parts = gossip::split(Update { after: revision, revision, ..update });
    assert!(parts.len() > 1);
    assert_eq!(parts.iter().map(|part| part.records.len()).sum::<usize>(), MANY);
    for part in parts {
        assert_eq!((part.after, part.revision), (revision, revision));
    }
}

// Guards against an evacuation that an instance never learns of, as it got the part of an update
// with the records and the store reader ended before the part with the evacuations arrived.
#[test]
fn evacuations_in_each_part() {
    let mut fleet = Fleet::with_target();
    let value = Value { born: 1, heartbeat: 1, is_leaving: false };
    let started = |index| record(index, value, Revision::new(1, 100 + index as u64));
    fleet.step(Step::Evacuate { zone: 0, is_active: true });
    fleet.read(0);
    let update = fleet.instances[0].update(Revision::new(1, 3), (0..MANY).map(started).collect());
    let parts = gossip::split(Update { revision: Revision::new(1, 200), ..update });
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|part| part.evacuations.iter().any(|known| known.is_active)));
}

// Guards against a late update that counts as a confirmation: later ones may have been lost.
#[test]
fn late_update() {
    let mut fleet = Fleet::with_target();
    fleet.step(Step::Heartbeat(0));
    fleet.read(0);
    let late = fleet.sent.clone();
    fleet.step(Step::Heartbeat(0));
    fleet.read(0);
    fleet.deliver_all();
    fleet.wait(500);
    for sent in late {
        fleet.deliver(sent);
    }
    assert_eq!(fleet.instances[2].sync_age_ms(fleet.now), 500);
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..70)
}

/// Checks that no running target is removed meanwhile, and that each instance agrees with the
/// store in the end if all others are lost, and with them what they have sent.
fn check(steps: Vec<Step>, has_eras: bool) -> Result<(), TestCaseError> {
    let mut fleet = Fleet { has_eras, ..Fleet::new() };
    fleet.read_everywhere();
    for step in steps {
        fleet.step(step);
        fleet.check_running()?;
    }
    fleet.rewrite();
    prop_assert_eq!(&fleet.store.keys().plan, &fleet.accepted.plan);
    for instance in 0..INSTANCES {
        fleet.check_survivor(instance)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    // Guards against instances that never agree with the store again after it has returned from
    // a backup, or that remove running targets.
    #[test]
    fn any_survivor(steps in steps()) {
        check(steps, true)?;
    }
}

// Guards against a test that would hold with bare revision numbers.
#[test]
fn bare_numbers() {
    let config =
        ProptestConfig { cases: 2_000, max_shrink_iters: 0, failure_persistence: None, ..Default::default() };
    let result = TestRunner::new(config).run(&steps(), |steps| check(steps, false));
    assert!(matches!(result, Err(TestError::Fail(..))), "{result:?}");
}
