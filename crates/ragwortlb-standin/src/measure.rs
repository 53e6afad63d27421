/*!
Measures of the system as separate processes.

Each measure starts a site of one of the users, drives it with callers, injects
its faults, and ends by itself. [`Figures`] is what it prints.
*/

mod floods;
mod monitor;
mod scenes;

use std::{
    path::Path,
    str::FromStr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use ragwortlb::Error;
use serde::Serialize;

use crate::{
    customers::{Group, Plan, Report},
    fleet::Fleet,
    site::{Site, Size},
};
use monitor::Monitor;

/// Time for flows to open.
const RAMP: Duration = Duration::from_secs(3);

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Targets and instances change together, several times.
    JointChange,
    /// Instances are killed outside and in the midst of changes.
    InstanceKill,
    /// An availability zone is cut off and joined again.
    ZoneCut,
    /// The store is down after a revision was accepted.
    StoreOutage,
    /// Operators accept at the same moment, and answers are lost.
    RaceAccept,
    /// A target stops answering on its open connections.
    SilentFlows,
    /// The less urgent service is flooded.
    LowFlood,
    /// The urgent service is flooded.
    UrgentFlood,
    /// Instances are killed while requests run that may not be repeated.
    KeeperKill,
    /// An instance and a target stop gracefully in a flood.
    DrainInFlood,
}

