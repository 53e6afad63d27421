//! Runs a load balancer with stand-ins for its surroundings in one process, in less
//! than a minute: two services, nine instances, one simultaneous change of instances
//! and targets, and a flood of requests for the less urgent service. Prints how many
//! flows broke, how evenly flows are spread, and how much urgent work the flood left.

use std::{sync::atomic::Ordering::Relaxed, time::Duration};

use ragwortlb_standin::{
    customers::{Group, Workload},
    embedded::Embedded,
    site::{Site, Size},
};

/// Time for which the urgent requests are measured, both alone and during the flood.
const MEASURED: Duration = Duration::from_secs(8);

/// Time in which the flows are opened.
const RAMP: Duration = Duration::from_secs(2);

fn urgent(site: &Site) -> Workload {
    let service = &site.services[0];
    Workload {
        name: service.name.clone(),
        service: service.name.clone(),
        address: service.address,
        flows: 200,
        interval_ms: 800..=1_600,
        cost_ms: 5..=40,
        ..Workload::default()
    }
}

fn flood(site: &Site) -> Workload {
    let service = &site.services[1];
    Workload {
        name: "flood".to_owned(),
        service: service.name.clone(),
        address: service.address,
        flows: 400,
        interval_ms: 10..=50,
        cost_ms: 100..=300,
        deadline_ms: 1_500,
        idempotent: 1.0,
        attempts: 1,
        ..Workload::default()
    }
}

/// Requests of a group of customers that are completed in the measured time.
async fn done_in(group: &Group) -> u64 {
    let before = group.counts().done.load(Relaxed);
    tokio::time::sleep(MEASURED).await;
    group.counts().done.load(Relaxed) - before
}

/// Flows on the busiest serving target, divided by the mean.
fn imbalance(system: &Embedded, site: &Site) -> f64 {
    let name = &site.services[0].name;
    let serving = site.targets.iter().filter(|t| t.service == *name && t.is_configured && !t.is_leaving);
    let flows: Vec<usize> = serving.map(|target| system.targets()[&target.name].stats().flows).collect();
    let mean = flows.iter().sum::<usize>() as f64 / flows.len() as f64;
    flows.iter().copied().max().unwrap_or_default() as f64 / mean
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut site = Site::new(Size::Nido, 1, false)?;
    let mut system = Embedded::start(&site).await?;
    println!("1/5 starting 9 instances in 3 availability zones, 18 targets, a store");
    for index in 0..site.size.instances() {
        system.start_instance(site.size.zones()[index % site.size.zones().len()]).await?;
    }
    system.accept(&site.folder(), "start").await?;
    system.wait_ready().await?;

    println!("2/5 opening flows to {} and measuring it without other load", site.services[0].name);
    let group = Group::start(urgent(&site), &system.fabric, RAMP);
    tokio::time::sleep(RAMP).await;
    let alone = done_in(&group).await;
    let imbalance = imbalance(&system, &site);

    println!("3/5 changing at once: a target leaves, one joins, an instance is replaced");
    site.targets[0].is_leaving = true;
    if let Some(spare) = site.targets.iter_mut().find(|target| !target.is_configured) {
        spare.is_configured = true;
    }
    let revision = system.accept(&site.folder(), "joint change").await?;
    let spread = system.wait_effective(revision).await;
    let zone = system.stop_oldest().await?;
    system.start_instance(&zone).await?;
    system.wait_ready().await?;

    println!("4/5 flooding {}", site.services[1].name);
    let flood = Group::start(flood(&site), &system.fabric, Duration::from_millis(500));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let in_flood = done_in(&group).await;

    println!("5/5 stopping");
    let flood = flood.stop().await;
    let report = group.stop().await;
    println!();
    println!("flows opened                    {}", report.counts.flows.load(Relaxed));
    println!("flows broken                    {}", report.counts.broken.load(Relaxed));
    println!("answers of another service      {}", report.counts.misdelivered.load(Relaxed));
    println!("incomplete or wrong answers     {}", report.counts.wrong.load(Relaxed));
    println!("flows, busiest target over mean {imbalance:.2}");
    println!("revision effective everywhere   {:.2} s", spread.as_secs_f64());
    println!("urgent requests kept in flood   {:.1} %", 100.0 * in_flood as f64 / alone as f64);
    println!(
        "flood: requests done / refused  {} / {}",
        flood.counts.done.load(Relaxed),
        flood.counts.not_run.load(Relaxed)
    );
    system.stop().await?;
    Ok(())
}
