/*!
Measurements of the system as separate processes.

Each one starts the site of a user, sends requests with groups of customers, injects
failures, and reports the result as [`Measurements`]. The high-priority service of a
site is called the urgent one here, as in the names of the output.
*/

mod floods;
mod monitor;
mod scenarios;

use std::{
    path::Path,
    str::FromStr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use ragwortlb::Error;
use serde::Serialize;

use crate::{
    customers::{Group, Report, Workload},
    fleet::Fleet,
    site::{Site, Size},
};
use monitor::Monitor;

/// Time over which the flows of a group open.
const RAMP_UP: Duration = Duration::from_secs(3);

/// Measurement to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Targets and instances change together, several times.
    JointChange,
    /// Instances are killed, without and during configuration changes.
    InstanceKill,
    /// An availability zone is partitioned off and reconnected.
    ZoneCut,
    /// The store goes down after a revision was accepted.
    StoreOutage,
    /// Two operators accept concurrently, and answers of the store are lost.
    RaceAccept,
    /// A target stops answering but still accepts requests.
    SilentFlows,
    /// The low-priority service is flooded.
    LowFlood,
    /// The urgent service is flooded.
    UrgentFlood,
    /// Instances, which store the records of requests that are not idempotent, are
    /// suspended and killed while such requests run.
    ReplicaKill,
    /// An instance and a target shut down gracefully during a flood.
    DrainInFlood,
}

impl Name {
    /// All measurements by their names on the command line.
    pub const ALL: [(&'static str, Name); 10] = [
        ("joint-change", Name::JointChange),
        ("instance-kill", Name::InstanceKill),
        ("zone-cut", Name::ZoneCut),
        ("store-outage", Name::StoreOutage),
        ("race-accept", Name::RaceAccept),
        ("silent-flows", Name::SilentFlows),
        ("low-flood", Name::LowFlood),
        ("urgent-flood", Name::UrgentFlood),
        ("keeper-kill", Name::ReplicaKill),
        ("drain-in-flood", Name::DrainInFlood),
    ];
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Name, String> {
        let found = Name::ALL.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = Name::ALL.iter().map(|(name, _)| *name).collect();
        found.map(|(_, name)| *name).ok_or_else(|| format!("{text:?} is not one of {}", names.join(", ")))
    }
}

/// Results of a measurement.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Measurements {
    /// Flows opened.
    pub flows: u64,
    /// Flows with a request that reached another target than their first one.
    pub broken_flows: u64,
    /// Requests that reached targets of another service.
    pub misdelivered: u64,
    /// Answers that are malformed or belong to another request.
    pub wrong_answers: u64,
    /// Ratio of flows on the most loaded target to the mean of all targets.
    pub imbalance_max_over_mean: f64,
    /// Number of times that an instance went back to an older revision.
    pub config_reverts: u64,
    /// Longest time from accepting a revision until it was effective on all instances, in
    /// seconds.
    pub config_spread_s: f64,
    /// Maximum rate at which one instance sent to its peers, in bytes per second.
    pub control_bytes_per_s_max: f64,
    /// Mean rate at which an instance sent to its peers, in bytes per second.
    pub control_bytes_per_s_mean: f64,
    /// Bytes sent to peers by kind of message, sum of all instances live at the end.
    pub control_by_kind: std::collections::BTreeMap<String, u64>,
    /// Requests that were reported as not run although a target ran them.
    pub refused_not_run_but_ran: u64,
    /// Requests run more than once though they are not idempotent.
    pub ran_twice: u64,
    /// Requests answered.
    pub done: u64,
    /// Requests that were rejected without being run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Fraction of requests whose outcome is unknown.
    pub unknown_share: f64,
    /// Ratio of the urgent service's goodput during the flood to that without it.
    pub urgent_kept: Option<f64>,
    /// Ratio of the low-priority service's goodput during the flood to that without it.
    pub low_kept: Option<f64>,
    /// Ratio of the goodput during the flood to the capacity of the slots.
    pub goodput_over_capacity: Option<f64>,
    /// Ratio of the goodput after the flood to that before it.
    pub goodput_after: Option<f64>,
    /// Ratio of runs on targets to requests received.
    pub retry_amplification: Option<f64>,
    /// Ratio of the urgent service's 99th percentile latency during the flood to that
    /// without it.
    pub p99_over_p99_alone: Option<f64>,
    /// Number of attempts that were not run or had an unknown outcome, by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
    /// Injected failures and their observed effects, in order.
    pub events: Vec<String>,
}

/// Running site under measurement.
pub(crate) struct Bench {
    pub(crate) site: Site,
    pub(crate) fleet: Fleet,
    pub(crate) monitor: Arc<Monitor>,
    pub(crate) seed: u64,
    pub(crate) measurements: Measurements,
}

