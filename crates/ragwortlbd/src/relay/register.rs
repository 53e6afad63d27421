//! Registers this instance in the platform's store, so that new instances can find it.
//!
//! An entry stays when its instance ends, as most instances start again under the same name
//! and address: the next start then needs no write. The store reader of an availability zone
//! removes the entries of instances of its zone that have not sent a message for long.

use std::{rc::Rc, sync::Arc, time::Duration};

use ragwortlb::Error;
use ragwortlb_platform::store::{Client, Freshness, MAX_REMOVALS};

use super::shared::{Shared, increment, now};

/// Time between checks that the entry is there. It may have been removed while the instance
/// was partitioned.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Delay after the first failed call; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Longest delay until an instance checks its entry after a return of the store from a backup.
/// All instances learn of that at the same time.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(2);

/// Time without a message after which the entry of an instance is removed, in milliseconds:
/// longer than an outage of a zone or a replacement of the instance.
const MAX_SILENCE_MS: u64 = 90_000;

/// Keeps the entry registered until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut client = Client::new(shared.settings.store_address);
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut freshness = Freshness::Stale;
    loop {
        let delay = match update_entries(&shared, &mut client, freshness).await {
            Ok(()) => {
                freshness = Freshness::Stale;
                retry_delay = MIN_RETRY_DELAY;
                CHECK_INTERVAL
            }
            Err(error) => {
                increment(&shared.counts.store_failures);
                log::debug!("registering the instance failed: {error}");
                let delay = retry_delay;
                retry_delay = MAX_RETRY_DELAY.min(2 * retry_delay);
                delay
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = shared.era_began.notified() => {
                // A stale read may still show the entry that the backup has lost.
                freshness = Freshness::Current;
                tokio::time::sleep(MAX_RESTORE_DELAY.mul_f64(rand::random())).await;
            }
        }
    }
}

/// Registers this instance if it is not, and removes entries of instances that have ended.
async fn update_entries(shared: &Shared, client: &mut Client, freshness: Freshness) -> Result<(), Error> {
    let settings = &shared.settings;
    increment(&shared.counts.store_calls);
    if !client.is_registered(&settings.name, &settings.zone, settings.ip, freshness).await? {
        increment(&shared.counts.store_calls);
        client.register(&settings.name, &settings.zone, settings.ip).await?;
    }
    let ended = ended_instances(shared);
    if !ended.is_empty() {
        increment(&shared.counts.store_calls);
        client.unregister(&ended).await?;
        log::info!(count = ended.len(); "E746 removed the entries of instances that have ended");
    }
    Ok(())
}

/// Instances of this availability zone whose entries this instance removes.
fn ended_instances(shared: &Shared) -> Vec<Arc<str>> {
    let forwarder = shared.forwarder.borrow();
    if !forwarder.is_reader(now()) {
        return Vec::new();
    }
    let silent = forwarder.peers().silent(&shared.settings.zone, MAX_SILENCE_MS, now());
    silent.take(MAX_REMOVALS).map(|peer| peer.name.clone()).collect()
}
