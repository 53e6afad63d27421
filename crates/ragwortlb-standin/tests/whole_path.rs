//! Sends requests through separate processes, from customers to targets, and checks that
//! none is misdelivered, wrong, or on a broken flow.

use std::{path::Path, sync::atomic::Ordering::Relaxed, time::Duration};

use ragwortlb_standin::{
    customers::{Group, Workload},
    fleet::Fleet,
    site::{Site, Size},
};

#[tokio::test(flavor = "multi_thread")]
async fn separate_processes() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("whole-path");
    let mut fleet = Fleet::new(Path::new(env!("CARGO_BIN_EXE_ragwortlb-standin")), &folder).unwrap();
    let site = Site::new(Size::Nido, 0, false).unwrap();
    fleet.start_targets(&site).unwrap();
    for zone in ["pa", "ct", "me"] {
        fleet.start_instance(zone).unwrap();
    }
    assert_eq!(fleet.accept(&site.folder(), "first").await.unwrap(), 1);
    fleet.wait_ready().await.unwrap();

    let mut groups = Vec::new();
    for service in &site.services {
        let workload = Workload {
            name: service.name.clone(),
            service: service.name.clone(),
            address: service.address,
            flows: 20,
            interval_ms: 10..=50,
            attempts: 10,
            ..Workload::default()
        };
        groups.push(Group::start(workload, &fleet.fabric, Duration::from_millis(100)));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for group in groups {
        let report = group.stop().await;
        assert!(report.counts.done.load(Relaxed) > 0);
        assert_eq!(report.counts.broken.load(Relaxed), 0);
        assert_eq!(report.counts.misdelivered.load(Relaxed), 0);
        assert_eq!(report.counts.wrong.load(Relaxed), 0);
    }
}
