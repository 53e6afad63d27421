//! Evacuation of an availability zone: who learns of it, and where flows go.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use ragwortlb::{
    relay::{
        Class, Entry, Kind, Packet, Plan, Route, Token, WeightedService,
        catalog::{Record, State},
        forwarder::{EvacuationChange, Forwarder, Notice, Observation, Reading, Refusal, Settings, Verdict},
        gossip::{self, MAX_FRAME_BYTES, Message, Update},
    },
    time::Time,
};

const ZONES: [&str; 3] = ["pa", "ct", "me"];
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const URGENT_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);
const TARGETS: usize = 12;
/// After the start-up time of an instance.
const START: Time = Time(5_000);

fn target(index: usize, revision: u64) -> Record {
    let entry = Entry {
        name: format!("i-{index:08x}").into(),
        number: index as u64 + 1,
        born_ms: 1,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, index as u8), 8080),
        zone: ZONES[index % 3].into(),
        slots: 4,
        leaving: false,
        warm_up_ms: 0,
        heartbeat: revision,
    };
    Record { entry, state: State::Ready, revision: revision.into() }
}

fn plan() -> Plan {
    let route = |address, priority| Route {
        address,
        shares: vec![WeightedService { service: "booking".into(), weight: 1 }],
        class: Class { priority, objective_ms: 300, timeout_ms: 2_000, ..Class::default() },
    };
    Plan { version: 1, routes: vec![route(ROUTE, 2), route(URGENT_ROUTE, 1)], ..Plan::default() }
}

fn bare(name: &str, zone: &str) -> Forwarder {
    let seed = name.bytes().fold(0, |seed, byte| 31 * seed + u64::from(byte));
    Forwarder::new(Settings { name: name.into(), zone: zone.into(), seed, ..Settings::default() })
}

fn tick(forwarder: &mut Forwarder, from: Time, to: Time) {
    for ms in (from.0..=to.0).step_by(50) {
        forwarder.tick(Time(ms));
    }
}

/// Instance that has read all targets at revision 1 and runs for some seconds.
fn forwarder(name: &str, zone: &str) -> Forwarder {
    let mut forwarder = bare(name, zone);
    let observations = (0..TARGETS).map(|index| Observation::Record(target(index, 1))).collect();
    let reading = Reading { plan: Some(plan()), observations, revision: 1.into(), ..Reading::default() };
    forwarder.apply_reading(reading, Time(1));
    tick(&mut forwarder, Time(1), START);
    forwarder.take_notices();
    forwarder
}

fn change(zone: &str, is_active: bool, revision: u64) -> EvacuationChange {
    EvacuationChange { zone: zone.into(), is_active, revision: revision.into() }
}

/// Reading that only has evacuations.
fn reading(changes: &[EvacuationChange], revision: u64) -> Reading {
    Reading { evacuations: changes.to_vec(), revision: revision.into(), ..Reading::default() }
}

fn is_evacuated(forwarder: &Forwarder, zone: &str) -> bool {
    forwarder.catalog().evacuations().contains(zone)
}

fn packet(client: u16, address: SocketAddrV4, token: Token, kind: Kind) -> Packet {
    let client = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), client);
    Packet { client, address, token, kind }
}

fn open(client: u16, copy: u32) -> Packet {
    packet(client, ROUTE, Token::NONE, Kind::Open { copy })
}

fn zone_of(forwarder: &Forwarder, verdict: Verdict) -> Option<Arc<str>> {
    let Verdict::Forward(destination) = verdict else {
        return None;
    };
    Some(forwarder.catalog().target(destination.target)?.record.entry.zone.clone())
}

/// Number of flows that each zone gets of new ones that end at once.
fn placed(forwarder: &mut Forwarder, flows: u16, now: Time) -> BTreeMap<Arc<str>, u32> {
    let mut zones = BTreeMap::new();
    for client in 1..=flows {
        let verdict = forwarder.receive(now, &open(client, 0));
        if let Verdict::Forward(destination) = verdict {
            *zones.entry(zone_of(forwarder, verdict).unwrap()).or_insert(0) += 1;
            forwarder.receive(now, &packet(client, ROUTE, destination.token, Kind::Close));
        }
    }
    zones
}

fn hear(forwarder: &mut Forwarder, names: &[(&str, &str)], now: Time) {
    for (index, (name, zone)) in names.iter().enumerate() {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index as u8), 7_720);
        forwarder.peers_mut().record_peer(&(*name).into(), &(*zone).into(), address, now);
    }
}

