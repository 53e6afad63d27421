//! Measures of flows and configuration.

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
    control::Order,
    store::{self, Faults},
};

/// Longest wait for a daemon to stop gracefully.
const STOP_LIMIT: Duration = Duration::from_secs(45);

async fn pause(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn rng(bench: &Bench) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(bench.seed)
}

/// Lets one target leave or come back, and one more join.
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

/// Replaces a daemon: starts one in the same zone, then stops the other gracefully.
async fn replace(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), Error> {
    let index = rng.random_range(0..bench.fleet.instances.len());
    let zone = bench.fleet.instances[index].zone.clone();
    let name = bench.fleet.instances[index].name.clone();
    bench.fleet.start_instance(&zone)?;
    bench.fleet.signal(index, "TERM")?;
    if !bench.fleet.wait_end(index, STOP_LIMIT).await {
        bench.event(format!("{name} did not stop in {} s", STOP_LIMIT.as_secs()));
    }
    bench.fleet.remove(index);
    bench.watch();
    bench.fleet.wait_ready().await
}

/// Targets and instances change together.
pub(super) async fn joint_change(bench: &mut Bench) -> Result<(), Error> {
    const CHANGES: usize = 10;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    let other = bench.open(bench.other()).await;
    bench.note_imbalance().await?;
    for change in 0..CHANGES {
        change_targets(bench, &mut rng);
        bench.accept(&format!("joint-{change}-{}", bench.seed)).await?;
        replace(bench, &mut rng).await?;
    }
    pause(3.0).await;
    let reports = [urgent.stop().await, other.stop().await];
    bench.sum_up(&reports).await
}

async fn kill_one(bench: &mut Bench, rng: &mut Pcg64Mcg) -> Result<(), Error> {
    let index = rng.random_range(0..bench.fleet.instances.len());
    let zone = bench.fleet.instances[index].zone.clone();
    let name = bench.fleet.instances[index].name.clone();
    bench.fleet.kill(index);
    bench.fleet.remove(index);
    bench.event(format!("killed {name}"));
    bench.fleet.start_instance(&zone)?;
    bench.watch();
    Ok(())
}

/// Instances are killed, outside changes and in their midst.
pub(super) async fn instance_kill(bench: &mut Bench) -> Result<(), Error> {
    const KILLS: usize = 2;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.note_imbalance().await?;
    kill_one(bench, &mut rng).await?;
    pause(10.0).await;
    for kill in 0..KILLS {
        change_targets(bench, &mut rng);
        let revision =
            bench.fleet.accept(&bench.site.folder(), &format!("kill-{kill}-{}", bench.seed)).await?;
        pause(rng.random_range(0.0..0.8)).await;
        kill_one(bench, &mut rng).await?;
        let spread = bench.monitor.wait_effective(revision).await;
        bench.figures.config_spread_s = bench.figures.config_spread_s.max(spread.as_secs_f64());
        pause(20.0).await;
    }
    let reports = [urgent.stop().await];
    bench.sum_up(&reports).await
}

/// An availability zone is cut off from the others, and joined again.
pub(super) async fn zone_cut(bench: &mut Bench) -> Result<(), Error> {
    let mut rng = rng(bench);
    let zones = bench.site.size.zones();
    let zone = zones[rng.random_range(0..zones.len())];
    let urgent = bench.open(bench.urgent()).await;
    bench.note_imbalance().await?;
    bench.fleet.switch.cut(zone, true);
    bench.event(format!("cut {zone} off"));
    let calls: Vec<_> = bench.fleet.instances.iter().filter(|i| i.zone == zone).map(|i| i.call).collect();
    for call in &calls {
        bench.fleet.fabric.cut(*call, true);
    }
    pause(6.0).await;
    change_targets(bench, &mut rng);
    bench.accept(&format!("cut-{}", bench.seed)).await?;
    pause(6.0).await;
    bench.fleet.switch.cut(zone, false);
    pause(2.0).await;
    for call in &calls {
        bench.fleet.fabric.cut(*call, false);
    }
    bench.event(format!("joined {zone} again"));
    pause(15.0).await;
    let reports = [urgent.stop().await];
    bench.sum_up(&reports).await
}

