//! An instance that continues to read the store from its revision lacks nothing, neither a
//! record nor the plan, in whatever order it got its state and whoever is lost.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry, Plan,
        catalog::{Catalog, Record, State},
        forwarder::{Forwarder, Observation, Reading, Settings},
        gossip::{self, Frame, KnownState, Message, Snapshot, Update},
    },
    time::Time,
};

/// Instances, in two availability zones in turn.
const INSTANCES: usize = 5;

const TARGETS: usize = 30;

/// Targets that are written at once, more than fit into one datagram.
const RELEASE: usize = 28;

const NOW: Time = Time(1);

/// Key of the store, or a key's value. The value of a target is absent once it has ended.
#[derive(Clone, Debug)]
enum Write {
    Plan { version: u64 },
    Target { index: usize, state: Option<State> },
}

/// Store that keeps its history: the write of each revision, beginning at 1.
#[derive(Default)]
struct Store {
    writes: Vec<Write>,
}

/// Latest state of the store up to a revision.
#[derive(Debug, Default, PartialEq, Eq)]
struct Keys {
    plan_version: u64,
    /// Targets that have not ended: state and revision.
    targets: BTreeMap<usize, (State, u64)>,
}

impl Store {
    fn revision(&self) -> u64 {
        self.writes.len() as u64
    }

    fn keys(&self, revision: u64) -> Keys {
        let mut keys = Keys::default();
        for (write, at) in self.writes.iter().zip(1..=revision) {
            match write {
                Write::Plan { version } => keys.plan_version = *version,
                Write::Target { index, state: Some(state) } => {
                    keys.targets.insert(*index, (*state, at));
                }
                Write::Target { index, state: None } => {
                    keys.targets.remove(index);
                }
            }
        }
        keys
    }

    /// Revisions at which a target ended.
    fn ends(&self, target: usize) -> impl Iterator<Item = u64> {
        let is_end =
            move |write: &Write| matches!(write, Write::Target { index, state: None } if *index == target);
        self.writes.iter().zip(1..).filter(move |(write, _)| is_end(write)).map(|(_, revision)| revision)
    }

    /// What a watch from a revision returns.
    fn changes(&self, after: u64) -> Reading {
        let mut reading = Reading { revision: self.revision().into(), ..Reading::default() };
        for (write, revision) in self.writes.iter().zip(1..).skip(after as usize) {
            match write {
                Write::Plan { version } => reading.plan = Some(plan(*version)),
                Write::Target { index, state: Some(state) } => {
                    reading.observations.push(Observation::Record(record(*index, *state, revision)));
                }
                Write::Target { index, state: None } => {
                    let ended = Observation::Ended {
                        name: name(*index),
                        revision: revision.into(),
                        store_unstable: false,
                    };
                    reading.observations.push(ended);
                }
            }
        }
        reading
    }

    /// What a read of all keys returns that shows the store at a revision.
    fn all(&self, revision: u64, catalog: &Catalog) -> Reading {
        let keys = self.keys(revision);
        let listed: Vec<Arc<str>> = keys.targets.keys().map(|index| name(*index)).collect();
        let mut records = catalog.unlisted(&listed, revision.into(), false);
        records.extend(keys.targets.iter().map(|(index, (state, at))| record(*index, *state, *at)));
        let plan = (keys.plan_version > 0).then(|| plan(keys.plan_version));
        let observations = records.into_iter().map(Observation::Record).collect();
        Reading { plan, observations, revision: revision.into(), ..Reading::default() }
    }
}

fn name(index: usize) -> Arc<str> {
    format!("i-{index:08x}").into()
}

fn plan(version: u64) -> Plan {
    Plan { version, idle_ms: 15_000, ..Plan::default() }
}

fn record(index: usize, state: State, revision: u64) -> Record {
    let entry = Entry {
        name: name(index),
        number: index as u64 + 1,
        born_ms: 1,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: state == State::Leaving,
        warm_up_ms: 0,
        heartbeat: revision,
    };
    Record { entry, state, revision: revision.into() }
}

