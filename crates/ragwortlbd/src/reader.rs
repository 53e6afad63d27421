/*!
Follows the accepted revision in the platform's store.

A few instances in each availability zone watch the head; which ones follows
from the roster, without a lease. The others hear of a revision from peers, and
poll the head slowly in case none of them does.
*/

use std::{sync::Arc, time::Duration};

use ragwortlb::{Error, config::revision::HEAD_KEY, node::Event};
use ragwortlb_rpc::store::{Store, fetch};
use rand::RngExt;

use crate::core::Driver;

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(10);

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after failures.
const LAST_PAUSE: Duration = Duration::from_secs(5);

/// Reads the store until the task is dropped.
pub async fn follow(driver: Arc<Driver>, store: Arc<dyn Store>, poll: Duration) {
    let mut version = 0;
    let mut pause = FIRST_PAUSE;
    loop {
        match read_next(&driver, &*store, version).await {
            Ok(read) => {
                version = read;
                pause = FIRST_PAUSE;
                if !driver.is_reader() {
                    tokio::time::sleep(with_jitter(poll)).await;
                }
            }
            Err(error) => {
                log::warn!("E601 {error}");
                tokio::time::sleep(with_jitter(pause)).await;
                pause = (pause * 2).min(LAST_PAUSE);
            }
        }
    }
}

/// Waits for the next head, or reads the present one, and offers it to the node.
async fn read_next(driver: &Arc<Driver>, store: &dyn Store, version: u64) -> Result<u64, Error> {
    let has_one = version > 0;
    let entry = if has_one && driver.is_reader() {
        store.watch(HEAD_KEY, version, WATCH).await?
    } else {
        store.get(HEAD_KEY).await?
    };
    let Some(entry) = entry else {
        if !has_one {
            tokio::time::sleep(FIRST_PAUSE).await;
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

/// Spreads pauses from half to one and a half.
fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