/// Guards against new flows to an evacuated zone, and against one that stays out of use after
/// the evacuation has ended.
#[test]
fn start_and_end() {
    let mut forwarder = forwarder("e-1", "pa");
    assert_eq!(placed(&mut forwarder, 300, START).len(), 3);
    forwarder.apply_reading(reading(&[change("pa", true, 2)], 2), START);
    // Also before the next tick divides the targets again.
    for now in [START, START + 100] {
        forwarder.tick(now);
        let zones = placed(&mut forwarder, 300, now);
        assert_eq!((zones.get("pa"), zones.len()), (None, 2), "{zones:?}");
    }
    forwarder.apply_reading(reading(&[change("pa", false, 3)], 3), START + 200);
    forwarder.tick(START + 200);
    assert!(placed(&mut forwarder, 300, START + 200)["pa"] >= 50);
    let changes = |notice: &Notice| matches!(notice, Notice::EvacuationChanged { .. });
    assert_eq!(forwarder.take_notices().iter().filter(|notice| changes(notice)).count(), 2);
}

/// Guards against an instance that misses an evacuation for good with a lost update: the next
/// one has it, also if nothing has changed.
#[test]
fn lost_update() {
    let (mut reader, mut peer) = (forwarder("e-1", "pa"), forwarder("e-2", "pa"));
    drop(reader.apply_reading(reading(&[change("ct", true, 2)], 2), START));
    let next = reader.apply_reading(reading(&[], 2), START + 900);
    peer.apply_update(next, "pa", START + 900);
    assert!(is_evacuated(&peer, "ct"));
    drop(reader.apply_reading(reading(&[change("ct", false, 3)], 3), START + 1_000));
    peer.apply_update(reader.apply_reading(reading(&[], 3), START + 1_900), "pa", START + 1_900);
    assert!(!is_evacuated(&peer, "ct"));
}

/// Guards against a delayed or repeated update that brings an ended evacuation back.
#[test]
fn late_update() {
    let (mut reader, mut peer) = (forwarder("e-1", "pa"), forwarder("e-2", "pa"));
    let start = reader.apply_reading(reading(&[change("ct", true, 2)], 2), START);
    let end = reader.apply_reading(reading(&[change("ct", false, 3)], 3), START);
    for update in [&end, &start, &end, &start] {
        peer.apply_update(update.clone(), "pa", START);
    }
    assert!(!is_evacuated(&peer, "ct"));
}

/// Guards against an instance that is complete up to a revision without the evacuations: as the
/// next reader it would continue from there and never read the key. Any part may be lost.
#[test]
fn split_update() {
    for records in [1, 5, 40] {
        let mut reader = forwarder("e-1", "pa");
        let observations = (0..records).map(|index| Observation::Record(target(index + 50, 2))).collect();
        let changes = vec![change("ct", true, 3), change("no such zone", true, 3)];
        let update = reader.apply_reading(
            Reading { observations, evacuations: changes, revision: 3.into(), ..Reading::default() },
            START,
        );
        let parts = gossip::split(update);
        for lost in 0..=parts.len() {
            let mut peer = forwarder("e-2", "pa");
            for (_, part) in parts.iter().enumerate().filter(|(index, _)| *index != lost) {
                peer.apply_update(part.clone(), "pa", START);
            }
            let is_complete = peer.catalog().target_revision() >= 3.into();
            assert!(is_evacuated(&peer, "ct") || !is_complete, "part {lost} of {} is lost", parts.len());
        }
    }
}

/// Guards against datagrams that are too long, with many zones or long names.
#[test]
fn long_lists() {
    for (zones, name_bytes) in [(1, 200), (3, 200), (32, 8), (40, 200)] {
        let mut reader = forwarder("e-1", "pa");
        let zone = |index| format!("{index:0name_bytes$}");
        let changes: Vec<_> = (0..zones).map(|index| change(&zone(index), true, 2)).collect();
        let observations = (0..30).map(|index| Observation::Record(target(index + 50, 2))).collect();
        let update = reader.apply_reading(
            Reading { observations, evacuations: changes, revision: 2.into(), ..Reading::default() },
            START,
        );
        for part in gossip::split(update) {
            let frame =
                gossip::Frame { sender: "e-1".into(), zone: "pa".into(), message: Message::Update(part) };
            let bytes = frame.to_bytes().len();
            assert!(bytes <= MAX_FRAME_BYTES, "{zones} zones of {name_bytes} bytes: {bytes} bytes");
        }
    }
}

