//! Messages between instances: encoding, updates of the catalog, store readers, liveness.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry, PlanId,
        catalog::{Mark, Record, State},
        forwarder::{Forwarder, Observation, Reading, Settings},
        gossip::{self, Frame, MAX_FRAME_BYTES, Member, Message, Snapshot, Update},
        peers::{PEER_TIMEOUT_MS, Peers, ZONE_TIMEOUT_MS},
    },
    time::Time,
};

fn records(count: u64) -> Vec<Record> {
    let entry = |index: u64| Entry {
        name: format!("i-{index:016x}").into(),
        number: index,
        born_ms: 1_700_000_000_000,
        service: "matching-service".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 8080),
        zone: "availability-zone".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 2_000,
        heartbeat: index,
    };
    (1..=count)
        .map(|index| Record { entry: entry(index), state: State::Ready, revision: index.into() })
        .collect()
}

/// Plan of a sender that has none either.
fn mark(revision: u64) -> Mark {
    Mark { plan: PlanId::default(), revision: revision.into() }
}

fn frame(message: Message) -> Frame {
    Frame { sender: "edge-pa-1-of-a-long-name".into(), zone: "availability-zone".into(), message }
}

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), 7_720)
}

#[test]
fn records_in_datagrams() {
    let parts = gossip::split(Update { records: records(200), ..update(3, 200) });
    assert!(parts.len() > 1);
    for records in &parts {
        assert!(frame(Message::Update(records.clone())).to_bytes().len() <= MAX_FRAME_BYTES);
    }
    assert_eq!(parts.iter().map(|part| part.records.len()).sum::<usize>(), 200);
    assert_eq!(parts[0].after, 3.into());
    assert!(parts.windows(2).all(|pair| pair[0].revision == pair[1].after));
    assert_eq!(parts.last().unwrap().revision, 200.into());
}

/// Forwarder that starts at revision zero and gets all parts but one.
fn forwarder_without(parts: &[Update], lost: usize) -> Forwarder {
    let mut forwarder = Forwarder::new(Settings { zone: "pa".into(), ..Settings::default() });
    for (_, part) in parts.iter().enumerate().filter(|(index, _)| *index != lost) {
        forwarder.apply_update(part.clone(), "pa", Time(1));
    }
    forwarder
}

#[test]
fn lost_part() {
    let parts = gossip::split(Update { records: records(200), ..update(0, 200) });
    for lost in 0..parts.len() {
        let forwarder = forwarder_without(&parts, lost);
        assert!(forwarder.catalog().revision() < 200.into(), "part {lost} is lost");
        assert_eq!(forwarder.is_behind(), lost + 1 < parts.len(), "part {lost} is lost");
    }
    assert_eq!(forwarder_without(&parts, parts.len()).catalog().revision(), 200.into());
}

#[test]
fn oversized_revision() {
    let mut same = records(40);
    same.iter_mut().for_each(|record| record.revision = 9.into());
    let parts = gossip::split(Update { records: same, ..update(0, 9) });
    let forwarder = forwarder_without(&parts, parts.len());
    assert!(forwarder.is_behind(), "records that do not fit must be fetched");
    assert!(forwarder.catalog().revision() < 9.into());
}

#[test]
fn members_in_datagram() {
    let member = |index| Member {
        name: format!("edge-pa-{index}-of-a-longer-name").into(),
        zone: "zone".into(),
        address: address(1),
    };
    let members = (0..gossip::MAX_MEMBERS).map(member).collect();
    assert!(frame(Message::Members(members)).to_bytes().len() <= MAX_FRAME_BYTES);
}

/// Forwarder in zone `pa` that is complete up to revision 5. It is the store reader unless a
/// peer with a lower rank is live.
fn complete(is_reader: bool) -> Forwarder {
    let mut forwarder =
        Forwarder::new(Settings { name: "e-1".into(), zone: "pa".into(), ..Settings::default() });
    forwarder.advance(5.into(), Time(0));
    let below = (2..).map(|index| format!("e-{index}")).find(|name| Peers::key(name) < Peers::key("e-1"));
    if !is_reader {
        forwarder.peers_mut().record_peer(&below.unwrap().into(), &"pa".into(), address(2), Time(1));
    }
    forwarder
}

fn update(after: u64, revision: u64) -> Update {
    Update {
        after: after.into(),
        revision: revision.into(),
        is_list: false,
        plan_mark: mark(revision),
        evacuations: Vec::new(),
        records: Vec::new(),
    }
}

#[test]
fn lost_update() {
    let mut forwarder = complete(false);
    forwarder.apply_update(Update { records: records(1), ..update(7, 9) }, "pa", Time(1));
    assert_eq!(forwarder.catalog().revision(), 5.into(), "an update after a gap does not make it complete");
    assert!(forwarder.is_behind());
    forwarder.apply_update(update(4, 9), "pa", Time(1));
    assert_eq!(forwarder.catalog().revision(), 9.into());
    assert!(!forwarder.is_behind());
}

#[test]
fn known_records_sent() {
    let mut forwarder = complete(true);
    forwarder.set_store_unreachable(true);
    // The record is applied, but the gap before it keeps the catalog incomplete.
    let record = Record { revision: 8.into(), ..records(1).remove(0) };
    forwarder.apply_update(Update { records: vec![record.clone()], ..update(7, 9) }, "ct", Time(1));
    let update = forwarder.apply_reading(
        Reading { observations: vec![Observation::Record(record)], revision: 9.into(), ..Reading::default() },
        Time(2),
    );
    assert_eq!((update.after, update.revision), (5.into(), 9.into()));
    assert_eq!(update.records.len(), 1, "peers that are complete up to 5 lack the record");
}

