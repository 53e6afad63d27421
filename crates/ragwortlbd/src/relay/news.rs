//! News between instances: reports many times a second, rows as they are learned.

use std::{
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use ragwortlb::{
    relay::{
        gossip::{self, Frame, Member, Message, Update},
        report_interval,
    },
    time::Time,
};
use rand::seq::{IteratorRandom, SliceRandom};

use super::shared::{Shared, add, now};

/// Time between rounds of reports.
const ROUND: Duration = Duration::from_millis(report_interval::CELL_REPORT_INTERVAL_MS);

/// Rounds after which a peer is told some of the others.
const INTRODUCTION_ROUNDS: u64 = 25;

/// The same soon after a start, when many do not know each other.
const YOUNG_INTRODUCTION_ROUNDS: u64 = 2;

/// Time after a pause in which a report may have been sent before it, in milliseconds.
const STALE_MS: u64 = 60;

/// Reads news until the process ends.
pub(super) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; gossip::MAX_FRAME_BYTES + 1];
    loop {
        match shared.gossip.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) => take(&shared, &buffer[..length], from),
            Ok(_) => add(&shared.counts.news_refused),
            Err(error) => {
                log::warn!(error:%; "E730 news are not read");
                tokio::time::sleep(ROUND).await;
            }
        }
    }
}

fn take(shared: &Shared, bytes: &[u8], from: SocketAddrV4) {
    let frame = match Frame::from_bytes(bytes) {
        Ok(frame) => frame,
        Err(error) => {
            add(&shared.counts.news_refused);
            log::debug!("{error}");
            return;
        }
    };
    let now = now();
    let mut forwarder = shared.forwarder.borrow_mut();
    let is_new = forwarder.peers_mut().record_peer(&frame.sender, &frame.zone, from, now);
    if is_new && shared.peers.take() {
        log::info!(peer:% = frame.sender, zone:% = frame.zone; "E731 a peer is there");
    }
    match frame.message {
        Message::Report(report) => {
            forwarder.record_peer(&frame.sender, &report, now);
            if forwarder.unconfirmed_pause_ms(now).is_some_and(|since| since >= STALE_MS) {
                forwarder.confirm_after_pause();
            }
        }
        Message::Update(update) => {
            let before = forwarder.catalog().revision();
            let passes_on = forwarder.apply_update(update.clone(), &frame.zone, now);
            if forwarder.catalog().revision() > before {
                shared.learned.notify_one();
            }
            if passes_on {
                drop(forwarder);
                spread_near(shared, update);
                return;
            }
        }
        Message::Members(members) => {
            for member in members.into_iter().filter(|member| member.name != shared.settings.name) {
                forwarder.peers_mut().discover(&member.name, &member.zone, member.address, now);
            }
        }
    }
    let announces_members =
        is_new && forwarder.peers().announces_members(&shared.settings.name, &shared.settings.zone, now);
    drop(forwarder);
    if announces_members {
        introduce(shared, from, now);
    }
}

/// Tells a peer some of the others.
fn introduce(shared: &Shared, to: SocketAddrV4, now: Time) {
    let forwarder = shared.forwarder.borrow();
    let mut members: Vec<Member> = forwarder
        .peers()
        .live(now)
        .filter(|row| row.address != to)
        .map(|row| Member { name: row.name.clone(), zone: row.zone.clone(), address: row.address })
        .collect();
    members.shuffle(&mut rand::rng());
    members.truncate(gossip::MAX_MEMBERS);
    if !members.is_empty() {
        post(shared, &frame(shared, Message::Members(members)), to);
    }
}

/// Sends reports until the process ends.
pub(super) async fn send(shared: Rc<Shared>) {
    let mut interval = tokio::time::interval(ROUND);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        interval.tick().await;
        round += 1;
        let now = now();
        report(&shared, now, round);
        if round.is_multiple_of(introduction_rounds(&shared, now))
            && let Some(peer) = any_peer(&shared, now)
        {
            introduce(&shared, peer, now);
        }
    }
}

fn introduction_rounds(shared: &Shared, now: Time) -> u64 {
    let forwarder = shared.forwarder.borrow();
    let is_fast = forwarder.has_just_started(now) && forwarder.peers().cell().count == 1;
    if is_fast { YOUNG_INTRODUCTION_ROUNDS } else { INTRODUCTION_ROUNDS }
}

fn any_peer(shared: &Shared, now: Time) -> Option<SocketAddrV4> {
    let forwarder = shared.forwarder.borrow();
    forwarder.peers().live(now).map(|row| row.address).choose(&mut rand::rng())
}

fn report(shared: &Shared, now: Time, round: u64) {
    let forwarder = shared.forwarder.borrow();
    let bytes = frame(shared, Message::Report(forwarder.report(now)));
    for row in forwarder.peers().report_recipients(round, now) {
        post(shared, &bytes, row.address);
    }
}

/// Sends rows to the peers that are to hear them from this instance.
pub(super) fn spread(shared: &Shared, parts: Vec<Update>) {
    let forwarder = shared.forwarder.borrow();
    let update_recipients = forwarder.peers().update_recipients(&shared.settings.zone, now());
    for update in parts {
        let bytes = frame(shared, Message::Update(update));
        for row in &update_recipients {
            post(shared, &bytes, row.address);
        }
    }
}

/// Sends rows of another availability zone's reader to the peers of this one.
fn spread_near(shared: &Shared, update: Update) {
    let forwarder = shared.forwarder.borrow();
    let bytes = frame(shared, Message::Update(update));
    for row in forwarder.peers().live(now()).filter(|row| row.zone == shared.settings.zone) {
        post(shared, &bytes, row.address);
    }
}

fn frame(shared: &Shared, message: Message) -> Vec<u8> {
    let (sender, zone) = (shared.settings.name.clone(), shared.settings.zone.clone());
    Frame { sender, zone, message }.to_bytes()
}

fn post(shared: &Shared, bytes: &[u8], to: SocketAddrV4) {
    // The next report follows soon, and rows that are missing are fetched.
    match shared.gossip.try_send_to(bytes, to.into()) {
        Ok(_) => add(&shared.counts.news_sent),
        Err(_) => add(&shared.counts.unsent),
    }
}
