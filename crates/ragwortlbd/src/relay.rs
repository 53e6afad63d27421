/*!
The daemon on the operators' platform: packets in, packets out.

One thread runs everything, so the packet path shares its state without locks.
Of its modules `packets` moves packets, `decisions` logs what becomes of them, `news` talks with other instances, `follow`
follows the platform's store, `fetch` gives and takes snapshots, and `register`
keeps this instance's entry. What they know and decide is in
[`ragwortlb::relay::forwarder::Forwarder`].
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

/// Time for which an instance that was asked to stop goes on taking packets, in
/// milliseconds: the fabric misses it after two checks, half a second apart, and
/// packets on their way arrive.
const LEAVE_MS: u64 = 2_500;

/// Part of the grace period that is left for the end of the process, in milliseconds.
const END_MS: u64 = 1_500;

/// Signals of the platform.
struct Signals {
    term: Signal,
    hup: Signal,
}

/// Runs the daemon until it is asked to stop.
///
/// # Errors
///
/// The settings are not valid, or an address cannot be bound.
pub fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime did not start")?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<()> {
    // Before anything else, as the default of either signal ends the process.
    let signals = Signals { term: signal(SignalKind::terminate())?, hup: signal(SignalKind::hangup())? };
    let settings = settings::read()?;
    let leave_ms = LEAVE_MS.min(settings.grace_ms.saturating_sub(END_MS));
    let shared = Shared::new(settings).await?;
    log::info!(instance:% = shared.settings.name, zone:% = shared.settings.zone; "E700 started");
    tokio::task::spawn_local(packets::run(shared.clone()));
    tokio::task::spawn_local(news::receive(shared.clone()));
    tokio::task::spawn_local(news::send(shared.clone()));
    tokio::task::spawn_local(follow::run(shared.clone()));
    tokio::task::spawn_local(fetch::serve(shared.clone()));
    tokio::task::spawn_local(fetch::catch_up(shared.clone()));
    tokio::task::spawn_local(register::run(shared.clone()));
    tokio::task::spawn_local(answer(shared.clone()));
    wait(signals, &shared.settings).await;
    shared.forwarder.borrow_mut().leave();
    log::info!(within_ms = leave_ms; "E701 leaves, as it was asked to stop");
    tokio::time::sleep(Duration::from_millis(leave_ms)).await;
    log::info!("E704 stopped");
    Ok(())
}

async fn answer(shared: Rc<Shared>) {
    let Err(error) = ready::serve(shared.settings.ready_address, shared.clone()).await;
    log::error!(error:%; "E705 the address for readiness is not served");
}

/// Waits for the signal to stop, and reads the settings anew on each reload.
async fn wait(mut signals: Signals, current: &Settings) {
    loop {
        tokio::select! {
            _ = signals.term.recv() => return,
            _ = signals.hup.recv() => reload(current),
        }
    }
}

/// Checks settings that were changed. Addresses are bound at the start, so a change
/// of them takes effect with the next start, which the platform brings about.
fn reload(current: &Settings) {
    match settings::read() {
        Ok(settings) if settings == *current => log::info!("E706 the settings are unchanged"),
        Ok(_) => log::info!("E706 the settings have changed; they hold from the next start"),
        Err(error) => log::warn!(error:%; "E707 changed settings are not usable and were not taken"),
    }
}
