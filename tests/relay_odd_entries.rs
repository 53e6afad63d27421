//! An odd entry costs itself alone, on each way by which an instance gets it: a watch, a read
//! of all keys at the start, an update and a snapshot of a peer.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry, Plan,
        catalog::{Mark, Record, State},
        forwarder::{Forwarder, Observation, Reading, Settings},
        gossip::{self, KnownState, MAX_FRAME_BYTES, Snapshot, Update},
    },
    time::Time,
};

const NOW: Time = Time(1);

/// Valid targets.
const TARGETS: u64 = 40;

/// Store revision of the odd entry.
const ODD_REVISION: u64 = 20;

fn record(revision: u64) -> Record {
    let entry = Entry {
        name: format!("i-{revision:08x}").into(),
        number: revision,
        born_ms: 1_700_000_000_000,
        service: "matching".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, revision as u8), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 0,
        heartbeat: 1,
    };
    Record { entry, state: State::Ready, revision: revision.into() }
}

fn odd_record() -> impl Strategy<Value = Record> {
    let odd: Vec<fn(&mut Entry)> = vec![
        |entry| entry.number = 0,
        |entry| entry.slots = 0,
        |entry| entry.slots = u32::MAX,
        |entry| entry.warm_up_ms = u64::MAX,
        |entry| entry.address.set_port(0),
        |entry| entry.address.set_ip(Ipv4Addr::UNSPECIFIED),
        |entry| entry.address.set_ip(Ipv4Addr::new(239, 0, 0, 1)),
        |entry| entry.address.set_ip(Ipv4Addr::BROADCAST),
        |entry| entry.name = "n".repeat(100_000).into(),
        |entry| entry.service = "s".repeat(100_000).into(),
        |entry| entry.zone = "z".repeat(100_000).into(),
    ];
    prop::sample::select(odd).prop_map(|change| {
        let mut record = record(ODD_REVISION);
        change(&mut record.entry);
        record
    })
}

/// Records of all targets and the odd one, in the order of their revisions.
fn records(odd: Record) -> Vec<Record> {
    (1..=TARGETS)
        .map(|revision| if revision == ODD_REVISION { odd.clone() } else { record(revision) })
        .collect()
}

fn plan() -> Plan {
    Plan { version: 1, idle_ms: 15_000, ..Plan::default() }
}

fn names(forwarder: &Forwarder) -> BTreeSet<Arc<str>> {
    forwarder.catalog().records().map(|record| record.entry.name.clone()).collect()
}

fn expected() -> BTreeSet<Arc<str>> {
    (1..=TARGETS)
        .filter(|revision| *revision != ODD_REVISION)
        .map(|revision| record(revision).entry.name)
        .collect()
}

fn forwarder(name: &str) -> Forwarder {
    let mut forwarder = Forwarder::new(Settings { name: name.into(), ..Settings::default() });
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7_720);
    // A peer, so that one of the instances is not the store reader.
    for peer in ["e-1", "e-2"].into_iter().filter(|peer| *peer != name) {
        forwarder.peers_mut().record_peer(&peer.into(), &"zone".into(), address, Time(0));
    }
    forwarder
}

fn apply(forwarder: &mut Forwarder, records: Vec<Record>) -> Update {
    let observations = records.into_iter().map(Observation::Record).collect();
    forwarder.apply_reading(
        Reading { plan: Some(plan()), observations, revision: TARGETS.into(), ..Reading::default() },
        NOW,
    )
}

proptest! {
    // Guards against instances that lose the other targets, or stop following the store, because
    // of one odd entry.
    #[test]
    fn others_hold(odd in odd_record()) {
        // At the start, and with a watch.
        let mut reader = forwarder("e-1");
        let update = apply(&mut reader, records(odd.clone()));
        prop_assert_eq!(names(&reader), expected());
        prop_assert_eq!(reader.catalog().revision(), TARGETS.into());

        // An update.
        let parts = gossip::split(Update { after: 0.into(), ..update });
        let mut peer = forwarder("e-2");
        for part in parts {
            let frame = gossip::Frame {
                sender: "edge-pa-1-of-a-long-name".into(),
                zone: "availability-zone".into(),
                message: gossip::Message::Update(part.clone()),
            };
            prop_assert!(frame.to_bytes().len() <= MAX_FRAME_BYTES);
            peer.apply_update(part, "zone", NOW);
        }
        prop_assert_eq!(names(&peer), expected());
        prop_assert_eq!(peer.catalog().target_revision(), TARGETS.into());
        prop_assert!(!peer.is_behind());

        // A snapshot, and one that holds the odd entry.
        let snapshot = reader.snapshot(&KnownState::default());
        let mut started = forwarder("e-2");
        started.apply_snapshot(Snapshot::from_bytes(&snapshot.to_bytes()).unwrap(), NOW);
        prop_assert_eq!(names(&started), expected());
        let foreign = Snapshot {
            revision: TARGETS.into(),
            plan_mark: Mark { plan: plan().id(), revision: TARGETS.into() },
            plan: plan(),
            is_complete: true,
            records: records(odd),
            members: Vec::new(),
            ..Snapshot::default()
        };
        let mut started = forwarder("e-2");
        started.apply_snapshot(Snapshot::from_bytes(&foreign.to_bytes()).unwrap(), NOW);
        prop_assert_eq!(names(&started), expected());
        prop_assert_eq!(started.catalog().revision(), TARGETS.into());
    }
}