fn zone(instance: usize) -> &'static str {
    ["pa", "ct"][instance % 2]
}

/// Message on its way to an instance.
#[derive(Clone)]
enum Sent {
    Update { to: usize, from: usize, update: Update },
    Snapshot { to: usize, snapshot: Snapshot },
}

impl Sent {
    fn to(&self) -> usize {
        match self {
            Sent::Update { to, .. } | Sent::Snapshot { to, .. } => *to,
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    WritePlan,
    WriteTarget {
        index: usize,
        state: Option<State>,
    },
    /// Writes many targets.
    Release {
        first: usize,
    },
    /// An instance watches the store, whether or not it is the store reader of its zone.
    Watch {
        instance: usize,
    },
    /// An instance starts again without any state, and reads all keys as they were some
    /// revisions ago.
    Start {
        instance: usize,
        age: u64,
    },
    /// An instance starts again without any state, and waits for a peer's snapshot.
    StartEmpty {
        instance: usize,
    },
    /// A running instance reads all keys.
    ReadAll {
        instance: usize,
        age: u64,
    },
    /// Peers without the store apply updates of other zones.
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
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    let state = prop_oneof![
        3 => Just(Some(State::Ready)),
        2 => Just(Some(State::Leaving)),
        2 => Just(None),
    ];
    prop_oneof![
        3 => Just(Step::WritePlan),
        4 => (0..TARGETS, state).prop_map(|(index, state)| Step::WriteTarget { index, state }),
        1 => (0..TARGETS).prop_map(|first| Step::Release { first }),
        6 => instance.clone().prop_map(|instance| Step::Watch { instance }),
        1 => (instance.clone(), 0..9u64).prop_map(|(instance, age)| Step::Start { instance, age }),
        1 => instance.clone().prop_map(|instance| Step::StartEmpty { instance }),
        1 => (instance.clone(), 0..9u64).prop_map(|(instance, age)| Step::ReadAll { instance, age }),
        1 => (instance.clone(), any::<bool>())
            .prop_map(|(instance, is_unreachable)| Step::SetUnreachable { instance, is_unreachable }),
        4 => (instance.clone(), instance).prop_map(|(to, from)| Step::Fetch { to, from }),
        16 => (any::<usize>(), any::<bool>())
            .prop_map(|(message, is_removed)| Step::Deliver { message, is_removed }),
        4 => any::<usize>().prop_map(|message| Step::Lose { message }),
    ]
}

struct Fleet {
    store: Store,
    instances: Vec<Forwarder>,
    sent: Vec<Sent>,
}

impl Fleet {
    fn new() -> Fleet {
        let instances = (0..INSTANCES).map(start).collect();
        Fleet { store: Store::default(), instances, sent: Vec::new() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::WritePlan => {
                let version = self.store.keys(self.store.revision()).plan_version + 3;
                self.store.writes.push(Write::Plan { version });
            }
            Step::WriteTarget { index, state } => self.store.writes.push(Write::Target { index, state }),
            Step::Release { first } => {
                let targets = (first..first + RELEASE).map(|index| index % TARGETS);
                let write = |index| Write::Target { index, state: Some(State::Ready) };
                self.store.writes.extend(targets.map(write));
            }
            Step::Watch { instance } => self.watch(instance),
            Step::Start { instance, age } => {
                self.stop(instance);
                self.read_all(instance, age);
            }
            Step::StartEmpty { instance } => self.stop(instance),
            Step::ReadAll { instance, age } => self.read_all(instance, age),
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
        }
    }

    /// Index of a drawn message; none if there is no message.
    fn message(&self, drawn: usize) -> Option<usize> {
        (!self.sent.is_empty()).then(|| drawn % self.sent.len())
    }

    /// Replaces an instance by one without state. Messages to it are lost.
    fn stop(&mut self, instance: usize) {
        self.instances[instance] = start(instance);
        self.sent.retain(|sent| sent.to() != instance);
    }

    fn watch(&mut self, instance: usize) {
        let catalog = self.instances[instance].catalog();
        // An instance watches only once it has state.
        if !catalog.revision().is_some() {
            return;
        }
        let reading = self.store.changes(catalog.revision().number);
        let update = self.instances[instance].apply_reading(reading, NOW);
        for part in gossip::split(update) {
            self.send_update(instance, &part);
        }
    }

    fn read_all(&mut self, instance: usize, age: u64) {
        let revision = self.store.revision().saturating_sub(age);
        let reading = self.store.all(revision, self.instances[instance].catalog());
        let before = self.instances[instance].catalog().target_revision();
        self.instances[instance].apply_reading(reading, NOW);
        self.instances[instance].record_skipped(before);
    }

    fn send_update(&mut self, from: usize, update: &Update) {
        let sender = format!("edge-{from}");
        let message = Message::Update(update.clone());
        let frame = Frame { sender: sender.into(), zone: zone(from).into(), message };
        let Message::Update(update) = Frame::from_bytes(&frame.to_bytes()).unwrap().message else {
            panic!("an update is decoded as another message");
        };
        for to in (0..INSTANCES).filter(|to| *to != from) {
            self.sent.push(Sent::Update { to, from, update: update.clone() });
        }
    }

    fn fetch(&mut self, to: usize, from: usize) {
        let known = KnownState::from_bytes(&self.instances[to].known_state().to_bytes()).unwrap();
        let snapshot = self.instances[from].snapshot(&known);
        // The same condition as in the daemon: the peer has state, and one of both a plan.
        if to != from && snapshot.revision.is_some() && known.plan.version.max(snapshot.plan.version) > 0 {
            let snapshot = Snapshot::from_bytes(&snapshot.to_bytes()).unwrap();
            self.sent.push(Sent::Snapshot { to, snapshot });
        }
    }

    fn deliver(&mut self, sent: Sent) {
        match sent {
            Sent::Update { to, from, update } => {
                let passes_on = self.instances[to].apply_update(update.clone(), zone(from), NOW);
                if passes_on {
                    let peers = (0..INSTANCES).filter(|peer| *peer != to && zone(*peer) == zone(to));
                    self.sent.extend(peers.map(|peer| Sent::Update {
                        to: peer,
                        from: to,
                        update: update.clone(),
                    }));
                }
            }
            Sent::Snapshot { to, snapshot } => self.instances[to].apply_snapshot(snapshot, NOW),
        }
    }

    /// Checks that no instance lacks what was written up to its revision.
    fn check(&self) -> Result<(), TestCaseError> {
        for (index, instance) in self.instances.iter().enumerate() {
            let catalog = instance.catalog();
            let (plan_revision, target_revision) = (catalog.plan_mark().revision, catalog.target_revision());
            let expected = self.store.keys(plan_revision.number).plan_version;
            prop_assert!(
                catalog.plan().version >= expected,
                "instance {} has plan {} and not {} at revision {}",
                index,
                catalog.plan().version,
                expected,
                plan_revision
            );
            for (target, (_, revision)) in self.store.keys(target_revision.number).targets {
                let found = catalog.records().find(|record| record.entry.name == name(target));
                // A peer may have known a later end and passed on nothing else.
                let has_ended = || self.store.ends(target).any(|end| end > target_revision.number);
                prop_assert!(
                    found.map_or_else(has_ended, |record| record.revision.number >= revision),
                    "instance {} lacks target {} of revision {} at revision {}",
                    index,
                    target,
                    revision,
                    target_revision
                );
            }
        }
        Ok(())
    }
}

/// Instance without state. In each zone the instance of lowest rank is the store reader.
fn start(instance: usize) -> Forwarder {
    let settings = Settings {
        name: format!("edge-{instance}").into(),
        zone: zone(instance).into(),
        ..Settings::default()
    };
    let mut forwarder = Forwarder::new(settings);
    for peer in (0..INSTANCES).filter(|peer| *peer != instance) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, peer as u8), 7_720);
        forwarder.peers_mut().record_peer(
            &format!("edge-{peer}").into(),
            &zone(peer).into(),
            address,
            Time(0),
        );
    }
    forwarder
}

