//! Registers this instance in the platform's store under a lease, so that new instances
//! can find it.

use std::{rc::Rc, time::Duration};

use ragwortlb::Error;
use ragwortlb_platform::store::Client;

use super::shared::{Shared, increment};

/// Time for which the entry outlives the instance. It may be long, as peers detect a
/// failed instance by its missing load reports.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Time between renewals: a third of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Keeps the entry registered until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut client = Client::new(shared.settings.store_address);
    let lease_ttl = LEASE_TTL.max(Duration::from_millis(shared.settings.min_lease_ms));
    let mut lease = None;
    loop {
        let delay = match renew_or_register(&shared, &mut client, lease, lease_ttl).await {
            Ok(active) => {
                let delay = if active.is_some() { RENEWAL_INTERVAL } else { Duration::ZERO };
                lease = active;
                delay
            }
            Err(error) => {
                increment(&shared.counts.store_failures);
                log::debug!("registering the instance failed: {error}");
                RETRY_DELAY
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Renews the lease, or gets one and registers under it. Returns the lease if it is
/// active; none means that it has expired.
async fn renew_or_register(
    shared: &Shared,
    client: &mut Client,
    lease: Option<u64>,
    ttl: Duration,
) -> Result<Option<u64>, Error> {
    let settings = &shared.settings;
    increment(&shared.counts.store_calls);
    if let Some(lease) = lease {
        return Ok(client.renew(lease).await?.then_some(lease));
    }
    let lease = client.lease(ttl).await?;
    increment(&shared.counts.store_calls);
    let written = client.register(&settings.name, &settings.zone, settings.ip, lease).await?;
    Ok(written.then_some(lease))
}
