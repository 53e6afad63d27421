/*!
The daemon on the operators' platform: forwards the packets of flows to targets.

All tasks run on one thread, so the packet path shares its state without locks.
They own the sockets, timers and logs; the state and all decisions are in
[`ragwortlb::relay::forwarder::Forwarder`].

| module | task |
|---|---|
| `packets` | receives packets, and forwards, defers, rejects or drops them |
| `decisions` | logs placed and refused flows |
| `news` | exchanges load reports, updates and member lists with peers (gossip) |
| `follow` | reads and watches the platform's store |
| `fetch` | serves snapshots to peers, and fetches them from peers |
| `register` | keeps this instance's entry in the store |
| `shared` | state, sockets, counters and rate limits of log lines |
*/

mod decisions;
mod fetch;
mod follow;
mod news;
mod packets;
mod register;
mod shared;

use std::{rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use ragwortlb_platform::{
    ready,
    settings::{self, Settings},
};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::LocalSet,
};

use shared::Shared;

/// Time for which an instance still forwards packets after SIGTERM, in milliseconds.
/// The fabric stops sending after two failed readiness checks, half a second apart; the
/// rest is for packets in flight.
const DRAIN_MS: u64 = 2_500;

/// Part of the grace period that is kept for the process to exit, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_500;

/// Signals that the platform sends: SIGTERM to stop, SIGHUP to reload the settings.
struct Signals {
    term: Signal,
    hup: Signal,
}

/// Runs the daemon until SIGTERM.
///
/// # Errors
///
/// The settings are not valid, or an address cannot be bound.
pub fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<()> {
    // First of all, as the default action of both signals ends the process.
    let signals = Signals { term: signal(SignalKind::terminate())?, hup: signal(SignalKind::hangup())? };
    let settings = settings::read()?;
    let drain_ms = DRAIN_MS.min(settings.grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let shared = Shared::new(settings).await?;
    log::info!(instance:% = shared.settings.name, zone:% = shared.settings.zone; "E700 instance started");
    tokio::task::spawn_local(packets::run(shared.clone()));
    tokio::task::spawn_local(follow::run(shared.clone()));
    tokio::task::spawn_local(fetch::serve(shared.clone()));
    tokio::task::spawn_local(fetch::catch_up(shared.clone()));
    tokio::task::spawn_local(register::run(shared.clone()));
    tokio::task::spawn_local(serve_readiness(shared.clone()));
    wait_for_shutdown(signals, &shared.settings).await;
    shared.forwarder.borrow_mut().leave();
    log::info!(within_ms = drain_ms; "E701 shutting down after SIGTERM; not ready any more, packets are still forwarded");
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    log::info!("E704 instance stopped");
    Ok(())
}

async fn serve_readiness(shared: Rc<Shared>) {
    let Err(error) = ready::serve(shared.settings.ready_address, shared.clone()).await;
    log::error!(error:%; "E705 cannot serve the readiness address; the fabric will not send packets");
}

/// Waits for SIGTERM, and checks the settings file on each SIGHUP.
async fn wait_for_shutdown(mut signals: Signals, current: &Settings) {
    loop {
        tokio::select! {
            _ = signals.term.recv() => return,
            _ = signals.hup.recv() => reload(current),
        }
    }
}

/// Reads the settings file again and logs whether it is valid. Addresses are bound at
/// the start, so changes take effect only at the next start, which is up to the platform.
fn reload(current: &Settings) {
    match settings::read() {
        Ok(settings) if settings == *current => log::info!("E706 settings reloaded: unchanged"),
        Ok(_) => log::info!("E706 settings reloaded: changes take effect at the next start"),
        Err(error) => {
            log::warn!(error:%; "E707 settings not reloaded: the file is invalid; the current ones stay in effect")
        }
    }
}
