/*!
Stand-in for customers, used as a load generator.

A [`Group`] keeps a number of flows open. Each flow sends requests through the fabric
at random intervals, retries failed ones and validates the answers: a flow counts as
broken when a request reaches another target than the first one.
*/

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use ragwortlb_rpc::generated::{self, answer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;

use crate::{
    fabric::Fabric,
    target::{Reply, Work},
};

/// Default number of attempts for each request.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Maximum latency recorded, in milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;

/// Workload of a group of customers.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the group, part of its flows' keys.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Number of concurrent flows.
    pub flows: usize,
    /// Time between the requests of a flow, in milliseconds.
    pub interval_ms: RangeInclusive<u64>,
    /// Service time of a request, in milliseconds.
    pub cost_ms: RangeInclusive<u64>,
    /// Deadline of each attempt, in milliseconds.
    pub deadline_ms: u64,
    /// Fraction of requests that are idempotent, from 0 to 1.
    pub idempotent: f64,
    /// Whether requests of one flow may go to different targets.
    pub movable: bool,
    /// Maximum number of attempts for each request.
    pub attempts: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Workload {
    fn default() -> Workload {
        Workload {
            name: "callers".to_owned(),
            service: "service".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            flows: 10,
            interval_ms: 500..=1_500,
            cost_ms: 1..=5,
            deadline_ms: 5_000,
            idempotent: 0.5,
            movable: false,
            attempts: DEFAULT_ATTEMPTS,
            seed: 1,
        }
    }
}

/// Counters of a group.
#[derive(Debug, Default)]
pub struct Counts {
    /// Flows opened.
    pub flows: AtomicU64,
    /// Flows with a request that reached another target than their first one.
    pub broken: AtomicU64,
    /// Answers from another service.
    pub misdelivered: AtomicU64,
    /// Answers that are malformed or belong to another request.
    pub wrong: AtomicU64,
    /// Requests answered.
    pub done: AtomicU64,
    /// Requests that were rejected without being run.
    pub not_run: AtomicU64,
    /// Requests whose outcome is unknown.
    pub unknown: AtomicU64,
    /// Attempts sent.
    pub sent: AtomicU64,
}

/// Running group of customers.
pub struct Group {
    counts: Arc<Counts>,
    latency: Arc<Mutex<Histogram<u64>>>,
    refused: Arc<Mutex<Vec<(String, u64)>>>,
    reasons: Arc<Mutex<std::collections::BTreeMap<String, u64>>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

/// Results of a group that has stopped.
#[derive(Debug)]
pub struct Report {
    /// Counters.
    pub counts: Arc<Counts>,
    /// Latency of answered requests, in milliseconds.
    pub latency: Histogram<u64>,
    /// Requests that every attempt reported as not run: flow and number.
    pub refused: Vec<(String, u64)>,
    /// Number of attempts that were not run or had an unknown outcome, by reason.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

struct Customer {
    workload: Arc<Workload>,
    fabric: Fabric,
    counts: Arc<Counts>,
    latency: Arc<Mutex<Histogram<u64>>>,
    refused: Arc<Mutex<Vec<(String, u64)>>>,
    reasons: Arc<Mutex<std::collections::BTreeMap<String, u64>>>,
    stop: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    index: usize,
    flow_seq: u64,
}

enum Outcome {
    Done(Vec<u8>),
    NotRun,
    Unknown,
}

impl Group {
    /// Starts a group; its flows open evenly over the time `ramp`.
    pub fn start(workload: Workload, fabric: &Fabric, ramp: Duration) -> Group {
        let counts = Arc::new(Counts::default());
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3).expect("the bounds are valid");
        let latency = Arc::new(Mutex::new(histogram));
        let refused = Arc::new(Mutex::new(Vec::new()));
        let reasons = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let workload = Arc::new(workload);
        let mut tasks = JoinSet::new();
        for index in 0..workload.flows {
            let customer = Customer {
                workload: workload.clone(),
                fabric: fabric.clone(),
                counts: counts.clone(),
                latency: latency.clone(),
                refused: refused.clone(),
                reasons: reasons.clone(),
                stop: stop.clone(),
                rng: Pcg64Mcg::seed_from_u64(workload.seed.wrapping_mul(1_000_003) + index as u64),
                index,
                flow_seq: 0,
            };
            let delay = ramp.mul_f64(index as f64 / workload.flows as f64);
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                customer.run().await;
            });
        }
        Group { counts, latency, refused, reasons, stop, tasks }
    }

    /// Counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Stops all flows once their current requests have ended.
    pub async fn stop(mut self) -> Report {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let refused = std::mem::take(&mut *self.refused.lock().unwrap_or_else(PoisonError::into_inner));
        let reasons = std::mem::take(&mut *self.reasons.lock().unwrap_or_else(PoisonError::into_inner));
        Report { counts: self.counts, latency, refused, reasons }
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Customer {
    async fn run(mut self) {
        while !self.is_stopped() {
            self.flow().await;
            self.flow_seq += 1;
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Opens a flow and sends requests until the group stops or the flow breaks. Gives the
    /// flow up if its first request fails or an answer is malformed.
    async fn flow(&mut self) {
        let key = format!("{}-{}-{}-{}", self.workload.name, self.workload.seed, self.index, self.flow_seq);
        let mut target: Option<String> = None;
        let mut number = 0;
        while !self.is_stopped() {
            let first = target.is_none();
            let outcome = self.request(&key, number, first).await;
            if let Outcome::Done(body) = outcome {
                let Some(reply) = self.check_reply(&key, number, &body) else {
                    return;
                };
                if first {
                    increment(&self.counts.flows);
                }
                let moved = target.as_ref().is_some_and(|known| *known != reply.target);
                if !self.workload.movable && (moved || reply.broken) {
                    increment(&self.counts.broken);
                    return;
                }
                target = Some(reply.target);
            } else if first {
                self.pause().await;
                return;
            }
            number += 1;
            self.pause().await;
        }
    }

    /// Waits for the interval between two requests, or until the group stops.
    async fn pause(&mut self) {
        let pause = self.rng.random_range(self.workload.interval_ms.clone());
        let until = Instant::now() + Duration::from_millis(pause);
        const STEP: Duration = Duration::from_millis(100);
        while !self.is_stopped() && Instant::now() < until {
            tokio::time::sleep(STEP.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Sends a request. Retries it with the same number until it is answered or has no
    /// attempts left.
    async fn request(&mut self, key: &str, number: u64, first: bool) -> Outcome {
        const RETRY_PAUSE_MS: RangeInclusive<u64> = 20..=80;
        let idempotent = self.rng.random_bool(self.workload.idempotent);
        let work = Work { cost_ms: self.rng.random_range(self.workload.cost_ms.clone()), fill: 64 };
        let started = Instant::now();
        let mut all_not_run = true;
        let mut last = Outcome::NotRun;
        for attempt in 1..=self.workload.attempts {
            let message = generated::Request {
                address: self.workload.address.to_string(),
                flow: key.to_owned(),
                number,
                attempt,
                first,
                last: false,
                left_ms: self.workload.deadline_ms,
                idempotent,
                body: serde_json::to_vec(&work).unwrap_or_default(),
            };
            last = self.send(message).await;
            if let Outcome::Done(_) = last {
                self.record_latency(started);
                return last;
            }
            all_not_run &= matches!(last, Outcome::NotRun);
            let pause = self.rng.random_range(RETRY_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        if all_not_run {
            increment(&self.counts.not_run);
            let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
            refused.push((key.to_owned(), number));
        } else {
            increment(&self.counts.unknown);
        }
        last
    }

    /// Sends one attempt through a random ready instance.
    async fn send(&mut self, message: generated::Request) -> Outcome {
        let Some(mut client) = self.fabric.pick() else {
            return Outcome::NotRun;
        };
        increment(&self.counts.sent);
        let (flow, number, attempt) = (message.flow.clone(), message.number, message.attempt);
        let deadline = Duration::from_millis(self.workload.deadline_ms + 500);
        let answer = match tokio::time::timeout(deadline, client.run(message)).await {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                self.record_reason(&format!("status {:?}", status.code()));
                return Outcome::Unknown;
            }
            Err(_) => {
                self.record_reason("no answer");
                return Outcome::Unknown;
            }
        };
        if answer.flow != flow || answer.number != number || answer.attempt != attempt {
            increment(&self.counts.wrong);
            return Outcome::Unknown;
        }
        match answer.outcome {
            Some(answer::Outcome::Done(body)) => Outcome::Done(body),
            Some(answer::Outcome::NotRun(why)) => {
                self.record_reason(&format!("not run: {why}"));
                Outcome::NotRun
            }
            Some(answer::Outcome::Unknown(why)) => {
                self.record_reason(&format!("unknown: {why}"));
                Outcome::Unknown
            }
            Some(answer::Outcome::Failed(_)) | None => Outcome::Unknown,
        }
    }

    fn record_reason(&self, reason: &str) {
        let mut reasons = self.reasons.lock().unwrap_or_else(PoisonError::into_inner);
        *reasons.entry(reason.to_owned()).or_default() += 1;
    }

    /// Decodes an answer and counts its errors. Returns `None` if it is malformed.
    fn check_reply(&self, key: &str, number: u64, body: &[u8]) -> Option<Reply> {
        let reply: Reply = match serde_json::from_slice(body) {
            Ok(reply) => reply,
            Err(_) => {
                increment(&self.counts.wrong);
                return None;
            }
        };
        increment(&self.counts.done);
        if reply.flow != key || reply.number != number {
            increment(&self.counts.wrong);
        }
        if reply.service != self.workload.service {
            increment(&self.counts.misdelivered);
        }
        Some(reply)
    }

    fn record_latency(&self, started: Instant) {
        let took = started.elapsed().as_millis() as u64;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = latency.record(took.clamp(1, MAX_LATENCY_MS));
    }
}
