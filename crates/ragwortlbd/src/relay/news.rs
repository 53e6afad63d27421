//! Gossip between instances over UDP.
//!
//! Load reports are sent many times a second; updates are sent when the store changes;
//! member lists spread which instances exist. A lost datagram is not repeated: the next
//! report replaces it, and an instance that misses an update fetches a snapshot.

use std::{
    io::ErrorKind,
    net::{SocketAddr, SocketAddrV4},
};

use ragwortlb::{
    relay::{
        gossip::{self, Frame, Member, Message, Update},
        report_interval,
    },
    time::Time,
};
use rand::seq::{IteratorRandom, SliceRandom};

use super::shared::{Shared, increment, now};

/// Datagrams that are read before packets are.
const MAX_READ_BATCH: usize = 128;

/// Rounds between member lists; each goes to one random peer.
const MEMBER_LIST_ROUNDS: u64 = 25;

/// The same just after a start, when many instances do not know each other yet.
const STARTUP_MEMBER_LIST_ROUNDS: u64 = 2;

/// Time after a process pause in which a received report may still come from the socket
/// buffer, sent before the pause ended, in milliseconds.
const PAUSE_BACKLOG_MS: u64 = 60;

/// Applies the gossip that has arrived. Reports are used when a flow is placed, so nothing is
/// gained by reading each one at once, and each wake-up of the process has a cost.
pub(super) fn receive(shared: &Shared, now: Time) {
    if shared.gossip_read_at.replace(now) == now {
        return;
    }
    let mut buffer = [0; gossip::MAX_FRAME_BYTES + 1];
    for _ in 0..MAX_READ_BATCH {
        match shared.gossip.recv_from(&mut buffer) {
            Ok((length, SocketAddr::V4(from))) => accept(shared, &buffer[..length], from),
            Ok(_) => increment(&shared.counts.gossip_rejected),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                log::warn!(error:%; "E730 cannot receive gossip from peers; retrying");
                return;
            }
        }
    }
}

/// Decodes a datagram of a peer and applies its message.
fn accept(shared: &Shared, bytes: &[u8], from: SocketAddrV4) {
    let frame = match Frame::from_bytes(bytes) {
        Ok(frame) => frame,
        Err(error) => {
            increment(&shared.counts.gossip_rejected);
            log::debug!("gossip frame rejected: {error}");
            return;
        }
    };
    let now = now();
    let mut forwarder = shared.forwarder.borrow_mut();
    let is_new = forwarder.peers_mut().record_peer(&frame.sender, &frame.zone, from, now);
    if is_new && shared.peers.accept() {
        log::info!(peer:% = frame.sender, zone:% = frame.zone; "E731 a peer is live");
    }
    match frame.message {
        Message::Report(report) => {
            forwarder.record_peer(&frame.sender, &report, now);
            if forwarder.unconfirmed_pause_ms(now).is_some_and(|since| since >= PAUSE_BACKLOG_MS) {
                forwarder.confirm_after_pause();
            }
        }
        Message::Update(update) => {
            let before = forwarder.catalog().target_revision();
            let must_forward = forwarder.apply_update(update.clone(), &frame.zone, now);
            if forwarder.catalog().target_revision() > before {
                shared.state_changed.notify_one();
            }
            if must_forward {
                drop(forwarder);
                forward_in_zone(shared, update);
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
        send_members(shared, from, now);
    }
}

/// Sends a peer a member list: a random selection of the live peers.
fn send_members(shared: &Shared, to: SocketAddrV4, now: Time) {
    let forwarder = shared.forwarder.borrow();
    let mut members: Vec<Member> = forwarder
        .peers()
        .live(now)
        .filter(|peer| peer.address != to)
        .map(|peer| Member { name: peer.name.clone(), zone: peer.zone.clone(), address: peer.address })
        .collect();
    members.shuffle(&mut rand::rng());
    members.truncate(gossip::MAX_MEMBERS);
    if !members.is_empty() {
        send_datagram(shared, &frame(shared, Message::Members(members)), to);
    }
}

/// Rounds of load reports and member lists.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    round: u64,
    sent_at: Time,
}

impl Rounds {
    /// Sends a load report, and a member list from time to time, if a round is due.
    pub fn send(&mut self, shared: &Shared, now: Time) {
        if now.since(self.sent_at) < report_interval::CELL_REPORT_INTERVAL_MS {
            return;
        }
        self.sent_at = now;
        self.round += 1;
        report(shared, now, self.round);
        if self.round.is_multiple_of(member_list_rounds(shared, now))
            && let Some(peer) = random_peer(shared, now)
        {
            send_members(shared, peer, now);
        }
    }
}

fn member_list_rounds(shared: &Shared, now: Time) -> u64 {
    let forwarder = shared.forwarder.borrow();
    let is_starting = forwarder.has_just_started(now) && forwarder.peers().cell().count == 1;
    if is_starting { STARTUP_MEMBER_LIST_ROUNDS } else { MEMBER_LIST_ROUNDS }
}

fn random_peer(shared: &Shared, now: Time) -> Option<SocketAddrV4> {
    let forwarder = shared.forwarder.borrow();
    forwarder.peers().live(now).map(|peer| peer.address).choose(&mut rand::rng())
}

/// Sends a load report to the peers that get one in this round.
fn report(shared: &Shared, now: Time, round: u64) {
    let mut forwarder = shared.forwarder.borrow_mut();
    let report = forwarder.report(now);
    let recipients = forwarder.report_recipients(&report, round, now);
    drop(forwarder);
    if recipients.is_empty() {
        return;
    }
    let bytes = frame(shared, Message::Report(report));
    for recipient in recipients {
        send_datagram(shared, &bytes, recipient);
    }
}

/// Sends updates to the peers that get them from this instance.
pub(super) fn send_update(shared: &Shared, parts: Vec<Update>) {
    let forwarder = shared.forwarder.borrow();
    let update_recipients = forwarder.peers().update_recipients(&shared.settings.zone, now());
    for update in parts {
        let bytes = frame(shared, Message::Update(update));
        for peer in &update_recipients {
            send_datagram(shared, &bytes, peer.address);
        }
    }
}

/// Forwards an update from another availability zone's store reader to the peers of this
/// zone.
fn forward_in_zone(shared: &Shared, update: Update) {
    let forwarder = shared.forwarder.borrow();
    let bytes = frame(shared, Message::Update(update));
    for peer in forwarder.peers().live(now()).filter(|peer| peer.zone == shared.settings.zone) {
        send_datagram(shared, &bytes, peer.address);
    }
}

fn frame(shared: &Shared, message: Message) -> Vec<u8> {
    let (sender, zone) = (shared.settings.name.clone(), shared.settings.zone.clone());
    Frame { sender, zone, message }.to_bytes()
}

fn send_datagram(shared: &Shared, bytes: &[u8], to: SocketAddrV4) {
    // Not repeated: the next report follows soon, and a missed update makes the peer fetch a
    // snapshot.
    match shared.gossip.send_to(bytes, to) {
        Ok(_) => increment(&shared.counts.gossip_sent),
        Err(_) => increment(&shared.counts.unsent),
    }
}
