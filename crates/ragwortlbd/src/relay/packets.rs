//! Receives packets from the fabric, and forwards them to targets or resets their flows.
//!
//! A packet that cannot be decided on yet is deferred if a plan, route or target is
//! missing, and queued if no slot is free. Both are kept in one list and decided again at
//! each tick and when the state changes. A deferred packet expires after a time limit; the
//! forwarder refuses a queued opening packet when its wait becomes too long, and drops a
//! queued request at the timeout of its class.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use ragwortlb::{
    relay::{
        Kind, Packet,
        forwarder::{Deferral, DropReason, Refusal, Verdict},
        report_interval,
    },
    time::Time,
};
use ragwortlb_platform::packet;
use tokio::time::Instant;

use super::{
    decisions,
    news::{self, Rounds},
    shared::{Shared, increment, now},
};

/// Packets that are read before other tasks get to run.
const MAX_READ_BATCH: usize = 32;

/// Time between ticks of the forwarder while packets are deferred or queued.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between ticks otherwise: that of load reports.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(report_interval::CELL_REPORT_INTERVAL_MS);

/// Deferred and queued packets at most: what arrives within a client's first retransmission time-out.
const MAX_DEFERRED: usize = 2_048;

/// Time for which a packet is deferred at most, in milliseconds.
const fn max_wait_ms(deferral: Deferral) -> u64 {
    match deferral {
        // Clients retransmit for 1.4 s, and the plan arrives soon after the start.
        Deferral::Plan => 1_200,
        // As long as a store reader may lag behind the store.
        Deferral::Route | Deferral::Token => 800,
        Deferral::Targets => 100,
        // A client that is still waiting retransmits after 200 ms.
        Deferral::Pause => 0,
    }
}

/// Packet that cannot be decided on yet, deferred or queued.
struct DeferredPacket {
    packet: Packet,
    bytes: Vec<u8>,
    arrived: Time,
}

impl DeferredPacket {
    fn is_same_flow(&self, packet: &Packet) -> bool {
        self.packet.client == packet.client && self.packet.address == packet.address
    }
}

/// Receives packets and decides on them until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let deferred = Rc::new(RefCell::new(Vec::new()));
    tokio::task::spawn_local(tick(shared.clone(), deferred.clone()));
    let mut buffer = vec![0; packet::MAX_BYTES];
    let mut out = Vec::with_capacity(packet::MAX_BYTES);
    loop {
        if let Err(error) = shared.packets.readable().await {
            log::error!(error:%; "E720 cannot receive packets; retrying");
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        for _ in 0..MAX_READ_BATCH {
            let Ok((length, _)) = shared.packets.try_recv_from(&mut buffer) else {
                break;
            };
            match packet::decode(&buffer[..length]) {
                Some(packet) => decide(&shared, &deferred, packet, &buffer[..length], &mut out),
                None => increment(&shared.counts.malformed),
            }
        }
        tokio::task::yield_now().await;
    }
}

fn decide(
    shared: &Shared,
    deferred: &RefCell<Vec<DeferredPacket>>,
    packet: Packet,
    bytes: &[u8],
    out: &mut Vec<u8>,
) {
    let now = now();
    let mut deferred = deferred.borrow_mut();
    if replace_retransmitted(&mut deferred, &packet, bytes, now) {
        return;
    }
    if matches!(packet.kind, Kind::Close | Kind::Abort) {
        // The client no longer waits for the answers to the flow's requests.
        deferred.retain(|item| !item.is_same_flow(&packet));
    }
    if matches!(packet.kind, Kind::Open { .. } | Kind::Data { request: true, .. }) {
        news::receive(shared, now);
    }
    let verdict = shared.forwarder.borrow_mut().receive(now, &packet);
    let limit_ms = match verdict {
        Verdict::Queue => u64::MAX,
        Verdict::Defer(deferral) => max_wait_ms(deferral),
        _ => return perform(shared, &packet, bytes, verdict, 0, out),
    };
    if limit_ms == 0 || deferred.len() >= MAX_DEFERRED {
        increment(&shared.counts.dropped);
        return;
    }
    increment(&shared.counts.deferred);
    deferred.push(DeferredPacket { packet, bytes: bytes.to_vec(), arrived: now });
    shared.packet_deferred.notify_one();
}

/// Replaces a deferred opening packet by its retransmission, and ignores that of a deferred
/// request. Returns whether the packet was a retransmission, so that a flow is deferred only
/// once.
fn replace_retransmitted(deferred: &mut [DeferredPacket], packet: &Packet, bytes: &[u8], now: Time) -> bool {
    let mut same_flow = deferred.iter_mut().filter(|item| item.is_same_flow(packet));
    match packet.kind {
        Kind::Open { copy } if copy > 0 => {
            let Some(item) = same_flow.next() else {
                return false;
            };
            *item = DeferredPacket { packet: *packet, bytes: bytes.to_vec(), arrived: now };
            true
        }
        Kind::Data { request: true, .. } => same_flow.any(|item| item.bytes == bytes),
        _ => false,
    }
}

