//! Snapshots between instances over TCP.
//!
//! An instance fetches a peer's snapshot when it starts, when it missed an update, when a
//! peer has a later plan, or when it has not synchronized with the store for too long and a
//! peer is ahead. It sends the state that it has, and gets what it lacks: at its start a
//! complete snapshot, a tenth of the size of a full read of the store, later a few records.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use ragwortlb::relay::gossip::{KnownState, MAX_KNOWN_STATE_BYTES, MAX_SNAPSHOT_BYTES, Snapshot};
use rand::seq::IteratorRandom;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};

use super::shared::{Shared, now};

/// Limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Limit for sending or receiving a whole snapshot.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between checks whether a peer has a later plan or revision.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between checks until the first plan has arrived.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Concurrent fetches until the first plan has arrived.
const MAX_FETCHES: usize = 3;

/// Concurrent transfers to peers. Further connections are closed, and those peers try
/// another instance.
const MAX_TRANSFERS: usize = 6;

/// Consecutive checks at which this instance must be behind before it fetches a
/// snapshot, as a missing update may only be late.
const MIN_BEHIND_CHECKS: u32 = 3;

/// Time since the last synchronization with the store after which this instance fetches
/// the snapshot of a peer that is ahead, in milliseconds: one call of a store reader, a
/// margin, and the failover to another store reader.
const MAX_SYNC_AGE_MS: u64 = 1_400;

/// Serves snapshots to peers until the process ends.
pub(super) async fn serve(shared: Rc<Shared>) {
    let address = (shared.settings.ip, shared.settings.snapshot_port);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:%; "E750 cannot listen for peers that fetch snapshots; none are served");
            return;
        }
    };
    // Its strong count is one more than the number of running transfers.
    let transfers = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "E751 cannot accept a peer's connection for a snapshot");
                continue;
            }
        };
        if Rc::strong_count(&transfers) > MAX_TRANSFERS {
            continue;
        }
        let transfer = transfers.clone();
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            match timeout(TRANSFER_TIMEOUT, answer(&shared, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("sending a snapshot to a peer failed: {error:#}"),
                Err(_) => log::debug!("sending a snapshot to a peer timed out"),
            }
            drop(transfer);
        });
    }
}

/// Reads a peer's request and sends it a snapshot.
async fn answer(shared: &Shared, mut stream: TcpStream) -> Result<()> {
    let mut request = Vec::new();
    (&mut stream).take(MAX_KNOWN_STATE_BYTES as u64).read_to_end(&mut request).await?;
    let known = KnownState::from_bytes(&request)?;
    let bytes = shared.forwarder.borrow().snapshot(&known).to_bytes();
    stream.write_all(&bytes).await?;
    Ok(stream.shutdown().await?)
}

/// Fetches snapshots from peers that are ahead, until the process ends.
pub(super) async fn catch_up(shared: Rc<Shared>) {
    fetch_first_plan(&shared).await;
    let mut behind_checks = 0;
    loop {
        behind_checks = if is_outdated(&shared) { behind_checks + 1 } else { 0 };
        let is_sync_overdue = shared.forwarder.borrow().sync_age_ms(now()) >= MAX_SYNC_AGE_MS;
        if (behind_checks >= MIN_BEHIND_CHECKS || is_sync_overdue)
            && let Some(peer) = ahead(&shared)
        {
            fetch(&shared, peer).await;
            behind_checks = 0;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Fetches snapshots from seeds and peers until one brings a plan. `follow` reads the
/// store at the same time, but over a narrow link a full read takes longer.
async fn fetch_first_plan(shared: &Rc<Shared>) {
    let mut running: Vec<JoinHandle<()>> = Vec::new();
    while shared.forwarder.borrow().catalog().plan().version == 0 {
        running.retain(|task| !task.is_finished());
        if running.len() < MAX_FETCHES
            && let Some(peer) = ahead(shared).or_else(|| random_seed(shared))
        {
            running.push(tokio::task::spawn_local(fetch_from(shared.clone(), peer)));
        }
        tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

fn random_seed(shared: &Shared) -> Option<Ipv4Addr> {
    let others = shared.settings.seeds.iter().filter(|seed| **seed != shared.settings.ip);
    others.choose(&mut rand::rng()).copied()
}

async fn fetch_from(shared: Rc<Shared>, peer: Ipv4Addr) {
    fetch(&shared, peer).await;
}

/// Returns whether an update was missed or a peer has a later plan.
fn is_outdated(shared: &Shared) -> bool {
    let forwarder = shared.forwarder.borrow();
    forwarder.is_behind() || forwarder.peers().has_later_plan(forwarder.catalog().plan().id(), now())
}

/// Random peer that is ahead; random, so that not all instances load the same one.
fn ahead(shared: &Shared) -> Option<Ipv4Addr> {
    let forwarder = shared.forwarder.borrow();
    let catalog = forwarder.catalog();
    let zone = &shared.settings.zone;
    let peers = forwarder.peers().ahead(zone, catalog.target_revision(), catalog.plan().id(), now());
    let index = rand::random_range(0..peers.len().max(1));
    peers.get(index).map(|peer| *peer.address.ip())
}

async fn fetch(shared: &Shared, peer: Ipv4Addr) {
    let known = shared.forwarder.borrow().known_state();
    match read(peer, shared.settings.snapshot_port, &known).await {
        // A peer that has just started has no state yet.
        Ok(snapshot)
            if !snapshot.revision.is_some() || known.plan.version.max(snapshot.plan.version) == 0 => {}
        Ok(snapshot) => {
            let (plan, revision) = (snapshot.plan.version, snapshot.revision);
            let records = snapshot.records.len();
            log::info!(peer:%, plan, revision:%, records; "E752 applied a peer's snapshot");
            shared.forwarder.borrow_mut().apply_snapshot(snapshot, now());
            shared.state_changed.notify_one();
        }
        Err(error) if shared.peers.accept() => {
            log::info!(peer:%, error:% = format!("{error:#}"); "E753 cannot fetch a snapshot from a peer");
        }
        Err(_) => {}
    }
}

async fn read(peer: Ipv4Addr, port: u16, known: &KnownState) -> Result<Snapshot> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect((peer, port)))
        .await
        .wrap_err("connecting timed out")??;
    let mut bytes = Vec::new();
    let exchange = async {
        stream.write_all(&known.to_bytes()).await?;
        stream.shutdown().await?;
        stream.take(MAX_SNAPSHOT_BYTES as u64).read_to_end(&mut bytes).await
    };
    timeout(TRANSFER_TIMEOUT, exchange).await.wrap_err("receiving the snapshot timed out")??;
    Ok(Snapshot::from_bytes(&bytes)?)
}
