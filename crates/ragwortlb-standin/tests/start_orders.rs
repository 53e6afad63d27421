//! Starts instances while the store is down or returns corrupt values, and before the
//! targets. They must not become ready without a valid configuration, and a later one
//! must get it from its peers.

use std::{path::Path, time::Duration};

use ragwortlb_standin::{
    fleet::Fleet,
    site::{Site, Size},
    store::{self, Faults},
};

/// Time in which no instance may become ready.
const NOT_READY_TIME: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn store_last() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("start-orders");
    let mut fleet = Fleet::new(Path::new(env!("CARGO_BIN_EXE_ragwortlb-standin")), &folder).unwrap();
    let site = Site::new(Size::Nido, 0, false).unwrap();
    fleet.accept(&site.folder(), "first").await.unwrap();
    let url = fleet.store_url.clone();
    store::set_faults(&url, &Faults { down: true, ..Faults::default() }).await.unwrap();
    fleet.start_instance("pa").unwrap();
    fleet.start_instance("ct").unwrap();
    assert!(!fleet.fabric.wait_ready(1, NOT_READY_TIME).await);
    store::set_faults(&url, &Faults { corrupt_reads: true, ..Faults::default() }).await.unwrap();
    assert!(!fleet.fabric.wait_ready(1, NOT_READY_TIME).await);
    store::set_faults(&url, &Faults::default()).await.unwrap();
    fleet.wait_ready().await.unwrap();
    store::set_faults(&url, &Faults { down: true, ..Faults::default() }).await.unwrap();
    fleet.start_instance("me").unwrap();
    fleet.wait_ready().await.unwrap();
    assert_eq!(fleet.status(2).await.unwrap().effective_revision, 1);
    fleet.start_targets(&site).unwrap();
}
