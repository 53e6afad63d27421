//! Metrics of the daemon in the Prometheus text format.

use std::sync::Arc;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};
use ragwortlb::node::Status;

use crate::core::Driver;

/// Reads the node's state each time it is asked.
#[derive(Debug)]
struct Source {
    driver: DriverRef,
}

/// Core without a debug form of its own.
struct DriverRef(Arc<Driver>);

impl std::fmt::Debug for DriverRef {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Core")
    }
}

impl Collector for Source {
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

type Row<T> = (&'static str, &'static str, T);

fn counters(status: &Status, driver: &Driver) -> Vec<Row<u64>> {
    let counts = &status.counts;
    vec![
        ("flows_opened", "Flows opened", counts.opened),
        ("exceptions_registered", "Exceptions registered with keepers", counts.registered),
        ("keeper_queries", "Questions to keepers", counts.queries),
        ("flows_guessed", "Flows that no keeper knew", counts.guessed),
        ("packets_forwarded", "Packets forwarded", counts.forwarded),
        ("packets_dropped", "Packets dropped", counts.dropped),
        ("requests", "Requests taken", counts.requests),
        ("runs", "Runs started on targets", counts.runs),
        ("retries", "Runs after the first of a request", counts.retries),
        ("not_run", "Requests refused that did not run", counts.not_run),
        ("unknown", "Requests whose outcome is unknown", counts.unknown),
        ("shed", "Requests shed by targets", counts.shed),
        ("slots_borrowed", "Slots borrowed from other instances", counts.borrowed),
        ("revisions_refused", "Revisions refused as older or forked", counts.refused_revisions),
        ("control_bytes", "Bytes sent to peers", driver.sent_bytes()),
        ("messages_dropped", "Messages to peers that were dropped", driver.dropped_messages()),
    ]
}

fn gauges(status: &Status) -> Vec<Row<u64>> {
    let sum = |part: fn(&ragwortlb::node::ServiceStatus) -> usize| {
        status.services.iter().map(part).sum::<usize>() as u64
    };
    vec![
        ("revision", "Accepted revision that is known", status.revision),
        ("effective_revision", "Revision in force", status.effective_revision),
        ("settled", "One if no change is under way", u64::from(status.settled)),
        ("live_peers", "Live peers", status.peers.len() as u64),
        ("requests_inside", "Requests inside", status.requests as u64),
        ("records", "Records of requests that are not idempotent", status.records as u64),
        ("flows", "Flows held", sum(|service| service.flows)),
        ("unsettled_slots", "Unsettled slots", sum(|service| service.unsettled_slots)),
        ("exceptions", "Exceptions kept for others", sum(|service| service.exceptions)),
        ("filter_bytes", "Filters of old flows", sum(|service| service.filter_bytes)),
        ("waiting", "Requests that wait for a slot", sum(|service| service.waiting)),
        ("used_slots", "Home slots in use", sum(|service| service.used_slots)),
    ]
}

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Metrics of a core.
    pub fn new(driver: Arc<Driver>) -> Metrics {
        let mut registry = Registry::with_prefix("ragwortlb");
        registry.register_collector(Box::new(Source { driver: DriverRef(driver) }));
        Metrics { registry }
    }

    /// Text form.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}
