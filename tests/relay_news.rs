//! Messages between instances on the packet path: their bytes, and who is there.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        Entry,
        catalog::{Row, State},
        news::{self, Frame, MAX_FRAME_BYTES, Member, News, Rows, Snapshot},
        path::{Path, Settings},
        peers::{DARK_MS, Peers, SILENCE_MS},
    },
    time::Time,
};

fn rows(count: u64) -> Vec<Row> {
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
        beat: index,
    };
    (1..=count).map(|index| Row { entry: entry(index), state: State::Ready, revision: index }).collect()
}

fn frame(news: News) -> Frame {
    Frame { sender: "edge-pa-1-of-a-long-name".into(), zone: "availability-zone".into(), news }
}

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, host), 7_720)
}

#[test]
fn rows_in_datagrams() {
    let parts = news::split(Rows { after: 3, revision: 200, rows: rows(200) });
    assert!(parts.len() > 1);
    for rows in &parts {
        assert!(frame(News::Rows(rows.clone())).to_bytes().len() <= MAX_FRAME_BYTES);
    }
    assert_eq!(parts.iter().map(|part| part.rows.len()).sum::<usize>(), 200);
    assert_eq!(parts[0].after, 3);
    assert!(parts.windows(2).all(|pair| pair[0].revision == pair[1].after));
    assert_eq!(parts.last().unwrap().revision, 200);
}

/// Path that is complete up to no revision and hears all parts but one.
fn heard_but(parts: &[Rows], lost: usize) -> Path {
    let mut path = Path::new(Settings { zone: "pa".into(), ..Settings::default() });
    for (_, part) in parts.iter().enumerate().filter(|(index, _)| *index != lost) {
        path.take_rows(part.clone(), "pa", Time(1));
    }
    path
}

#[test]
fn lost_part() {
    let parts = news::split(Rows { after: 0, revision: 200, rows: rows(200) });
    for lost in 0..parts.len() {
        let path = heard_but(&parts, lost);
        assert!(path.catalog().revision() < 200, "part {lost} is lost");
        assert_eq!(path.is_behind(), lost + 1 < parts.len(), "part {lost} is lost");
    }
    assert_eq!(heard_but(&parts, parts.len()).catalog().revision(), 200);
}

#[test]
fn many_rows_of_one_revision() {
    let mut same = rows(40);
    same.iter_mut().for_each(|row| row.revision = 9);
    let parts = news::split(Rows { after: 0, revision: 9, rows: same });
    let path = heard_but(&parts, parts.len());
    assert!(path.is_behind(), "what does not fit is fetched");
    assert!(path.catalog().revision() < 9);
}

#[test]
fn members_in_datagram() {
    let member = |index| Member {
        name: format!("edge-pa-{index}-of-a-longer-name").into(),
        zone: "zone".into(),
        address: address(1),
    };
    let members = (0..news::MAX_MEMBERS).map(member).collect();
    assert!(frame(News::Members(members)).to_bytes().len() <= MAX_FRAME_BYTES);
}

/// Path in `pa` that is complete up to revision 5; it reads for its zone if no instance
/// of a lower rank is there.
fn complete(is_reader: bool) -> Path {
    let mut path = Path::new(Settings { name: "e-1".into(), zone: "pa".into(), ..Settings::default() });
    path.advance(5, Time(0));
    let below = (2..).map(|index| format!("e-{index}")).find(|name| Peers::key(name) < Peers::key("e-1"));
    if !is_reader {
        path.peers_mut().hear(&below.unwrap().into(), &"pa".into(), address(2), Time(1));
    }
    path
}

fn told(after: u64, revision: u64) -> Rows {
    Rows { after, revision, rows: Vec::new() }
}

#[test]
fn lost_rows() {
    let mut path = complete(false);
    path.take_rows(Rows { after: 7, revision: 9, rows: rows(1) }, "pa", Time(1));
    assert_eq!(path.catalog().revision(), 5, "a gap is not taken for complete");
    assert!(path.is_behind());
    path.take_rows(told(4, 9), "pa", Time(1));
    assert_eq!(path.catalog().revision(), 9);
    assert!(!path.is_behind());
}

