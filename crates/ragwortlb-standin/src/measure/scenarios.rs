//! Measurements of flows and configuration under changes and failures.

use std::time::Duration;

use ragwortlb::Error;
use ragwortlb_rpc::store::{
    accept::{self, Accepted},
    fetch,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Bench;
use crate::{
    control::TargetCommand,
    store::{self, Faults},
};

/// Time in which an instance must shut down gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(45);

async fn pause(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn rng(bench: &Bench) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(bench.seed)
}

/// Marks a random target as leaving or serving again, and adds a spare one.
fn change_targets(bench: &mut Bench, rng: &mut Pcg64Mcg) {
    let name = bench.site.services[0].name.clone();
    let mut urgent: Vec<_> = bench.site.targets.iter_mut().filter(|target| target.service == name).collect();
    if let Some(spare) = urgent.iter_mut().find(|target| !target.is_configured) {
        spare.is_configured = true;
    }
    let pick = rng.random_range(0..urgent.len());
    let target = &mut urgent[pick];
    if target.is_configured {
        target.is_leaving = !target.is_leaving;
    }
}

/// Replaces a random instance: starts a new one in the same zone, then shuts the old one
/// down gracefully.
async fn replace(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), Error> {
    let index = rng.random_range(0..bench.fleet.instances.len());
    let zone = bench.fleet.instances[index].zone.clone();
    let name = bench.fleet.instances[index].name.clone();
    bench.fleet.start_instance(&zone)?;
    bench.fleet.signal(index, "TERM")?;
    if !bench.fleet.wait_exit(index, STOP_TIMEOUT).await {
        bench.record_event(format!("{name} did not stop in {} s", STOP_TIMEOUT.as_secs()));
    }
    bench.fleet.remove(index);
    bench.watch();
    bench.fleet.wait_ready().await
}

/// Changes targets and replaces instances together, several times.
pub(super) async fn joint_change(bench: &mut Bench) -> Result<(), Error> {
    const CHANGES: usize = 10;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    let low_priority = bench.open(bench.low_priority()).await;
    bench.measure_imbalance().await?;
    for change in 0..CHANGES {
        change_targets(bench, &mut rng);
        bench.accept(&format!("joint-{change}-{}", bench.seed)).await?;
        replace(bench, &mut rng).await?;
    }
    pause(3.0).await;
    let reports = [urgent.stop().await, low_priority.stop().await];
    bench.collect_results(&reports).await
}

async fn kill_one(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), Error> {
    let index = rng.random_range(0..bench.fleet.instances.len());
    let zone = bench.fleet.instances[index].zone.clone();
    let name = bench.fleet.instances[index].name.clone();
    bench.fleet.kill(index);
    bench.fleet.remove(index);
    bench.record_event(format!("killed {name}"));
    bench.fleet.start_instance(&zone)?;
    bench.watch();
    Ok(())
}

/// Kills instances, first without a configuration change and then during changes.
pub(super) async fn instance_kill(bench: &mut Bench) -> Result<(), Error> {
    const KILLS: usize = 2;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.measure_imbalance().await?;
    kill_one(bench, &mut rng).await?;
    pause(10.0).await;
    for kill in 0..KILLS {
        change_targets(bench, &mut rng);
        let revision =
            bench.fleet.accept(&bench.site.folder(), &format!("kill-{kill}-{}", bench.seed)).await?;
        pause(rng.random_range(0.0..0.8)).await;
        kill_one(bench, &mut rng).await?;
        let spread = bench.monitor.wait_effective(revision).await;
        bench.measurements.config_spread_s = bench.measurements.config_spread_s.max(spread.as_secs_f64());
        pause(20.0).await;
    }
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}

/// Partitions an availability zone off from the others and reconnects it.
pub(super) async fn zone_cut(bench: &mut Bench) -> Result<(), Error> {
    let mut rng = rng(bench);
    let zones = bench.site.size.zones();
    let zone = zones[rng.random_range(0..zones.len())];
    let urgent = bench.open(bench.urgent()).await;
    bench.measure_imbalance().await?;
    bench.fleet.switch.partition(zone, true);
    bench.record_event(format!("partitioned {zone} off"));
    let calls: Vec<_> = bench.fleet.instances.iter().filter(|i| i.zone == zone).map(|i| i.call).collect();
    for call in &calls {
        bench.fleet.fabric.partition(*call, true);
    }
    pause(6.0).await;
    change_targets(bench, &mut rng);
    bench.accept(&format!("cut-{}", bench.seed)).await?;
    pause(6.0).await;
    bench.fleet.switch.partition(zone, false);
    pause(2.0).await;
    for call in &calls {
        bench.fleet.fabric.partition(*call, false);
    }
    bench.record_event(format!("reconnected {zone}"));
    pause(15.0).await;
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}

/// Takes the store down right after a revision was accepted, then restores it with older
/// values.
pub(super) async fn store_outage(bench: &mut Bench) -> Result<(), Error> {
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.measure_imbalance().await?;
    change_targets(bench, &mut rng);
    let slow = Faults { slow_ms: 1_000, ..Faults::default() };
    store::set_faults(&bench.fleet.store_url, &slow).await?;
    let revision = bench.fleet.accept(&bench.site.folder(), &format!("outage-{}", bench.seed)).await?;
    pause(2.0).await;
    store::set_faults(&bench.fleet.store_url, &Faults { down: true, ..Faults::default() }).await?;
    let spread = bench.monitor.wait_effective(revision).await + Duration::from_secs(2);
    bench.measurements.config_spread_s = spread.as_secs_f64();
    bench.record_event(
        "store down, after a delay of 1 s per call; the spread includes the 2 s before the outage",
    );
    replace(bench, &mut rng).await?;
    bench.record_event("an instance started and became ready while the store was down");
    pause(15.0).await;
    store::set_faults(&bench.fleet.store_url, &Faults { stale_reads: true, ..Faults::default() }).await?;
    bench.record_event("store up again with older values");
    pause(8.0).await;
    store::set_faults(&bench.fleet.store_url, &Faults::default()).await?;
    pause(5.0).await;
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}

/// Two operators accept concurrently, and answers of the store are lost.
pub(super) async fn race_accept(bench: &mut Bench) -> Result<(), Error> {
    const RACES: usize = 8;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.measure_imbalance().await?;
    let store = bench.fleet.store()?;
    let mut wins = 0;
    for race in 0..RACES {
        let parent = fetch::head(&store).await?;
        change_targets(bench, &mut rng);
        let a = bench.site.folder();
        change_targets(bench, &mut rng);
        let b = bench.site.folder();
        let lost = Faults { lose_answers: rng.random_range(0..4), ..Faults::default() };
        store::set_faults(&bench.fleet.store_url, &lost).await?;
        let names = [format!("a-{race}-{}", bench.seed), format!("b-{race}-{}", bench.seed)];
        let (first, second) = tokio::join!(
            accept::accept(&store, &a, parent.as_ref(), &names[0]),
            accept::accept(&store, &b, parent.as_ref(), &names[1]),
        );
        let won = [&first, &second].iter().filter(|result| matches!(result, Ok(Accepted::New(_)))).count();
        wins += usize::from(won == 1);
        if let Some(stored) = fetch::head(&store).await? {
            let spread = bench.monitor.wait_effective(stored.head.revision).await;
            bench.measurements.config_spread_s = bench.measurements.config_spread_s.max(spread.as_secs_f64());
        }
        pause(2.0).await;
    }
    bench.record_event(format!("{wins} of {RACES} races had exactly one winner"));
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}

/// Stops the answers of a target, which still accepts requests, and resumes them.
pub(super) async fn silent_flows(bench: &mut Bench) -> Result<(), Error> {
    let urgent = bench.open(bench.urgent()).await;
    bench.measure_imbalance().await?;
    let name = bench.site.targets[0].name.clone();
    bench.fleet.command(&name, &TargetCommand { unresponsive: true, leave: false }).await?;
    bench.record_event(format!("{name} stopped answering"));
    pause(12.0).await;
    bench.fleet.command(&name, &TargetCommand::default()).await?;
    bench.record_event(format!("{name} answers again"));
    pause(8.0).await;
    let reports = [urgent.stop().await];
    bench.collect_results(&reports).await
}
