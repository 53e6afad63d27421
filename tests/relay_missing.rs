//! Targets whose entry expired in a store outage: they get flows until it is clear that they
//! have ended, on each instance.

#[path = "support/known_red.rs"]
mod known_red;

use std::net::{Ipv4Addr, SocketAddrV4};

use ragwortlb::{
    relay::{
        Entry,
        catalog::{REREGISTRATION_MS, Record, State},
        forwarder::{Forwarder, Observation, Reading, Settings},
        gossip::Update,
    },
    time::Time,
};

const NAME: &str = "i-00000001";

const OUTAGE_END: Time = Time(10_000);

fn record(revision: u64) -> Record {
    let entry = Entry {
        name: NAME.into(),
        number: 1,
        born_ms: 1,
        service: "booking".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 8080),
        zone: "pa".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 0,
        heartbeat: revision,
    };
    Record { entry, state: State::Ready, revision: revision.into() }
}

fn forwarder(name: &str) -> Forwarder {
    let mut forwarder =
        Forwarder::new(Settings { name: name.into(), zone: "pa".into(), ..Settings::default() });
    let observations = vec![Observation::Record(record(1))];
    forwarder.apply_reading(Reading { observations, revision: 1.into(), ..Reading::default() }, Time(0));
    forwarder
}

fn state(forwarder: &Forwarder) -> Option<State> {
    forwarder.catalog().records().next().map(|record| record.state)
}

/// The store reader and a peer that has got the update with the missing target.
fn after_outage() -> (Forwarder, Forwarder) {
    let (mut reader, mut peer) = (forwarder("e-1"), forwarder("e-2"));
    let ended = Observation::Ended { name: NAME.into(), revision: 2.into(), store_unstable: true };
    let reading = Reading { observations: vec![ended], revision: 2.into(), ..Reading::default() };
    let update = reader.apply_reading(reading, OUTAGE_END);
    peer.apply_update(update, "pa", OUTAGE_END);
    assert_eq!((state(&reader), state(&peer)), (Some(State::Missing), Some(State::Missing)));
    (reader, peer)
}

/// Takes a target that is still missing for gone, as the daemon does, and returns the update.
fn remove_unrecovered(reader: &mut Forwarder, now: Time) -> Update {
    let records = reader.catalog().unrecovered(OUTAGE_END, now);
    for record in &records {
        reader.apply(record.clone(), now);
    }
    reader.update(reader.catalog().target_revision(), records)
}

#[test]
fn passed_on() {
    let (mut reader, mut peer) = after_outage();
    let now = OUTAGE_END + REREGISTRATION_MS;
    let update = remove_unrecovered(&mut reader, now);
    peer.apply_update(update, "pa", now);
    assert_eq!((state(&reader), state(&peer)), (Some(State::Gone), Some(State::Gone)));
}

// Guards against flows to a target that has ended, as the only update that says so was lost.
// It has the revision of the one before, so its loss leaves no gap.
#[test]
fn lost_end() {
    let (mut reader, mut peer) = after_outage();
    let now = OUTAGE_END + REREGISTRATION_MS;
    drop(remove_unrecovered(&mut reader, now));
    for round in 1..=10 {
        let now = now + round * 1_000;
        let update =
            reader.apply_reading(Reading { revision: (2 + round).into(), ..Reading::default() }, now);
        peer.apply_update(update, "pa", now);
        peer.tick(now);
    }
    let seen = format!("{:?} at the reader, {:?} at its peer 10 s later", state(&reader), state(&peer));
    known_red::check("lost_end", state(&peer) == Some(State::Gone), &seen);
}