#[test]
fn known_rows_passed_on() {
    let mut path = complete(true);
    path.note_store(true);
    // With a gap before it, the row is taken, but this instance is not complete.
    let row = Row { revision: 8, ..rows(1).remove(0) };
    path.take_rows(Rows { after: 7, revision: 9, rows: vec![row.clone()] }, "ct", Time(1));
    let told = path.take_reading(vec![row], 9, Time(2));
    assert_eq!((told.after, told.revision), (5, 9));
    assert_eq!(told.rows.len(), 1, "peers that are complete up to 5 lack it");
}

#[test]
fn foreign_rows() {
    let mut path = complete(false);
    assert!(!path.take_rows(told(7, 9), "ct", Time(1)));
    assert!(!path.is_behind(), "the reader of the own zone tells what lies between");
    assert!(!path.take_rows(told(5, 9), "ct", Time(1)), "only a reader passes rows on");
    assert_eq!(path.catalog().revision(), 9);
}

#[test]
fn reader_goes_by_store() {
    let mut path = complete(true);
    assert!(!path.take_rows(told(5, 9), "ct", Time(1)));
    assert_eq!(path.catalog().revision(), 5, "its zone would miss the rows up to 9");
    path.note_store(true);
    assert!(path.take_rows(told(5, 9), "ct", Time(1)), "cut off, it passes them on");
    assert_eq!(path.catalog().revision(), 9);
}

#[test]
fn nothing_changed() {
    let mut path = complete(false);
    path.take_rows(told(5, 5), "pa", Time(1_000));
    assert_eq!(path.news_age_ms(Time(1_100)), 100, "no change is news too");
    path.take_rows(told(7, 9), "pa", Time(2_000));
    assert_eq!(path.news_age_ms(Time(2_100)), 1_100, "a gap is not");
}

#[test]
fn next_by_rank() {
    let mut path = complete(false);
    let second = path.reads_after_ms(Time(2));
    assert!(second > 0, "a reader is there");
    let reader = Path::reads_after_ms(&complete(true), Time(2));
    assert_eq!(reader, 0);
    let lower = (2..).map(|index| format!("e-{index}")).filter(|name| Peers::key(name) < Peers::key("e-1"));
    for name in lower.take(9) {
        path.peers_mut().hear(&name.into(), &"pa".into(), address(3), Time(2));
    }
    assert!(path.reads_after_ms(Time(3)) > second, "the next by rank is first");
    assert!(path.reads_after_ms(Time(3)) < 2_000);
}

#[test]
fn one_reader_a_zone() {
    let mut peers = Peers::default();
    let names = ["e-1", "e-2", "e-3", "e-4"];
    for (host, name) in names.iter().enumerate() {
        peers.hear(&(*name).into(), &"pa".into(), address(host as u8), Time(0));
    }
    let readers = |peers: &Peers, now| names.iter().filter(|name| peers.is_reader(name, "pa", now)).count();
    assert_eq!(readers(&peers, Time(1)), 1);
    assert!(peers.is_reader("other", "ct", Time(1)), "each zone has its own");
    assert_eq!(readers(&peers, Time(SILENCE_MS)), 4, "whoever hears nobody reads");
}

#[test]
fn dark_zone() {
    let mut peers = Peers::default();
    peers.hear(&"e-1".into(), &"ct".into(), address(1), Time(0));
    peers.hear(&"e-2".into(), &"me".into(), address(2), Time(0));
    peers.hear(&"e-2".into(), &"me".into(), address(2), Time(DARK_MS));
    let dark = peers.dark_zones("pa", Time(DARK_MS + 1));
    assert_eq!(dark, [("ct".into(), Time(0))]);
}

#[test]
fn told_address() {
    let mut peers = Peers::default();
    peers.hear(&"e-1".into(), &"pa".into(), address(1), Time(0));
    peers.meet(&"e-1".into(), &"pa".into(), address(9), Time(1));
    assert_eq!(peers.rows().next().unwrap().address, address(1), "what is heard goes before");
    peers.meet(&"e-1".into(), &"pa".into(), address(9), Time(SILENCE_MS));
    assert_eq!(peers.rows().next().unwrap().address, address(9));
}

proptest! {
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _frame = Frame::from_bytes(&bytes);
        let _snapshot = Snapshot::from_bytes(&bytes);
    }

    #[test]
    fn cut_frames(count in 0u64..20, cut in 1usize..40) {
        let bytes = frame(News::Rows(Rows { after: 1, revision: 2, rows: rows(count) })).to_bytes();
        let cut = cut.min(bytes.len());
        prop_assert!(Frame::from_bytes(&bytes[..bytes.len() - cut]).is_err());
    }
}