fn perform(
    shared: &Shared,
    packet: &Packet,
    bytes: &[u8],
    verdict: Verdict,
    waited_ms: u64,
    out: &mut Vec<u8>,
) {
    match verdict {
        Verdict::Forward(destination) => {
            packet::forward(bytes, destination.number, destination.token, out);
            if matches!(packet.kind, Kind::Open { .. }) {
                increment(&shared.counts.placed);
                decisions::placed(shared, packet, &destination, waited_ms);
            } else if waited_ms > 0 {
                increment(&shared.counts.paced);
                decisions::started(shared, packet, &destination, waited_ms);
            }
            increment(&shared.counts.forwarded);
            send(shared, out, destination.address);
        }
        Verdict::Refuse(refusal) => {
            match refusal {
                Refusal::WaitTooLong { .. }
                | Refusal::BudgetExhausted
                | Refusal::TargetsCold
                | Refusal::Evacuated => increment(&shared.counts.refused_full),
                Refusal::RouteRemoved => increment(&shared.counts.refused_dropped),
            }
            decisions::refused(shared, packet, &refusal, waited_ms);
            refuse(shared, packet);
        }
        Verdict::Reset => {
            increment(&shared.counts.flows_reset);
            decisions::reset(shared, packet);
            refuse(shared, packet);
        }
        Verdict::Drop(DropReason::RequestExpired) => {
            increment(&shared.counts.expired);
            decisions::expired(shared, packet, waited_ms);
        }
        Verdict::Drop(_) | Verdict::Defer(_) | Verdict::Queue => increment(&shared.counts.dropped),
    }
}

fn refuse(shared: &Shared, packet: &Packet) {
    let client = SocketAddrV4::new(*packet.client.ip(), shared.settings.packet_address.port());
    send(shared, &packet::reset(packet), client);
}

fn send(shared: &Shared, bytes: &[u8], to: SocketAddrV4) {
    // If the socket buffer is full, the datagram is dropped; both ends retransmit.
    if shared.packets.try_send_to(bytes, to.into()).is_err() {
        increment(&shared.counts.unsent);
    }
}

/// Runs the periodic work until the process ends.
async fn tick(shared: Rc<Shared>, deferred: Rc<RefCell<Vec<DeferredPacket>>>) {
    let mut rounds = Rounds::default();
    let mut out = Vec::with_capacity(packet::MAX_BYTES);
    let mut ticked_at = Instant::now();
    loop {
        let is_idle = deferred.borrow().is_empty();
        let next = ticked_at + if is_idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep_until(next) => {
                ticked_at = Instant::now();
                let now = now();
                news::receive(&shared, now);
                shared.forwarder.borrow_mut().tick(now);
            }
            // The next tick is earlier now.
            () = shared.packet_deferred.notified(), if is_idle => continue,
            () = shared.state_changed.notified() => {}
        }
        shared.log_notices();
        if !deferred.borrow().is_empty() {
            decide_deferred(&shared, &deferred, &mut out);
        }
        // After the deferred packets, so that peers learn at once what was placed just now.
        rounds.send(&shared, now());
    }
}

/// Decides again on all deferred packets.
fn decide_deferred(shared: &Shared, deferred: &RefCell<Vec<DeferredPacket>>, out: &mut Vec<u8>) {
    let batch = std::mem::take(&mut *deferred.borrow_mut());
    // Targets and routes whose requests have to wait: older ones wait too.
    let mut full = Vec::new();
    // Latest first, as that packet is most likely to meet its latency objective.
    for item in batch.into_iter().rev() {
        let is_request = matches!(item.packet.kind, Kind::Data { .. });
        let key = (item.packet.token, item.packet.address);
        if is_request && full.contains(&key) {
            deferred.borrow_mut().push(item);
            continue;
        }
        let now = now();
        let verdict = shared.forwarder.borrow_mut().decide(now, &item.packet, item.arrived);
        match verdict {
            Verdict::Queue => {
                if is_request {
                    full.push(key);
                }
                deferred.borrow_mut().push(item);
            }
            Verdict::Defer(deferral) if now.since(item.arrived) < max_wait_ms(deferral) => {
                deferred.borrow_mut().push(item);
            }
            Verdict::Defer(deferral) => expire(shared, &item.packet, deferral),
            _ => perform(shared, &item.packet, &item.bytes, verdict, now.since(item.arrived), out),
        }
    }
    deferred.borrow_mut().reverse();
}

/// Ends the wait of a packet: an opening packet without a route or target is refused, all
/// others are dropped.
fn expire(shared: &Shared, packet: &Packet, deferral: Deferral) {
    let opens = matches!(packet.kind, Kind::Open { .. });
    match deferral {
        Deferral::Route | Deferral::Targets if opens => {
            increment(&shared.counts.refused_unknown);
            decisions::refused(shared, packet, &deferral, max_wait_ms(deferral));
            refuse(shared, packet);
        }
        _ => increment(&shared.counts.dropped),
    }
}
