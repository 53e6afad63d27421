/*!
Reads the accepted configuration revision from the platform's store.

A few instances in each availability zone, the store readers, watch the head of the
configuration. Every instance computes from the roster which ones they are, so no
lease is needed. The others get revisions from peers, and also poll the head at a
long interval, in case no store reader works.
*/

use std::{sync::Arc, time::Duration};

use ragwortlb::{Error, config::revision::HEAD_KEY, node::Event};
use ragwortlb_rpc::store::{Store, fetch};
use rand::RngExt;

use crate::core::Driver;

/// Time for which the store may hold back its answer to a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay after the first failure, and between reads while the store has no head.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay; it doubles with each failure in a row.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Reads and watches the head until the task is dropped.
pub async fn follow(driver: Arc<Driver>, store: Arc<dyn Store>, poll_interval: Duration) {
    let mut version = 0;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match read_next(&driver, &*store, version).await {
            Ok(read) => {
                version = read;
                delay = MIN_RETRY_DELAY;
                if !driver.is_reader() {
                    tokio::time::sleep(with_jitter(poll_interval)).await;
                }
            }
            Err(error) => {
                log::warn!("E601 cannot read the accepted revision from the store: {error}");
                tokio::time::sleep(with_jitter(delay)).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Waits for the next head if this instance is a store reader, else reads the current one.
/// Passes a new revision to the node and returns the version of the head.
async fn read_next(driver: &Arc<Driver>, store: &dyn Store, version: u64) -> Result<u64, Error> {
    let has_head = version > 0;
    let entry = if has_head && driver.is_reader() {
        store.watch(HEAD_KEY, version, WATCH_WAIT).await?
    } else {
        store.get(HEAD_KEY).await?
    };
    let Some(entry) = entry else {
        if !has_head {
            tokio::time::sleep(MIN_RETRY_DELAY).await;
        }
        return Ok(version);
    };
    if entry.version == version {
        return Ok(version);
    }
    let head = ragwortlb::config::revision::Head::from_json(&entry.value)?;
    let bundle = fetch::bundle(store, head, |_| None).await?;
    driver.handle(Event::Accepted(bundle));
    Ok(entry.version)
}

/// Random delay from 0.5 to 1.5 times the given one, so that instances spread their calls.
fn with_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.5))
}
