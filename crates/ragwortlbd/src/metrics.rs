//! Metrics of the node in the Prometheus text format. They are read from its status and
//! counters each time they are rendered.

use std::sync::Arc;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};
use ragwortlb::node::Status;

use crate::core::Driver;

/// Collector that reads the driver when the metrics are rendered.
#[derive(Debug)]
struct DriverCollector {
    driver: DriverRef,
}

/// Driver with the `Debug` form that a collector must have.
struct DriverRef(Arc<Driver>);

impl std::fmt::Debug for DriverRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Core")
    }
}

impl Collector for DriverCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let status = self.driver.0.status();
        for (name, help, value) in counters(&status, &self.driver.0) {
            let metric = ConstCounter::new(value);
            metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
        }
        for (name, help, value) in gauges(&status) {
            let metric = ConstGauge::new(value);
            metric.encode(encoder.encode_descriptor(name, help, None, metric.metric_type())?)?;
        }
        Ok(())
    }
}

/// Name, help text and value of a metric.
type Sample<T> = (&'static str, &'static str, T);

fn counters(status: &Status, driver: &Driver) -> Vec<Sample<u64>> {
    let counts = &status.counts;
    vec![
        ("flows_opened", "Flows opened", counts.opened),
        ("exceptions_registered", "Exceptions registered with replicas", counts.registered),
        ("keeper_queries", "Lookups of flows at replicas", counts.queries),
        ("flows_guessed", "Flows placed on the fallback target as no replica knew theirs", counts.guessed),
        ("packets_forwarded", "Packets forwarded", counts.forwarded),
        ("packets_dropped", "Packets dropped", counts.dropped),
        ("requests", "Requests accepted", counts.requests),
        ("runs", "Runs started on targets", counts.runs),
        ("retries", "Further runs of a request after the first", counts.retries),
        ("not_run", "Requests refused without a run", counts.not_run),
        ("unknown", "Requests whose outcome is unknown", counts.unknown),
        ("shed", "Requests shed by targets", counts.shed),
        ("slots_borrowed", "Concurrency slots leased from other instances", counts.borrowed),
        ("revisions_refused", "Revisions refused as older or not a descendant", counts.refused_revisions),
        ("control_bytes", "Bytes sent to peers", driver.sent_bytes()),
        ("messages_dropped", "Messages to peers that were dropped", driver.dropped_messages()),
    ]
}

fn gauges(status: &Status) -> Vec<Sample<u64>> {
    let sum = |part: fn(&ragwortlb::node::ServiceStatus) -> usize| {
        status.services.iter().map(part).sum::<usize>() as u64
    };
    vec![
        ("revision", "Latest accepted revision received", status.revision),
        ("effective_revision", "Revision in effect", status.effective_revision),
        ("settled", "One if no change of tables is in progress", u64::from(status.settled)),
        ("live_peers", "Live peers", status.peers.len() as u64),
        ("requests_inside", "Requests in progress", status.requests as u64),
        ("records", "Records of requests that are not idempotent", status.records as u64),
        ("flows", "Flows tracked", sum(|service| service.flows)),
        (
            "unsettled_slots",
            "Hash slots whose change of target is not settled",
            sum(|service| service.unsettled_slots),
        ),
        ("exceptions", "Exceptions stored as a replica", sum(|service| service.exceptions)),
        ("filter_bytes", "Size of the filters of pinned flows", sum(|service| service.filter_bytes)),
        ("waiting", "Requests that wait for a concurrency slot", sum(|service| service.waiting)),
        ("used_slots", "Own concurrency slots in use", sum(|service| service.used_slots)),
    ]
}

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Metrics of a driver.
    pub fn new(driver: Arc<Driver>) -> Metrics {
        let mut registry = Registry::with_prefix("ragwortlb");
        registry.register_collector(Box::new(DriverCollector { driver: DriverRef(driver) }));
        Metrics { registry }
    }

    /// Text format; empty if encoding fails.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}