/// Guards against an instance that starts, or was cut off, and takes a peer's state without its
/// evacuations or with one that has ended meanwhile.
#[test]
fn snapshots() {
    let mut peer = forwarder("e-1", "pa");
    peer.apply_reading(reading(&[change("ct", true, 2)], 2), START);
    let mut started = bare("e-2", "me");
    started.apply_snapshot(peer.snapshot(&started.known_state()), START);
    assert!(is_evacuated(&started, "ct"));
    tick(&mut started, START, START + 2_500);
    assert!(!placed(&mut started, 200, START + 2_500).contains_key("ct"));

    let mut cut_off = forwarder("e-3", "me");
    cut_off.apply_snapshot(peer.snapshot(&cut_off.known_state()), START);
    assert!(is_evacuated(&cut_off, "ct"));
    peer.apply_reading(reading(&[change("ct", false, 3), change("pa", true, 4)], 4), START);
    // It misses the updates, sees a gap with a later one, and fetches a snapshot.
    peer.apply_reading(reading(&[], 9), START);
    cut_off.apply_snapshot(peer.snapshot(&cut_off.known_state()), START);
    assert!(!is_evacuated(&cut_off, "ct") && is_evacuated(&cut_off, "pa"));
}

/// Guards against an evacuation that is known only to instances which did not read it: a
/// zone's reader ignores the targets of updates from other zones, but not their evacuations.
#[test]
fn other_zones() {
    let mut reader = forwarder("e-1", "pa");
    let mut other_reader = forwarder("e-2", "ct");
    let update = reader.apply_reading(reading(&[change("me", true, 2)], 2), START);
    assert!(!other_reader.apply_update(update, "pa", START));
    assert!(is_evacuated(&other_reader, "me"));
    assert_eq!(other_reader.catalog().revision(), 1.into(), "it reads the store from here");
    // Without the store it passes the update on in its zone.
    other_reader.set_store_unreachable(true);
    let update = reader.apply_reading(reading(&[change("me", false, 3)], 3), START);
    let update = Update { after: 1.into(), ..update };
    assert!(other_reader.apply_update(update, "pa", START));
    assert!(!is_evacuated(&other_reader, "me"));
}

/// Guards against a gap between two readers: the one that takes over reads from its own
/// revision on, and tells the others, also those that had the update of the former one.
#[test]
fn takeover() {
    let names = ["e-1", "e-2", "e-3"];
    let mut instances: Vec<_> = names.iter().map(|name| forwarder(name, "pa")).collect();
    for (own, instance) in instances.iter_mut().enumerate() {
        let others: Vec<_> = (0..3).filter(|other| *other != own).map(|other| (names[other], "pa")).collect();
        hear(instance, &others, START);
    }
    let reader = instances.iter().position(|instance| instance.is_reader(START)).unwrap();
    let update = instances[reader].apply_reading(reading(&[change("ct", true, 2)], 2), START);
    instances.remove(reader);
    // The update reaches one of the others.
    instances[0].apply_update(update, "pa", START);
    let now = START + 2_000;
    tick(&mut instances[1], START, now);
    assert!(instances[1].takeover_delay_ms(now) <= 1_700);
    // The other one takes over from revision 1.
    let update = instances[1].apply_reading(reading(&[change("ct", true, 2)], 3), now);
    instances[0].apply_update(update, "pa", now);
    assert!(instances.iter().all(|instance| is_evacuated(instance, "ct")));
}

/// Guards against an evacuation that stays when its end was compacted, and against a read of all
/// keys that is older than what is known.
#[test]
fn full_read() {
    let mut forwarder = forwarder("e-1", "pa");
    forwarder.apply_reading(reading(&[change("ct", true, 2), change("me", true, 3)], 3), START);
    let unlisted = |forwarder: &Forwarder, listed: &[&str], revision: u64| -> Vec<EvacuationChange> {
        let listed: Vec<Arc<str>> = listed.iter().map(|zone| Arc::from(*zone)).collect();
        let ended = forwarder.catalog().evacuations().unlisted(&listed, revision.into());
        ended.into_iter().map(EvacuationChange::from).collect()
    };
    assert_eq!(unlisted(&forwarder, &["ct"], 2), []);
    let mut changes = unlisted(&forwarder, &["me", "pa"], 20);
    assert_eq!(changes, [change("ct", false, 20)]);
    changes.extend([change("me", true, 3), change("pa", true, 15)]);
    forwarder.apply_reading(reading(&changes, 20), START);
    let evacuated: Vec<_> = ZONES.iter().map(|zone| is_evacuated(&forwarder, zone)).collect();
    assert_eq!(evacuated, [true, false, true]);
}

