//! Moves packets between the fabric, targets and clients.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use ragwortlb::{
    relay::{
        Kind, Packet,
        forwarder::{Deferral, Refusal, Verdict},
    },
    time::Time,
};
use ragwortlb_platform::packet;

use super::{
    decisions,
    shared::{Shared, add, now},
};

/// Packets that are read before other tasks run.
const BATCH: usize = 32;

/// Time between ticks of the path.
const TICK: Duration = Duration::from_millis(10);

/// Most packets that wait to be judged: what arrives within a client's first wait.
const MAX_PARKED: usize = 2_048;

/// Longest wait of a packet to be judged, in milliseconds.
const fn patience_ms(deferral: Deferral) -> u64 {
    match deferral {
        // A client goes on for 1.4 s, and the plan arrives soon after the start.
        Deferral::Plan => 1_200,
        // As long as a reader of the store may lag behind it.
        Deferral::Route | Deferral::Token => 800,
        Deferral::Targets => 100,
        // Whoever still waits sends a copy after 200 ms.
        Deferral::Pause => 0,
    }
}

/// Packet that waits to be judged.
struct Parked {
    packet: Packet,
    bytes: Vec<u8>,
    arrived: Time,
}

/// Reads and judges packets until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let parked = Rc::new(RefCell::new(Vec::new()));
    tokio::task::spawn_local(tick(shared.clone(), parked.clone()));
    let mut buffer = vec![0; packet::MAX_BYTES];
    let mut out = Vec::with_capacity(packet::MAX_BYTES);
    loop {
        if let Err(error) = shared.packets.readable().await {
            log::error!(error:%; "E720 packets are not read");
            tokio::time::sleep(TICK).await;
        }
        for _ in 0..BATCH {
            let Ok((length, _)) = shared.packets.try_recv_from(&mut buffer) else {
                break;
            };
            match packet::decode(&buffer[..length]) {
                Some(packet) => decide(&shared, &parked, packet, &buffer[..length], &mut out),
                None => add(&shared.counts.malformed),
            }
        }
        tokio::task::yield_now().await;
    }
}

fn decide(shared: &Shared, parked: &RefCell<Vec<Parked>>, packet: Packet, bytes: &[u8], out: &mut Vec<u8>) {
    let now = now();
    let mut parked = parked.borrow_mut();
    if replace_copy(&mut parked, &packet, bytes, now) {
        return;
    }
    let verdict = shared.forwarder.borrow_mut().receive(now, &packet);
    let patience = match verdict {
        Verdict::Queue => u64::MAX,
        Verdict::Defer(deferral) => patience_ms(deferral),
        _ => return act(shared, &packet, bytes, verdict, 0, out),
    };
    if patience == 0 || parked.len() >= MAX_PARKED {
        add(&shared.counts.dropped);
        return;
    }
    add(&shared.counts.parked);
    parked.push(Parked { packet, bytes: bytes.to_vec(), arrived: now });
}

/// Puts a copy in place of the opening packet of the same flow that waits, if one
/// does.
fn replace_copy(parked: &mut [Parked], packet: &Packet, bytes: &[u8], now: Time) -> bool {
    if !matches!(packet.kind, Kind::Open { copy } if copy > 0) {
        return false;
    }
    let same =
        |other: &&mut Parked| other.packet.client == packet.client && other.packet.address == packet.address;
    let Some(item) = parked.iter_mut().find(same) else {
        return false;
    };
    *item = Parked { packet: *packet, bytes: bytes.to_vec(), arrived: now };
    true
}

fn act(shared: &Shared, packet: &Packet, bytes: &[u8], verdict: Verdict, waited_ms: u64, out: &mut Vec<u8>) {
    match verdict {
        Verdict::Forward(destination) => {
            packet::forward(bytes, destination.number, destination.token, out);
            if matches!(packet.kind, Kind::Open { .. }) {
                add(&shared.counts.placed);
                decisions::placed(shared, packet, &destination, waited_ms);
            }
            add(&shared.counts.forwarded);
            send(shared, out, destination.address);
        }
        Verdict::Refuse(refusal) => {
            match refusal {
                Refusal::WaitTooLong { .. } | Refusal::BudgetExhausted => add(&shared.counts.refused_full),
                Refusal::RouteRemoved => add(&shared.counts.refused_dropped),
            }
            decisions::refused(shared, packet, &refusal, waited_ms);
            refuse(shared, packet);
        }
        Verdict::Drop(_) | Verdict::Defer(_) | Verdict::Queue => add(&shared.counts.dropped),
    }
}

fn refuse(shared: &Shared, packet: &Packet) {
    let client = SocketAddrV4::new(*packet.client.ip(), shared.settings.packet_address.port());
    send(shared, &packet::reset(packet), client);
}

fn send(shared: &Shared, bytes: &[u8], to: SocketAddrV4) {
    // A datagram that does not fit now is lost like any other; both ends repeat it.
    if shared.packets.try_send_to(bytes, to.into()).is_err() {
        add(&shared.counts.unsent);
    }
}

async fn tick(shared: Rc<Shared>, parked: Rc<RefCell<Vec<Parked>>>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut out = Vec::with_capacity(packet::MAX_BYTES);
    loop {
        tokio::select! {
            _ = interval.tick() => shared.forwarder.borrow_mut().tick(now()),
            () = shared.learned.notified() => {}
        }
        shared.log_notices();
        if !parked.borrow().is_empty() {
            retry(&shared, &parked, &mut out);
        }
    }
}

/// Judges again what waits.
fn retry(shared: &Shared, parked: &RefCell<Vec<Parked>>, out: &mut Vec<u8>) {
    let waiting = std::mem::take(&mut *parked.borrow_mut());
    // The latest first: it is the likeliest to meet its objective.
    for item in waiting.into_iter().rev() {
        let now = now();
        let verdict = shared.forwarder.borrow_mut().decide(now, &item.packet, item.arrived);
        match verdict {
            Verdict::Queue => parked.borrow_mut().push(item),
            Verdict::Defer(deferral) if now.since(item.arrived) < patience_ms(deferral) => {
                parked.borrow_mut().push(item);
            }
            Verdict::Defer(deferral) => give_up(shared, &item.packet, deferral),
            _ => act(shared, &item.packet, &item.bytes, verdict, now.since(item.arrived), out),
        }
    }
    parked.borrow_mut().reverse();
}

fn give_up(shared: &Shared, packet: &Packet, deferral: Deferral) {
    let opens = matches!(packet.kind, Kind::Open { .. });
    match deferral {
        Deferral::Route | Deferral::Targets if opens => {
            add(&shared.counts.refused_unknown);
            decisions::refused(shared, packet, &deferral, patience_ms(deferral));
            refuse(shared, packet);
        }
        _ => add(&shared.counts.dropped),
    }
}