/// Runs a measurement with the stand-in executable `program`; `folder` receives settings
/// and logs.
///
/// # Errors
///
/// A process could not be started or did not answer.
pub async fn run(
    name: Name,
    size: Size,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> Result<Measurements, Error> {
    let mut bench = Bench::start(size, seed, program, folder).await?;
    match name {
        Name::JointChange => scenarios::joint_change(&mut bench).await?,
        Name::InstanceKill => scenarios::instance_kill(&mut bench).await?,
        Name::ZoneCut => scenarios::zone_cut(&mut bench).await?,
        Name::StoreOutage => scenarios::store_outage(&mut bench).await?,
        Name::RaceAccept => scenarios::race_accept(&mut bench).await?,
        Name::SilentFlows => scenarios::silent_flows(&mut bench).await?,
        Name::LowFlood => floods::low_flood(&mut bench).await?,
        Name::UrgentFlood => floods::urgent_flood(&mut bench).await?,
        Name::ReplicaKill => floods::replica_kill(&mut bench).await?,
        Name::DrainInFlood => floods::drain_in_flood(&mut bench).await?,
    }
    bench.monitor.stop();
    Ok(bench.measurements)
}

impl Bench {
    async fn start(size: Size, seed: u64, program: &Path, folder: &Path) -> Result<Bench, Error> {
        const SPARES: usize = 4;
        let fail = |error: std::io::Error| Error::new("find free ports", error.to_string());
        let site = Site::new(size, SPARES, false).map_err(fail)?;
        let mut fleet = Fleet::new(program, folder)?;
        fleet.start_targets(&site)?;
        for index in 0..size.instances() {
            fleet.start_instance(size.zones()[index % size.zones().len()])?;
        }
        fleet.accept(&site.folder(), &format!("start-{seed}")).await?;
        fleet.wait_ready().await?;
        let monitor = Monitor::start();
        let mut bench = Bench { site, fleet, monitor, seed, measurements: Measurements::default() };
        bench.watch();
        Ok(bench)
    }

    /// Sets the instances that the monitor polls to those of the fleet.
    pub(crate) fn watch(&mut self) {
        let daemons = self.fleet.instances.iter();
        self.monitor.watch(daemons.map(|instance| (instance.name.clone(), instance.operators)).collect());
    }

    /// Workload of the urgent service.
    pub(crate) fn urgent(&self) -> Workload {
        let service = &self.site.services[0];
        Workload {
            name: service.name.clone(),
            service: service.name.clone(),
            address: service.address,
            flows: 1_500,
            interval_ms: 1_500..=4_500,
            cost_ms: 5..=30,
            attempts: 6,
            seed: self.seed,
            ..Workload::default()
        }
    }

    /// Workload of the low-priority service.
    pub(crate) fn low_priority(&self) -> Workload {
        let service = &self.site.services[1];
        Workload {
            name: service.name.clone(),
            service: service.name.clone(),
            address: service.address,
            flows: 200,
            ..self.urgent()
        }
    }

    /// Starts a group and waits for the time in which its flows open.
    pub(crate) async fn open(&self, workload: Workload) -> Group {
        let group = Group::start(workload, &self.fleet.fabric, RAMP_UP);
        tokio::time::sleep(RAMP_UP).await;
        group
    }

    /// Accepts the current configuration of the site and waits until it is effective on
    /// all instances.
    pub(crate) async fn accept(&mut self, change: &str) -> Result<(), Error> {
        let revision = self.fleet.accept(&self.site.folder(), change).await?;
        let spread = self.monitor.wait_effective(revision).await;
        self.measurements.config_spread_s = self.measurements.config_spread_s.max(spread.as_secs_f64());
        Ok(())
    }

    /// Appends an event to the results.
    pub(crate) fn record_event(&mut self, what: impl Into<String>) {
        self.measurements.events.push(what.into());
    }

    /// Adds the reports of customers, targets and instances to the results.
    pub(crate) async fn collect_results(&mut self, reports: &[Report]) -> Result<(), Error> {
        let target_reports = self.fleet.target_reports().await?;
        for index in 0..self.fleet.instances.len() {
            let state = self.fleet.status(index).await?;
            for (kind, bytes) in state.control_bytes_by_kind {
                *self.measurements.control_by_kind.entry(kind).or_default() += bytes;
            }
        }
        let measurements = &mut self.measurements;
        for report in reports {
            let counts = &report.counts;
            measurements.flows += counts.flows.load(Relaxed);
            measurements.broken_flows += counts.broken.load(Relaxed);
            measurements.misdelivered += counts.misdelivered.load(Relaxed);
            measurements.wrong_answers += counts.wrong.load(Relaxed);
            measurements.done += counts.done.load(Relaxed);
            measurements.not_run += counts.not_run.load(Relaxed);
            measurements.unknown += counts.unknown.load(Relaxed);
            for (reason, count) in &report.reasons {
                *measurements.reasons.entry(reason.clone()).or_default() += count;
            }
            let ran = |request: &&(String, u64)| {
                target_reports.values().any(|target_report| target_report.ran.contains(request))
            };
            measurements.refused_not_run_but_ran += report.refused.iter().filter(ran).count() as u64;
        }
        let total = measurements.done + measurements.not_run + measurements.unknown;
        measurements.unknown_share = measurements.unknown as f64 / total.max(1) as f64;
        measurements.ran_twice = target_reports.values().map(|target_report| target_report.ran_twice).sum();
        measurements.misdelivered +=
            target_reports.values().map(|target_report| target_report.misdelivered).sum::<u64>();
        measurements.config_reverts = self.monitor.reverts();
        measurements.control_bytes_per_s_max = self.monitor.peak_bytes_per_s();
        measurements.control_bytes_per_s_mean = self.monitor.mean_bytes_per_s();
        Ok(())
    }

    /// Measures how evenly flows are distributed over the serving targets of the urgent
    /// service.
    pub(crate) async fn measure_imbalance(&mut self) -> Result<(), Error> {
        let target_reports = self.fleet.target_reports().await?;
        let name = &self.site.services[0].name;
        let serving =
            self.site.targets.iter().filter(|t| t.service == *name && t.is_configured && !t.is_leaving);
        let flows: Vec<usize> = serving
            .filter_map(|target| target_reports.get(&target.name))
            .map(|target_report| target_report.flows)
            .collect();
        let mean = flows.iter().sum::<usize>() as f64 / flows.len().max(1) as f64;
        let most = flows.iter().copied().max().unwrap_or_default() as f64;
        self.measurements.imbalance_max_over_mean = most / mean.max(1.0);
        Ok(())
    }
}