/// Guards against changes that are lost or applied in the wrong order if the key is written and
/// removed within one reading.
#[test]
fn written_and_removed_at_once() {
    let [write, remove, rewrite] = [change("ct", true, 2), change("ct", false, 3), change("ct", true, 4)];
    let cases = [
        (vec![write.clone(), remove.clone()], false),
        (vec![write.clone(), remove.clone(), rewrite.clone()], true),
        (vec![remove.clone()], false),
        (vec![remove, rewrite], true),
    ];
    for (changes, is_active) in cases {
        let (mut reader, mut peer) = (forwarder("e-1", "pa"), forwarder("e-2", "pa"));
        let update = reader.apply_reading(reading(&changes, 5), START);
        peer.apply_update(update, "pa", START);
        assert_eq!((is_evacuated(&reader, "ct"), is_evacuated(&peer, "ct")), (is_active, is_active));
    }
}

/// Guards against effects of a key that names no zone with targets, and against a list that
/// grows without limit.
#[test]
fn unknown_zones() {
    let mut forwarder = forwarder("e-1", "pa");
    let long = "x".repeat(10_000);
    let changes: Vec<_> = ["nowhere", "", "pa/ct", &long].map(|zone| change(zone, true, 2)).to_vec();
    forwarder.apply_reading(reading(&changes, 2), START);
    forwarder.tick(START);
    assert_eq!(placed(&mut forwarder, 300, START).len(), 3);
    let changes: Vec<_> = (0..1_000).map(|index| change(&format!("zone-{index}"), false, 3)).collect();
    forwarder.apply_reading(reading(&changes, 3), START);
    assert!(forwarder.catalog().evacuations().iter().count() <= 32);
    assert!(is_evacuated(&forwarder, "nowhere"));
}

/// Guards against copies of an opening packet, and probes of an ejected target, that go to an
/// evacuated zone.
#[test]
fn copies_and_probes() {
    let mut forwarder = forwarder("e-1", "pa");
    let mut opened = HashMap::new();
    for client in 1..=40 {
        let verdict = forwarder.receive(START, &open(client, 0));
        opened.insert(client, zone_of(&forwarder, verdict));
    }
    assert!(opened.values().any(|zone| zone.as_deref() == Some("ct")));
    forwarder.apply_reading(reading(&[change("ct", true, 2)], 2), START + 10);
    for (copy, at) in [(1, START + 20), (1, START + 200), (2, START + 600)] {
        forwarder.tick(at);
        for client in 1..=40 {
            let verdict = forwarder.receive(at, &open(client, copy));
            assert_ne!(zone_of(&forwarder, verdict).as_deref(), Some("ct"), "copy {copy}");
        }
    }
    // The targets that left packets unanswered are ejected; a probe would be due.
    for ms in (1_000..20_000).step_by(50) {
        let now = START + ms;
        forwarder.tick(now);
        let verdict = forwarder.receive(now, &open(1_000 + ms as u16, 0));
        assert_ne!(zone_of(&forwarder, verdict).as_deref(), Some("ct"));
    }
}

/// Guards against open flows that lose their target.
#[test]
fn open_flows() {
    let mut forwarder = forwarder("e-1", "pa");
    let mut tokens = Vec::new();
    for client in 1..=30 {
        if let Verdict::Forward(destination) = forwarder.receive(START, &open(client, 0)) {
            tokens.push((client, destination));
        }
    }
    assert!(tokens.len() >= 20);
    let changes: Vec<_> = ZONES.iter().map(|zone| change(zone, true, 2)).collect();
    forwarder.apply_reading(reading(&changes, 2), START);
    let mut now = START;
    for acked in [0, 1_200, 2_400] {
        now = now + 100;
        forwarder.tick(now);
        for (client, destination) in &tokens {
            let kind = Kind::Data { request: acked > 0, acked };
            let verdict = forwarder.receive(now, &packet(*client, ROUTE, destination.token, kind));
            assert_eq!(verdict, Verdict::Forward(*destination));
        }
    }
    // Also on an instance that has not seen the flow before.
    let mut other = self::forwarder("e-2", "ct");
    other.apply_reading(reading(&changes, 2), START);
    for (client, destination) in &tokens {
        let kind = Kind::Data { request: true, acked: 3_600 };
        let verdict = other.receive(now, &packet(*client, ROUTE, destination.token, kind));
        assert_eq!(verdict, Verdict::Forward(*destination));
    }
}