impl Name {
    /// All measures with their names.
    pub const ALL: [(&'static str, Name); 10] = [
        ("joint-change", Name::JointChange),
        ("instance-kill", Name::InstanceKill),
        ("zone-cut", Name::ZoneCut),
        ("store-outage", Name::StoreOutage),
        ("race-accept", Name::RaceAccept),
        ("silent-flows", Name::SilentFlows),
        ("low-flood", Name::LowFlood),
        ("urgent-flood", Name::UrgentFlood),
        ("keeper-kill", Name::KeeperKill),
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

/// What a measure found.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Flows opened.
    pub flows: u64,
    /// Flows that met another target than their first.
    pub broken_flows: u64,
    /// Requests that reached another service's targets.
    pub misdelivered: u64,
    /// Answers not whole or not to their request.
    pub wrong_answers: u64,
    /// Flows on the fullest target over the mean.
    pub imbalance_max_over_mean: f64,
    /// Times that an instance went back to an older revision.
    pub config_reverts: u64,
    /// Longest time from accepting a revision to its being in force everywhere, in seconds.
    pub config_spread_s: f64,
    /// Most bytes that an instance sent to peers in a second.
    pub control_bytes_per_s_max: f64,
    /// Bytes that an instance sent to peers a second, mean of all.
    pub control_bytes_per_s_mean: f64,
    /// Bytes sent to peers by kind, all instances that ran at the end.
    pub control_by_kind: std::collections::BTreeMap<String, u64>,
    /// Requests refused as not run that ran.
    pub refused_not_run_but_ran: u64,
    /// Requests that ran twice and may not.
    pub ran_twice: u64,
    /// Requests answered.
    pub done: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Share of requests whose outcome is unknown.
    pub unknown_share: f64,
    /// Urgent goodput in the flood over that alone.
    pub urgent_kept: Option<f64>,
    /// Less urgent goodput in the flood over that alone.
    pub low_kept: Option<f64>,
    /// Goodput in the flood over what the slots can do.
    pub goodput_over_capacity: Option<f64>,
    /// Goodput after the flood over that before it.
    pub goodput_after: Option<f64>,
    /// Runs on targets over requests taken.
    pub retry_amplification: Option<f64>,
    /// 99th percentile of urgent latency in the flood over that alone.
    pub p99_over_p99_alone: Option<f64>,
    /// Reasons of refusals and unknown outcomes.
    pub reasons: std::collections::BTreeMap<String, u64>,
    /// Faults injected and what was seen of them.
    pub events: Vec<String>,
}

/// A site under measurement.
pub(crate) struct Bench {
    pub(crate) site: Site,
    pub(crate) fleet: Fleet,
    pub(crate) monitor: Arc<Monitor>,
    pub(crate) seed: u64,
    pub(crate) figures: Figures,
}

/// Runs a measure.
///
/// # Errors
///
/// A process could not be started or did not answer.
pub async fn run(name: Name, size: Size, seed: u64, program: &Path, folder: &Path) -> Result<Figures, Error> {
    let mut bench = Bench::start(size, seed, program, folder).await?;
    match name {
        Name::JointChange => scenes::joint_change(&mut bench).await?,
        Name::InstanceKill => scenes::instance_kill(&mut bench).await?,
        Name::ZoneCut => scenes::zone_cut(&mut bench).await?,
        Name::StoreOutage => scenes::store_outage(&mut bench).await?,
        Name::RaceAccept => scenes::race_accept(&mut bench).await?,
        Name::SilentFlows => scenes::silent_flows(&mut bench).await?,
        Name::LowFlood => floods::low_flood(&mut bench).await?,
        Name::UrgentFlood => floods::urgent_flood(&mut bench).await?,
        Name::KeeperKill => floods::keeper_kill(&mut bench).await?,
        Name::DrainInFlood => floods::drain_in_flood(&mut bench).await?,
    }
    bench.monitor.stop();
    Ok(bench.figures)
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
        let mut bench = Bench { site, fleet, monitor, seed, figures: Figures::default() };
        bench.watch();
        Ok(bench)
    }

    /// Tells the monitor which daemons there are.
    pub(crate) fn watch(&mut self) {
        let daemons = self.fleet.instances.iter();
        self.monitor.watch(daemons.map(|instance| (instance.name.clone(), instance.operators)).collect());
    }

    /// Callers of the urgent service.
    pub(crate) fn urgent(&self) -> Plan {
        let service = &self.site.services[0];
        Plan {
            name: service.name.clone(),
            service: service.name.clone(),
            address: service.address,
            flows: 1_500,
            every_ms: 1_500..=4_500,
            cost_ms: 5..=30,
            attempts: 6,
            seed: self.seed,
            ..Plan::default()
        }
    }

    /// Callers of the other service.
    pub(crate) fn other(&self) -> Plan {
        let service = &self.site.services[1];
        Plan {
            name: service.name.clone(),
            service: service.name.clone(),
            address: service.address,
            flows: 200,
            ..self.urgent()
        }
    }

    /// Starts a group, and waits until its flows are open.
    pub(crate) async fn open(&self, plan: Plan) -> Group {
        let group = Group::start(plan, &self.fleet.fabric, RAMP);
        tokio::time::sleep(RAMP).await;
        group
    }

    /// Accepts the site as it is now, and waits until it is in force everywhere.
    pub(crate) async fn accept(&mut self, change: &str) -> Result<(), Error> {
        let revision = self.fleet.accept(&self.site.folder(), change).await?;
        let spread = self.monitor.wait_effective(revision).await;
        self.figures.config_spread_s = self.figures.config_spread_s.max(spread.as_secs_f64());
        Ok(())
    }

    /// Notes something for the reader of the figures.
    pub(crate) fn event(&mut self, what: impl Into<String>) {
        self.figures.events.push(what.into());
    }

    /// Adds up what groups of callers and the targets saw.
    pub(crate) async fn sum_up(&mut self, reports: &[Report]) -> Result<(), Error> {
        let sights = self.fleet.sights().await?;
        for index in 0..self.fleet.instances.len() {
            let state = self.fleet.status(index).await?;
            for (kind, bytes) in state.control_bytes_by_kind {
                *self.figures.control_by_kind.entry(kind).or_default() += bytes;
            }
        }
        let figures = &mut self.figures;
        for report in reports {
            let counts = &report.counts;
            figures.flows += counts.flows.load(Relaxed);
            figures.broken_flows += counts.broken.load(Relaxed);
            figures.misdelivered += counts.misdelivered.load(Relaxed);
            figures.wrong_answers += counts.wrong.load(Relaxed);
            figures.done += counts.done.load(Relaxed);
            figures.not_run += counts.not_run.load(Relaxed);
            figures.unknown += counts.unknown.load(Relaxed);
            for (reason, count) in &report.reasons {
                *figures.reasons.entry(reason.clone()).or_default() += count;
            }
            let ran = |request: &&(String, u64)| sights.values().any(|sight| sight.ran.contains(request));
            figures.refused_not_run_but_ran += report.refused.iter().filter(ran).count() as u64;
        }
        let total = figures.done + figures.not_run + figures.unknown;
        figures.unknown_share = figures.unknown as f64 / total.max(1) as f64;
        figures.ran_twice = sights.values().map(|sight| sight.ran_twice).sum();
        figures.misdelivered += sights.values().map(|sight| sight.misdelivered).sum::<u64>();
        figures.config_reverts = self.monitor.reverts();
        figures.control_bytes_per_s_max = self.monitor.peak_bytes_per_s();
        figures.control_bytes_per_s_mean = self.monitor.mean_bytes_per_s();
        Ok(())
    }

    /// Notes how evenly flows lie on the serving targets of the urgent service.
    pub(crate) async fn note_imbalance(&mut self) -> Result<(), Error> {
        let sights = self.fleet.sights().await?;
        let name = &self.site.services[0].name;
        let serving =
            self.site.targets.iter().filter(|t| t.service == *name && t.is_configured && !t.is_leaving);
        let flows: Vec<usize> =
            serving.filter_map(|target| sights.get(&target.name)).map(|sight| sight.flows).collect();
        let mean = flows.iter().sum::<usize>() as f64 / flows.len().max(1) as f64;
        let most = flows.iter().copied().max().unwrap_or_default() as f64;
        self.figures.imbalance_max_over_mean = most / mean.max(1.0);
        Ok(())
    }
}
