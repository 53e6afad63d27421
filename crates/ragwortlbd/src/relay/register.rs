//! Keeps this instance's entry in the platform's store, under a lease, so that new
//! instances find it.

use std::{rc::Rc, time::Duration};

use ragwortlb::Error;
use ragwortlb_platform::store::Client;

use super::shared::{Shared, add};

/// Time for which the entry outlives the instance. Peers go by what they hear, so it
/// may be long.
const LEASE: Duration = Duration::from_secs(30);

/// Time between renewals: a third of the lease.
const RENEWAL: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(1_000);

/// Keeps the entry until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut client = Client::new(shared.settings.store_address);
    let lease_time = LEASE.max(Duration::from_millis(shared.settings.min_lease_ms));
    let mut lease = None;
    loop {
        let pause = match keep(&shared, &mut client, lease, lease_time).await {
            Ok(kept) => {
                let pause = if kept.is_some() { RENEWAL } else { Duration::ZERO };
                lease = kept;
                pause
            }
            Err(error) => {
                add(&shared.counts.store_failures);
                log::debug!("{error}");
                RETRY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes or renews the lease; returns the one that runs.
async fn keep(
    shared: &Shared,
    client: &mut Client,
    lease: Option<u64>,
    time: Duration,
) -> Result<Option<u64>, Error> {
    let settings = &shared.settings;
    add(&shared.counts.store_calls);
    if let Some(lease) = lease {
        return Ok(client.renew(lease).await?.then_some(lease));
    }
    let lease = client.lease(time).await?;
    add(&shared.counts.store_calls);
    let written = client.register(&settings.name, &settings.zone, settings.ip, lease).await?;
    Ok(written.then_some(lease))
}
