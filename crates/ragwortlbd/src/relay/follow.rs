//! Follows the platform's store: as a reader for others, or when nobody reads.

use std::{rc::Rc, sync::Arc, time::Duration};

use eyre::Result;
use ragwortlb::{
    relay::{
        catalog::{self, Record, State},
        gossip,
    },
    time::Time,
};
use ragwortlb_platform::store::{Client, Event, Reading, Revised, Watched};

use super::{
    news::spread,
    shared::{Shared, add, now},
};

/// Time between calls of a reader: targets' reports wake a watch many times a
/// second, and each call has its price.
const READ_GAP_MS: u64 = 700;

/// Longest wait of a watch.
const WAIT: Duration = Duration::from_millis(900);

/// Bandwidth from which on a whole reading arrives at once, in megabits a second: one of
/// a large configuration has half a megabyte.
const WIDE_LINK_MBPS: u64 = 100;

/// Time after the start in which an instance on a narrow link waits for a peer's
/// snapshot, which is a tenth of a whole reading, in milliseconds.
const SNAPSHOT_WAIT_MS: u64 = 300;

/// Time after which to look again whether to read.
const IDLE: Duration = Duration::from_millis(50);

/// Pause of a reader after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// Pause after a failed call of an instance that reads only as it hears nothing, in
/// milliseconds: each call has its price, and the readers try again sooner.
const FALLBACK_RETRY_MS: u64 = 1_000;

/// What a follower knows of the store itself.
#[derive(Debug, Default)]
struct Follower {
    failed: Option<Time>,
    returned: Time,
    is_complete: bool,
}

impl Follower {
    /// Whether an entry that is absent may have lapsed while the store was away.
    fn is_store_unstable(&self, now: Time) -> bool {
        self.failed.is_some()
            || (self.returned > Time(0) && now.since(self.returned) < catalog::REREGISTRATION_MS)
    }

    fn note_failure(&mut self, now: Time, error: &eyre::Report) {
        if self.failed.is_none() {
            log::warn!(error:% = format!("{error:#}"); "E740 the store is lost");
        }
        self.failed = Some(now);
    }

    fn note_success(&mut self, now: Time) {
        if let Some(failed) = self.failed.take() {
            log::info!(after_ms = now.since(failed); "E741 the store is back");
            self.returned = now;
        }
    }
}

/// Follows the store until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut client = Client::new(shared.settings.store_address);
    let mut follower = Follower { is_complete: await_snapshot(&shared).await, ..Follower::default() };
    loop {
        let started = now();
        if !is_due(&shared, &follower, started) {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        add(&shared.counts.store_calls);
        let result = step(&shared, &mut client, &mut follower).await;
        let ended = now();
        let gap_ms = match result {
            Ok(()) => {
                follower.note_success(ended);
                READ_GAP_MS.saturating_sub(ended.since(started))
            }
            Err(error) => {
                add(&shared.counts.store_failures);
                follower.note_failure(ended, &error);
                let is_reader = shared.forwarder.borrow().is_reader(ended);
                if is_reader || !follower.is_complete { RETRY_MS } else { FALLBACK_RETRY_MS }
            }
        };
        shared.forwarder.borrow_mut().set_store_unreachable(follower.failed.is_some());
        end_missing(&shared, &follower, ended);
        tokio::time::sleep(Duration::from_millis(gap_ms)).await;
    }
}

/// Waits for a peer's snapshot on a narrow link; returns whether one came, so that only
/// what is later has to be read.
async fn await_snapshot(shared: &Shared) -> bool {
    if shared.settings.link_mbps >= WIDE_LINK_MBPS {
        return false;
    }
    let started = now();
    while now().since(started) < SNAPSHOT_WAIT_MS {
        if shared.forwarder.borrow().is_ready() {
            return true;
        }
        tokio::time::sleep(IDLE).await;
    }
    false
}

fn is_due(shared: &Shared, follower: &Follower, now: Time) -> bool {
    let forwarder = shared.forwarder.borrow();
    !follower.is_complete
        || forwarder.unconfirmed_pause_ms(now).is_some()
        || forwarder.sync_age_ms(now) >= forwarder.takeover_delay_ms(now)
}

