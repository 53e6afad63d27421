//! Division of a fleet into cells, and the volume of reports.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use proptest::prelude::*;
use ragwortlb::{
    relay::{
        PlanId, Token,
        cells::{CELL_INSTANCES, Cell},
        gossip::{Frame, Load, Message, Report},
        load,
        peers::Peers,
    },
    time::Time,
};

/// Bytes per second that an instance may send as control messages, from docs/CAPACITY.md.
const CONTROL_BYTES_PER_S: usize = 27_000;

/// Open flows of an instance at the largest supported load: 31,000 new flows per second at
/// 580 instances, each open for 70 ms.
const OPEN_FLOWS: u32 = 4;

/// Peers as seen by an instance that has just heard from all others of a fleet.
fn fleet(instances: usize, own: usize) -> Peers {
    let mut peers = Peers::default();
    for index in (0..instances).filter(|index| *index != own) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, (index >> 8) as u8, index as u8), 7_720);
        peers.record_peer(&name(index).into(), &format!("zone-{}", index % 5).into(), address, Time(1));
    }
    peers.tick(&name(own), false, Time(1));
    peers
}

fn name(index: usize) -> String {
    format!("edge-pa-{index}")
}

proptest! {
    #[test]
    fn even_cells(instances in 1usize..700) {
        let mut sizes = BTreeMap::new();
        for rank in 0..instances {
            let cell = Cell::of(rank, instances);
            prop_assert!(cell.index < cell.count);
            *sizes.entry(cell.index).or_insert(0usize) += 1;
        }
        prop_assert_eq!(sizes.len(), Cell::of(0, instances).count);
        let (least, most) = (sizes.values().min().unwrap(), sizes.values().max().unwrap());
        prop_assert!(most - least <= 1);
        prop_assert!(*most <= 2 * CELL_INSTANCES + 1);
    }

    #[test]
    fn every_target_used(count in 1usize..100, targets in 0usize..6_000) {
        let target_ranges: Vec<_> = (0..count).map(|index| Cell { index, count }.target_range(targets)).collect();
        let mut next = 0;
        for target_range in target_ranges {
            prop_assert!(target_range.start <= next, "a target is in no cell");
            prop_assert!(targets == 0 || !target_range.is_empty());
            next = next.max(target_range.end);
        }
        prop_assert_eq!(next, targets);
    }

    #[test]
    fn member_leaves(instances in 14usize..600, left in 0usize..600) {
        let left = left % instances;
        let rank = |rank: usize| if rank > left { rank - 1 } else { rank };
        let count = Cell::of(0, instances).count;
        if count == Cell::of(0, instances - 1).count {
            let stays = |index: &usize| {
                Cell::of(*index, instances).index == Cell::of(rank(*index), instances - 1).index
            };
            let moved = (0..instances).filter(|index| *index != left && !stays(index)).count();
            prop_assert!(moved <= count, "{moved} of {instances} instances changed their cell");
        }
    }
}

#[test]
fn cells_agree() {
    let fleets: Vec<_> = (0..75).map(|own| fleet(75, own)).collect();
    for (own, peers) in fleets.iter().enumerate() {
        for (other, others) in fleets.iter().enumerate().filter(|(other, _)| *other != own) {
            assert_eq!(peers.is_cell_peer(&name(other)), others.is_cell_peer(&name(own)));
            assert_eq!(peers.is_cell_peer(&name(other)), peers.cell() == others.cell());
        }
    }
}

/// Bytes of reports that an instance sends per second.
fn report_bytes(peers: &Peers) -> usize {
    let load = |index| Load {
        token: Token(u32::MAX - index),
        running: 1,
        idle: 0,
        failures: 0,
        is_responsive: false,
    };
    let report = Report {
        revision: 1_000_000.into(),
        plan: PlanId { version: 100_000, ..PlanId::default() },
        is_leaving: false,
        loads: (0..OPEN_FLOWS).map(load).collect(),
        moved: Vec::new(),
        ended: Vec::new(),
    };
    let frame = Frame { sender: "edge-pa-100".into(), zone: "pa".into(), message: Message::Report(report) };
    let reports: usize = (0..50).map(|round| peers.report_recipients(round, true, Time(1)).count()).sum();
    reports * frame.to_bytes().len()
}

#[test]
fn bounded_reports() {
    for instances in [10, 30, 75, 150, 300, 580] {
        let bytes = report_bytes(&fleet(instances, 0));
        println!("{instances} instances: {bytes} bytes of reports per second");
        assert!(bytes <= CONTROL_BYTES_PER_S, "{instances} instances: {bytes} bytes per second");
    }
}

#[test]
fn full_report_round() {
    let peers = fleet(580, 0);
    let rounds = peers.report_interval().interval_ms().div_ceil(20);
    let mut heard = BTreeMap::new();
    for round in 0..rounds {
        for peer in peers.report_recipients(round, true, Time(1)) {
            *heard.entry(peer.name.clone()).or_insert(0) += 1;
        }
    }
    assert_eq!(heard.len(), 579);
}

/// Reports to the peers of the cell in a second, if those of some rounds have changed.
fn cell_reports(peers: &Peers, changes: impl Fn(u64) -> bool) -> usize {
    let in_cell = |round| {
        peers
            .report_recipients(round, changes(round), Time(1))
            .filter(|peer| peers.is_cell_peer(&peer.name))
            .count()
    };
    (0..50).map(in_cell).sum()
}

#[test]
fn unchanged_reports() {
    let peers = fleet(300, 0);
    let cell_peers = peers.cell_peers();
    assert_eq!(cell_reports(&peers, |_| true), 50 * cell_peers, "each change is sent in the next round");
    // Ten new flows a second at an instance: each starts and ends.
    let sent = cell_reports(&peers, |round| round % 5 < 2);
    assert!(sent <= 30 * cell_peers, "{sent} reports to {cell_peers} peers");
    // A report and its sender must not expire while nothing changes.
    let quiet = cell_reports(&peers, |_| false);
    let valid = 1_000 / load::REPORT_VALID_MS as usize;
    assert!(quiet >= 3 * valid * cell_peers, "{quiet} reports to {cell_peers} peers");
}