/// Plan and targets of an instance that have not ended.
fn keys(catalog: &Catalog) -> Keys {
    let records = catalog.records().filter(|record| record.state != State::Gone);
    let index = |name: &str| usize::from_str_radix(&name[2..], 16).unwrap();
    let targets = records.map(|record| (index(&record.entry.name), (record.state, record.revision.number)));
    Keys { plan_version: catalog.plan().version, targets: targets.collect() }
}

// Guards against a target that gets flows for good, as its end came in the same reading as
// its start, when the catalog did not know it yet.
#[test]
fn added_and_ended() {
    let mut fleet = Fleet::new();
    fleet.step(Step::WritePlan);
    fleet.read_all(0, 0);
    fleet.step(Step::WriteTarget { index: 0, state: Some(State::Ready) });
    fleet.step(Step::WriteTarget { index: 0, state: None });
    fleet.watch(0);
    let states: Vec<State> = fleet.instances[0].catalog().records().map(|record| record.state).collect();
    assert_eq!(states, [State::Gone]);
}

// Guards against a target that gets flows for good, as a reading that began before its end
// arrived after the end was known.
#[test]
fn stale_reading() {
    let mut fleet = Fleet::new();
    fleet.step(Step::WritePlan);
    fleet.step(Step::WriteTarget { index: 0, state: Some(State::Ready) });
    fleet.read_all(0, 0);
    fleet.step(Step::WriteTarget { index: 0, state: None });
    fleet.watch(0);
    fleet.fetch(1, 0);
    let snapshot = fleet.sent.pop().unwrap();
    fleet.deliver(snapshot);
    fleet.read_all(1, 1);
    let mut records = fleet.instances[1].catalog().records();
    assert!(records.all(|record| record.state == State::Gone), "the target has ended");
}