/// The store goes down right after a revision was accepted, and stays down.
pub(super) async fn store_outage(bench: &mut Bench) -> Result<(), Error> {
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.note_imbalance().await?;
    change_targets(bench, &mut rng);
    let slow = Faults { slow_ms: 1_000, ..Faults::default() };
    store::set(&bench.fleet.store_url, &slow).await?;
    let revision = bench.fleet.accept(&bench.site.folder(), &format!("outage-{}", bench.seed)).await?;
    pause(2.0).await;
    store::set(&bench.fleet.store_url, &Faults { down: true, ..Faults::default() }).await?;
    let spread = bench.monitor.wait_effective(revision).await + Duration::from_secs(2);
    bench.figures.config_spread_s = spread.as_secs_f64();
    bench.event("store down after answering in 1 s; spread counts the 2 s before the outage");
    replace(bench, &mut rng).await?;
    bench.event("an instance started and served with the store down");
    pause(15.0).await;
    store::set(&bench.fleet.store_url, &Faults { older: true, ..Faults::default() }).await?;
    bench.event("store back with older values");
    pause(8.0).await;
    store::set(&bench.fleet.store_url, &Faults::default()).await?;
    pause(5.0).await;
    let reports = [urgent.stop().await];
    bench.sum_up(&reports).await
}

/// Two operators accept at the same moment, and answers are lost.
pub(super) async fn race_accept(bench: &mut Bench) -> Result<(), Error> {
    const RACES: usize = 8;
    let mut rng = rng(bench);
    let urgent = bench.open(bench.urgent()).await;
    bench.note_imbalance().await?;
    let store = bench.fleet.store()?;
    let mut wins = 0;
    for race in 0..RACES {
        let parent = fetch::head(&store).await?;
        change_targets(bench, &mut rng);
        let a = bench.site.folder();
        change_targets(bench, &mut rng);
        let b = bench.site.folder();
        let lost = Faults { lose_answers: rng.random_range(0..4), ..Faults::default() };
        store::set(&bench.fleet.store_url, &lost).await?;
        let names = [format!("a-{race}-{}", bench.seed), format!("b-{race}-{}", bench.seed)];
        let (first, second) = tokio::join!(
            accept::accept(&store, &a, parent.as_ref(), &names[0]),
            accept::accept(&store, &b, parent.as_ref(), &names[1]),
        );
        let won = [&first, &second].iter().filter(|result| matches!(result, Ok(Accepted::New(_)))).count();
        wins += usize::from(won == 1);
        if let Some(stored) = fetch::head(&store).await? {
            let spread = bench.monitor.wait_effective(stored.head.revision).await;
            bench.figures.config_spread_s = bench.figures.config_spread_s.max(spread.as_secs_f64());
        }
        pause(2.0).await;
    }
    bench.event(format!("{wins} of {RACES} races had exactly one winner"));
    let reports = [urgent.stop().await];
    bench.sum_up(&reports).await
}

/// A target takes requests and answers none, then is itself again.
pub(super) async fn silent_flows(bench: &mut Bench) -> Result<(), Error> {
    let urgent = bench.open(bench.urgent()).await;
    bench.note_imbalance().await?;
    let name = bench.site.targets[0].name.clone();
    bench.fleet.order(&name, &Order { silent: true, leave: false }).await?;
    bench.event(format!("{name} silent"));
    pause(12.0).await;
    bench.fleet.order(&name, &Order::default()).await?;
    bench.event(format!("{name} answers again"));
    pause(8.0).await;
    let reports = [urgent.stop().await];
    bench.sum_up(&reports).await
}
