//! Snapshots between instances, for those that start or have missed rows.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use ragwortlb::relay::gossip::{MAX_SNAPSHOT_BYTES, Snapshot};
use rand::seq::IteratorRandom;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};

use super::shared::{Shared, now};

/// Time in which a peer must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which a snapshot must have arrived or left.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between looks whether a peer knows more.
const LOOK: Duration = Duration::from_millis(100);

/// Time between looks before the first plan is known.
const FIRST_LOOK: Duration = Duration::from_millis(50);

/// Peers that are asked at the same time before the first plan is known.
const MOST_ASKED: usize = 3;

/// Snapshots that are given at the same time; whoever asks for more asks another peer.
const MOST_GIVEN: usize = 6;

/// Looks in a row at which rows must be missed before a peer is asked, as some were
/// only late.
const LOOKS: u32 = 3;

/// Time without news after which a peer that knows more is asked, in milliseconds: one
/// call of a reader and a margin,
/// and the time in which another instance takes over.
const QUIET_MS: u64 = 1_400;

/// Gives snapshots until the process ends.
pub(super) async fn serve(shared: Rc<Shared>) {
    let address = (shared.settings.ip, shared.settings.snapshot_port);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:%; "E750 snapshots are not served");
            return;
        }
    };
    // One count for each snapshot that is being given, beside this one.
    let giving = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "E751 a peer's connection was not taken");
                continue;
            }
        };
        if Rc::strong_count(&giving) > MOST_GIVEN {
            continue;
        }
        let bytes = shared.forwarder.borrow().snapshot().to_bytes();
        let place = giving.clone();
        tokio::task::spawn_local(async move {
            give(stream, bytes).await;
            drop(place);
        });
    }
}

async fn give(mut stream: TcpStream, bytes: Vec<u8>) {
    let sent = timeout(TRANSFER_TIMEOUT, async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    });
    if !matches!(sent.await, Ok(Ok(()))) {
        log::debug!("a snapshot was not sent to its end");
    }
}

/// Fetches snapshots from peers that know more, until the process ends.
pub(super) async fn catch_up(shared: Rc<Shared>) {
    start(&shared).await;
    let mut behind = 0;
    loop {
        behind = if lacks_news(&shared) { behind + 1 } else { 0 };
        let is_quiet = shared.forwarder.borrow().sync_age_ms(now()) >= QUIET_MS;
        if (behind >= LOOKS || is_quiet)
            && let Some(peer) = ahead(&shared)
        {
            fetch(&shared, peer).await;
            behind = 0;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Asks seeds and peers until a plan is known. The store is read at the same time; on
/// a narrow link its answer takes longer than a snapshot.
async fn start(shared: &Rc<Shared>) {
    let mut running: Vec<JoinHandle<()>> = Vec::new();
    while shared.forwarder.borrow().catalog().plan().version == 0 {
        running.retain(|task| !task.is_finished());
        if running.len() < MOST_ASKED
            && let Some(peer) = ahead(shared).or_else(|| any_seed(shared))
        {
            running.push(tokio::task::spawn_local(fetch_first(shared.clone(), peer)));
        }
        tokio::time::sleep(FIRST_LOOK).await;
    }
}

fn any_seed(shared: &Shared) -> Option<Ipv4Addr> {
    let others = shared.settings.seeds.iter().filter(|seed| **seed != shared.settings.ip);
    others.choose(&mut rand::rng()).copied()
}

async fn fetch_first(shared: Rc<Shared>, peer: Ipv4Addr) {
    fetch(&shared, peer).await;
}

/// Whether rows were missed, or a peer has a later plan.
fn lacks_news(shared: &Shared) -> bool {
    let forwarder = shared.forwarder.borrow();
    forwarder.is_behind() || forwarder.peers().has_later_plan(forwarder.catalog().plan().version, now())
}

/// One of the peers that know more, drawn so that not all ask the same one.
fn ahead(shared: &Shared) -> Option<Ipv4Addr> {
    let forwarder = shared.forwarder.borrow();
    let catalog = forwarder.catalog();
    let peers = forwarder.peers().ahead(catalog.revision(), catalog.plan().version, now());
    let index = rand::random_range(0..peers.len().max(1));
    peers.get(index).map(|row| *row.address.ip())
}

async fn fetch(shared: &Shared, peer: Ipv4Addr) {
    match read(peer, shared.settings.snapshot_port).await {
        // A peer that has just started knows no plan yet.
        Ok(snapshot) if snapshot.plan.version == 0 => {}
        Ok(snapshot) => {
            let (plan, revision) = (snapshot.plan.version, snapshot.revision);
            log::info!(peer:%, plan, revision; "E752 took a snapshot");
            shared.forwarder.borrow_mut().apply_snapshot(snapshot, now());
            shared.learned.notify_one();
        }
        Err(error) if shared.peers.take() => {
            log::info!(peer:%, error:% = format!("{error:#}"); "E753 a peer gave no snapshot");
        }
        Err(_) => {}
    }
}

async fn read(peer: Ipv4Addr, port: u16) -> Result<Snapshot> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect((peer, port)))
        .await
        .wrap_err("the connection was not made in time")??;
    let mut bytes = Vec::new();
    timeout(TRANSFER_TIMEOUT, stream.take(MAX_SNAPSHOT_BYTES as u64).read_to_end(&mut bytes))
        .await
        .wrap_err("it did not arrive in time")??;
    Ok(Snapshot::from_bytes(&bytes)?)
}