// Guards against a target that gets flows for good, as an update from between its first end and
// a read of all keys arrived late. Its record is later than the known end.
#[test]
fn late_restart() {
    let mut fleet = Fleet::new();
    fleet.step(Step::WritePlan);
    fleet.step(Step::WriteTarget { index: 0, state: Some(State::Ready) });
    fleet.read_all(0, 0);
    fleet.read_all(2, 0);
    fleet.step(Step::WriteTarget { index: 0, state: None });
    fleet.watch(0);
    fleet.step(Step::WriteTarget { index: 0, state: Some(State::Ready) });
    fleet.sent.clear();
    fleet.watch(2);
    fleet.step(Step::WriteTarget { index: 0, state: None });
    fleet.read_all(0, 0);
    let late = fleet.sent.iter().find(|sent| sent.to() == 0).cloned().unwrap();
    fleet.deliver(late);
    let mut records = fleet.instances[0].catalog().records();
    assert!(records.all(|record| record.state == State::Gone), "the target has ended");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    // Guards against instances that never take up a plan, as they were told of later
    // targets by a store reader that was lost before it passed the plan on.
    #[test]
    fn any_survivor(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::new();
        fleet.step(Step::WritePlan);
        for instance in 0..INSTANCES {
            fleet.read_all(instance, 0);
        }
        for step in steps {
            fleet.step(step);
            fleet.check()?;
        }
        // All others are lost, and with them what they have sent.
        let expected = fleet.store.keys(fleet.store.revision());
        for instance in 0..INSTANCES {
            if !fleet.instances[instance].catalog().revision().is_some() {
                fleet.read_all(instance, 0);
            } else {
                fleet.watch(instance);
            }
            prop_assert_eq!(&keys(fleet.instances[instance].catalog()), &expected, "instance {}", instance);
        }
    }
}