#[test]
fn other_zone_update() {
    let mut forwarder = complete(false);
    assert!(!forwarder.apply_update(update(7, 9), "ct", Time(1)));
    assert!(!forwarder.is_behind(), "the store reader of the own zone sends the records in between");
    assert!(!forwarder.apply_update(update(5, 9), "ct", Time(1)), "only a store reader passes updates on");
    assert_eq!(forwarder.catalog().revision(), 9.into());
}

#[test]
fn reader_uses_store() {
    let mut forwarder = complete(true);
    assert!(!forwarder.apply_update(update(5, 9), "ct", Time(1)));
    assert_eq!(forwarder.catalog().revision(), 5.into(), "its zone would miss the records up to 9");
    forwarder.set_store_unreachable(true);
    assert!(forwarder.apply_update(update(5, 9), "ct", Time(1)), "without the store it passes updates on");
    assert_eq!(forwarder.catalog().revision(), 9.into());
}

#[test]
fn empty_update() {
    let mut forwarder = complete(false);
    forwarder.apply_update(update(5, 5), "pa", Time(1_000));
    assert_eq!(forwarder.sync_age_ms(Time(1_100)), 100, "an empty update confirms the state");
    forwarder.apply_update(update(7, 9), "pa", Time(2_000));
    assert_eq!(forwarder.sync_age_ms(Time(2_100)), 1_100, "an update after a gap does not");
}

#[test]
fn takeover_order() {
    let mut forwarder = complete(false);
    let second = forwarder.takeover_delay_ms(Time(2));
    assert!(second > 0, "another instance is the store reader");
    let reader = Forwarder::takeover_delay_ms(&complete(true), Time(2));
    assert_eq!(reader, 0);
    let lower = (2..).map(|index| format!("e-{index}")).filter(|name| Peers::key(name) < Peers::key("e-1"));
    for name in lower.take(9) {
        forwarder.peers_mut().record_peer(&name.into(), &"pa".into(), address(3), Time(2));
    }
    assert!(forwarder.takeover_delay_ms(Time(3)) > second, "lower ranks take over first");
    assert!(forwarder.takeover_delay_ms(Time(3)) < 2_000);
}

#[test]
fn one_zone_reader() {
    let mut peers = Peers::default();
    let names = ["e-1", "e-2", "e-3", "e-4"];
    for (host, name) in names.iter().enumerate() {
        peers.record_peer(&(*name).into(), &"pa".into(), address(host as u8), Time(0));
    }
    let readers = |peers: &Peers, now| names.iter().filter(|name| peers.is_reader(name, "pa", now)).count();
    assert_eq!(readers(&peers, Time(1)), 1);
    assert!(peers.is_reader("other", "ct", Time(1)), "each zone has its own store reader");
    assert_eq!(readers(&peers, Time(PEER_TIMEOUT_MS)), 4, "an instance without live peers reads");
}

#[test]
fn unreachable_zone() {
    let mut peers = Peers::default();
    peers.record_peer(&"e-1".into(), &"ct".into(), address(1), Time(0));
    peers.record_peer(&"e-2".into(), &"me".into(), address(2), Time(0));
    peers.record_peer(&"e-2".into(), &"me".into(), address(2), Time(ZONE_TIMEOUT_MS));
    let unreachable = peers.unreachable_zones("pa", Time(ZONE_TIMEOUT_MS + 1));
    assert_eq!(unreachable, [("ct".into(), Time(0))]);
}

#[test]
fn announced_address() {
    let mut peers = Peers::default();
    peers.record_peer(&"e-1".into(), &"pa".into(), address(1), Time(0));
    peers.discover(&"e-1".into(), &"pa".into(), address(9), Time(1));
    assert_eq!(peers.known_peers().next().unwrap().address, address(1), "a live peer keeps its address");
    peers.discover(&"e-1".into(), &"pa".into(), address(9), Time(PEER_TIMEOUT_MS));
    assert_eq!(peers.known_peers().next().unwrap().address, address(9));
}

proptest! {
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _frame = Frame::from_bytes(&bytes);
        let _snapshot = Snapshot::from_bytes(&bytes);
    }

    #[test]
    fn truncated_frames(count in 0u64..20, cut in 1usize..40) {
        let bytes = frame(Message::Update(Update { records: records(count), ..update(1, 2) })).to_bytes();
        let cut = cut.min(bytes.len());
        prop_assert!(Frame::from_bytes(&bytes[..bytes.len() - cut]).is_err());
    }
}

#[test]
fn silent_instances() {
    let mut peers = Peers::default();
    let address = |host| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), 7_720);
    peers.record_peer(&"a".into(), &"pa".into(), address(1), Time(1_000));
    peers.record_peer(&"b".into(), &"pa".into(), address(2), Time(90_000));
    peers.record_peer(&"c".into(), &"ct".into(), address(3), Time(1_000));
    peers.discover(&"d".into(), &"pa".into(), address(4), Time(2_000));
    let silent = |now| -> Vec<Arc<str>> {
        peers.silent("pa", 90_000, Time(now)).map(|peer| peer.name.clone()).collect()
    };
    assert!(silent(90_000).is_empty());
    let mut names = silent(92_000);
    names.sort();
    assert_eq!(names, ["a".into(), "d".into()], "not of another zone, nor one that was heard");
}
