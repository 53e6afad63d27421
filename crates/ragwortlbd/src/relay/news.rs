//! News between instances: reports many times a second, rows as they are learned.

use std::{
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use ragwortlb::{
    relay::{
        cadence,
        news::{self, Frame, Member, News, Rows},
    },
    time::Time,
};
use rand::seq::{IteratorRandom, SliceRandom};

use super::shared::{Shared, add, now};

/// Time between rounds of reports.
const ROUND: Duration = Duration::from_millis(cadence::REPORT_MS);

/// Rounds after which a peer is told some of the others.
const INTRODUCTION_ROUNDS: u64 = 25;

/// The same soon after a start, when many do not know each other.
const YOUNG_INTRODUCTION_ROUNDS: u64 = 2;

/// Time after a pause in which a report may have been sent before it, in milliseconds.
const STALE_MS: u64 = 60;

/// Reads news until the process ends.
pub(super) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; news::MAX_FRAME_BYTES + 1];
    loop {
        match shared.news.recv_from(&mut buffer).await {
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
    let mut path = shared.path.borrow_mut();
    let is_new = path.peers_mut().hear(&frame.sender, &frame.zone, from, now);
    if is_new && shared.peers.take() {
        log::info!(peer:% = frame.sender, zone:% = frame.zone; "E731 a peer is there");
    }
    match frame.news {
        News::Report(report) => {
            path.hear(&frame.sender, &report, now);
            if path.paused_for(now).is_some_and(|since| since >= STALE_MS) {
                path.confirm();
            }
        }
        News::Rows(rows) => {
            let before = path.catalog().revision();
            let passes_on = path.take_rows(rows.clone(), &frame.zone, now);
            if path.catalog().revision() > before {
                shared.learned.notify_one();
            }
            if passes_on {
                drop(path);
                spread_near(shared, rows);
                return;
            }
        }
        News::Members(members) => {
            for member in members.into_iter().filter(|member| member.name != shared.settings.name) {
                path.peers_mut().meet(&member.name, &member.zone, member.address, now);
            }
        }
    }
    let introduces = is_new && path.peers().introduces(&shared.settings.name, &shared.settings.zone, now);
    drop(path);
    if introduces {
        introduce(shared, from, now);
    }
}

/// Tells a peer some of the others.
fn introduce(shared: &Shared, to: SocketAddrV4, now: Time) {
    let path = shared.path.borrow();
    let mut members: Vec<Member> = path
        .peers()
        .live(now)
        .filter(|row| row.address != to)
        .map(|row| Member { name: row.name.clone(), zone: row.zone.clone(), address: row.address })
        .collect();
    members.shuffle(&mut rand::rng());
    members.truncate(news::MAX_MEMBERS);
    if !members.is_empty() {
        post(shared, &frame(shared, News::Members(members)), to);
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
    let path = shared.path.borrow();
    let is_fast = path.is_young(now) && path.peers().cell().count == 1;
    if is_fast { YOUNG_INTRODUCTION_ROUNDS } else { INTRODUCTION_ROUNDS }
}

fn any_peer(shared: &Shared, now: Time) -> Option<SocketAddrV4> {
    let path = shared.path.borrow();
    path.peers().live(now).map(|row| row.address).choose(&mut rand::rng())
}

fn report(shared: &Shared, now: Time, round: u64) {
    let path = shared.path.borrow();
    let bytes = frame(shared, News::Report(path.report(now)));
    for row in path.peers().listeners(round, now) {
        post(shared, &bytes, row.address);
    }
}

/// Sends rows to the peers that are to hear them from this instance.
pub(super) fn spread(shared: &Shared, parts: Vec<Rows>) {
    let path = shared.path.borrow();
    let audience = path.peers().audience(&shared.settings.zone, now());
    for rows in parts {
        let bytes = frame(shared, News::Rows(rows));
        for row in &audience {
            post(shared, &bytes, row.address);
        }
    }
}

/// Sends rows of another availability zone's reader to the peers of this one.
fn spread_near(shared: &Shared, rows: Rows) {
    let path = shared.path.borrow();
    let bytes = frame(shared, News::Rows(rows));
    for row in path.peers().live(now()).filter(|row| row.zone == shared.settings.zone) {
        post(shared, &bytes, row.address);
    }
}

fn frame(shared: &Shared, news: News) -> Vec<u8> {
    let (sender, zone) = (shared.settings.name.clone(), shared.settings.zone.clone());
    Frame { sender, zone, news }.to_bytes()
}

fn post(shared: &Shared, bytes: &[u8], to: SocketAddrV4) {
    // The next report follows soon, and rows that are missing are fetched.
    match shared.news.try_send_to(bytes, to.into()) {
        Ok(_) => add(&shared.counts.news_sent),
        Err(_) => add(&shared.counts.unsent),
    }
}