async fn step(shared: &Shared, client: &mut Client, follower: &mut Follower) -> Result<()> {
    let revision = shared.forwarder.borrow().catalog().revision();
    if !follower.is_complete {
        let reading = client.read().await?;
        take_all(shared, follower, reading);
        follower.is_complete = true;
        return Ok(());
    }
    match client.watch(revision, WAIT).await? {
        Watched::Reading(reading) => take(shared, follower, reading),
        Watched::Compacted => {
            log::info!("E742 the store has dropped its history; reading everything");
            follower.is_complete = false;
        }
    }
    Ok(())
}

/// Takes a whole reading; targets that it does not have are missing or gone.
fn take_all(shared: &Shared, follower: &Follower, reading: Reading) {
    let now = now();
    let present: Vec<Arc<str>> = reading
        .events
        .iter()
        .filter_map(|revised| match &revised.event {
            Event::Target(entry) => Some(entry.name.clone()),
            _ => None,
        })
        .collect();
    let unlisted = shared.forwarder.borrow().catalog().unlisted(
        &present,
        reading.revision,
        follower.is_store_unstable(now),
    );
    log::info!(targets = present.len(), revision = reading.revision; "E745 read all targets");
    let is_reader = shared.forwarder.borrow().is_reader(now);
    take_with(shared, follower, reading, unlisted, is_reader);
}

/// Takes what a watch told. Whoever watches tells the others, as they have heard
/// nothing either if it is not the reader.
fn take(shared: &Shared, follower: &Follower, reading: Reading) {
    take_with(shared, follower, reading, Vec::new(), true);
}

fn take_with(shared: &Shared, follower: &Follower, reading: Reading, mut records: Vec<Record>, tells: bool) {
    let now = now();
    let store_unstable = follower.is_store_unstable(now);
    for revised in reading.events {
        records.extend(record(shared, revised, store_unstable, now));
    }
    let update = shared.forwarder.borrow_mut().apply_reading(records, reading.revision, now);
    shared.learned.notify_one();
    if tells && update.after > 0 {
        spread(shared, gossip::split(update));
    }
}

/// Row of a target's event; other events are taken at once.
fn record(shared: &Shared, revised: Revised, store_unstable: bool, now: Time) -> Option<Record> {
    let revision = revised.revision;
    let mut forwarder = shared.forwarder.borrow_mut();
    match revised.event {
        Event::Target(entry) => {
            let state = if entry.leaving { State::Leaving } else { State::Ready };
            return Some(Record { entry, state, revision });
        }
        Event::TargetEnded(name) => return forwarder.catalog().removal(&name, revision, store_unstable),
        Event::Unreadable { key, target, reason } => {
            log::warn!(key:%, revision, reason:%; "E743 a value in the store is not used");
            return forwarder.catalog().removal(&target?, revision, false);
        }
        Event::Plan(plan) => {
            let (version, routes) = (plan.version, plan.routes.len());
            if forwarder.adopt(plan) {
                log::info!(plan = version, routes, revision; "E744 a plan is in force");
            }
        }
        Event::Instance { name, zone, ip } if name != shared.settings.name => {
            forwarder.peers_mut().discover(&name, &zone, shared.news_address(ip), now);
        }
        Event::Instance { .. } | Event::Other => {}
    }
    None
}

/// Ends targets that did not come back after the store did.
fn end_missing(shared: &Shared, follower: &Follower, now: Time) {
    if follower.failed.is_some() {
        return;
    }
    let mut forwarder = shared.forwarder.borrow_mut();
    let records = forwarder.catalog().unrecovered(follower.returned, now);
    if records.is_empty() {
        return;
    }
    for record in &records {
        forwarder.apply(record.clone(), now);
    }
    let revision = forwarder.catalog().revision();
    drop(forwarder);
    spread(shared, gossip::split(gossip::Update { after: revision, revision, records }));
}