/// Guards against moved flows that gather on a few of the remaining targets, in a small fleet
/// and in each cell of a large one.
#[test]
fn even_spread() {
    let mut counts: HashMap<usize, u32> = HashMap::new();
    let fleet: Vec<_> = (0..36).map(|index| (format!("e-{index}"), ZONES[index % 3])).collect();
    for (own, (name, zone)) in fleet.iter().enumerate() {
        let mut forwarder = forwarder(name, zone);
        let peers: Vec<_> = fleet.iter().map(|(name, zone)| (name.as_str(), *zone)).collect();
        let peers: Vec<_> = peers.into_iter().enumerate().filter(|(other, _)| *other != own).collect();
        let peers: Vec<_> = peers.into_iter().map(|(_, peer)| peer).collect();
        hear(&mut forwarder, &peers, START);
        tick(&mut forwarder, START, START + 100);
        forwarder.apply_reading(reading(&[change("ct", true, 2)], 2), START + 100);
        hear(&mut forwarder, &peers, START + 200);
        tick(&mut forwarder, START + 150, START + 250);
        for client in 1..=100 {
            let now = START + 250;
            if let Verdict::Forward(destination) = forwarder.receive(now, &open(client, 0)) {
                *counts.entry(destination.target).or_default() += 1;
                forwarder.receive(now, &packet(client, ROUTE, destination.token, Kind::Close));
            }
        }
    }
    assert_eq!(counts.len(), 8, "{counts:?}");
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    println!("flows by target: {least} to {most}");
    assert!(*most as f32 <= 1.6 * *least as f32, "{counts:?}");
}

/// Guards against urgent flows that are refused while others are placed when the remaining zone
/// is too small.
#[test]
fn urgent_first() {
    let mut forwarder = forwarder("e-1", "pa");
    forwarder.apply_reading(reading(&[change("ct", true, 2), change("me", true, 2)], 2), START);
    forwarder.tick(START);
    let mut placed = [0, 0];
    let mut urgent_before = None;
    for client in 1..=200 {
        for (class, address) in [ROUTE, URGENT_ROUTE].into_iter().enumerate() {
            let opening = packet(client, address, Token::NONE, Kind::Open { copy: 0 });
            if let Verdict::Forward(_) = forwarder.receive(START, &opening) {
                placed[class] += 1;
                assert!(class == 1 || urgent_before.is_none(), "a flow of the other class is placed again");
            } else if class == 0 {
                urgent_before.get_or_insert(placed[1]);
            }
        }
    }
    let [other, urgent] = placed;
    println!("{urgent} urgent flows, {other} others");
    // What is refused to the other class is left for a quarter of the slots at least.
    assert!(
        urgent_before.is_some_and(|before| urgent >= before + 4),
        "{urgent} urgent flows, {other} others"
    );
    assert!(urgent + other >= 4 * 4, "the slots of the remaining zone are used");
}

/// Guards against clients that wait when no target is left, and against a log line for each of
/// their flows.
#[test]
fn all_evacuated() {
    let mut forwarder = forwarder("e-1", "pa");
    let changes: Vec<_> = ZONES.iter().map(|zone| change(zone, true, 2)).collect();
    forwarder.apply_reading(reading(&changes, 2), START);
    for client in 1..=500 {
        let now = START + u64::from(client);
        forwarder.tick(now);
        assert_eq!(forwarder.receive(now, &open(client, 0)), Verdict::Refuse(Refusal::Evacuated));
    }
    let services = |notices: Vec<Notice>| -> Vec<bool> {
        let flag = |notice| match notice {
            Notice::ServiceEvacuated { is_evacuated, .. } => Some(is_evacuated),
            _ => None,
        };
        notices.into_iter().filter_map(flag).collect()
    };
    assert_eq!(services(forwarder.take_notices()), [true]);
    forwarder.apply_reading(reading(&[change("me", false, 3)], 3), START + 600);
    for ms in (600..1_000).step_by(50) {
        forwarder.tick(START + ms);
    }
    assert_eq!(services(forwarder.take_notices()), [false]);
    assert_eq!(placed(&mut forwarder, 50, START + 950).len(), 1);
}
