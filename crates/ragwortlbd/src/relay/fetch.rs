//! Snapshots between instances, for those that start or have missed rows.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use ragwortlb::{
    relay::news::{MAX_SNAPSHOT_BYTES, Snapshot},
    time::Time,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::shared::{Shared, now};

/// Time in which a peer must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which a snapshot must have arrived or left.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time between looks whether a peer knows more.
const LOOK: Duration = Duration::from_millis(100);

/// Time at the start that is left to the store before peers are asked.
const START: Duration = Duration::from_millis(250);

/// Looks in a row at which rows must be missed before a peer is asked, as some were
/// only late.
const LOOKS: u32 = 3;

/// Time without news after which a peer that knows more is asked, in milliseconds: one
/// call of a reader and a margin.
const QUIET_MS: u64 = 1_000;

/// Gives snapshots until the process ends.
pub(super) async fn serve(shared: Rc<Shared>) {
    let address = (shared.settings.ip, shared.settings.snapshot_port);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("E750 snapshots are not served: {error}");
            return;
        }
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("E751 a peer's connection was not taken: {error}");
                continue;
            }
        };
        let bytes = shared.path.borrow().snapshot().to_bytes();
        tokio::task::spawn_local(give(stream, bytes));
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
    tokio::time::sleep(START).await;
    let mut behind = 0;
    let mut progress = Progress::default();
    loop {
        if shared.path.borrow().catalog().plan().version == 0 {
            for seed in shared.settings.seeds.clone() {
                fetch(&shared, seed).await;
            }
        }
        behind = if lacks_news(&shared) { behind + 1 } else { 0 };
        let is_quiet = progress.quiet_ms(&shared, now()) >= QUIET_MS;
        if (behind >= LOOKS || is_quiet)
            && let Some(peer) = ahead(&shared)
        {
            fetch(&shared, peer).await;
            behind = 0;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether rows were missed, or a peer has a later plan.
fn lacks_news(shared: &Shared) -> bool {
    let path = shared.path.borrow();
    path.is_behind() || path.peers().has_later_plan(path.catalog().plan().version, now())
}

/// When this instance learned something last.
#[derive(Debug, Default)]
struct Progress {
    revision: u64,
    plan_version: u64,
    at: Time,
}

impl Progress {
    /// Time since this instance learned something, in milliseconds.
    fn quiet_ms(&mut self, shared: &Shared, now: Time) -> u64 {
        let path = shared.path.borrow();
        let (revision, plan_version) = (path.catalog().revision(), path.catalog().plan().version);
        if (revision, plan_version) != (self.revision, self.plan_version) {
            *self = Progress { revision, plan_version, at: now };
        }
        now.since(self.at)
    }
}

/// One of the peers that know more, drawn so that not all ask the same one.
fn ahead(shared: &Shared) -> Option<Ipv4Addr> {
    let path = shared.path.borrow();
    let catalog = path.catalog();
    let peers = path.peers().ahead(catalog.revision(), catalog.plan().version, now());
    let index = rand::random_range(0..peers.len().max(1));
    peers.get(index).map(|row| *row.address.ip())
}

async fn fetch(shared: &Shared, peer: Ipv4Addr) {
    if peer == shared.settings.ip {
        return;
    }
    match read(peer, shared.settings.snapshot_port).await {
        Ok(snapshot) => {
            log::info!(
                "E752 took plan {} and revision {} from {peer}",
                snapshot.plan.version,
                snapshot.revision
            );
            shared.path.borrow_mut().take_snapshot(snapshot, now());
            shared.learned.notify_one();
        }
        Err(error) => log::info!("E753 no snapshot from {peer}: {error:#}"),
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
