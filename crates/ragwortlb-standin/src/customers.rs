/*!
Stand-in for callers: flows that send requests through the fabric and check what
comes back.
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

/// Attempts that a caller makes.
const ATTEMPTS: u32 = 3;

/// Longest latency recorded, in milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;

/// What a group of callers does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the group, part of its flows' keys.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Flows at once.
    pub flows: usize,
    /// Time between the requests of a flow, in milliseconds.
    pub every_ms: RangeInclusive<u64>,
    /// Cost of a request, in milliseconds.
    pub cost_ms: RangeInclusive<u64>,
    /// Time that a caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Share of requests that may run more than once.
    pub idempotent: f64,
    /// Whether requests of one flow may go to different targets.
    pub movable: bool,
    /// Attempts that a caller makes.
    pub attempts: u32,
    /// Seed.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            name: "callers".to_owned(),
            service: "service".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            flows: 10,
            every_ms: 500..=1_500,
            cost_ms: 1..=5,
            deadline_ms: 5_000,
            idempotent: 0.5,
            movable: false,
            attempts: ATTEMPTS,
            seed: 1,
        }
    }
}

/// Counters of a group.
#[derive(Debug, Default)]
pub struct Counts {
    /// Flows opened.
    pub flows: AtomicU64,
    /// Flows that met another target than their first.
    pub broken: AtomicU64,
    /// Answers of another service.
    pub misdelivered: AtomicU64,
    /// Answers that were not whole or not to the request.
    pub wrong: AtomicU64,
    /// Requests answered.
    pub done: AtomicU64,
    /// Requests refused as not run.
    pub not_run: AtomicU64,
    /// Requests whose outcome is unknown.
    pub unknown: AtomicU64,
    /// Requests sent, each attempt.
    pub sent: AtomicU64,
}

/// Group of callers under way.
pub struct Group {
    counts: Arc<Counts>,
    latency: Arc<Mutex<Histogram<u64>>>,
    refused: Arc<Mutex<Vec<(String, u64)>>>,
    reasons: Arc<Mutex<std::collections::BTreeMap<String, u64>>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

/// What became of a group.
#[derive(Debug)]
pub struct Report {
    /// Counters.
    pub counts: Arc<Counts>,
    /// Latency of answered requests, in milliseconds.
    pub latency: Histogram<u64>,
    /// Requests refused as not run in every attempt.
    pub refused: Vec<(String, u64)>,
    /// Reasons of refusals and unknown outcomes.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

struct Customer {
    plan: Arc<Plan>,
    fabric: Fabric,
    counts: Arc<Counts>,
    latency: Arc<Mutex<Histogram<u64>>>,
    refused: Arc<Mutex<Vec<(String, u64)>>>,
    reasons: Arc<Mutex<std::collections::BTreeMap<String, u64>>>,
    stop: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    index: usize,
    life: u64,
}

enum Outcome {
    Done(Vec<u8>),
    NotRun,
    Unknown,
}

impl Group {
    /// Starts a group, its flows spread over `ramp`.
    pub fn start(plan: Plan, fabric: &Fabric, ramp: Duration) -> Group {
        let counts = Arc::new(Counts::default());
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3).expect("the bounds are in order");
        let latency = Arc::new(Mutex::new(histogram));
        let refused = Arc::new(Mutex::new(Vec::new()));
        let reasons = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let plan = Arc::new(plan);
        let mut tasks = JoinSet::new();
        for index in 0..plan.flows {
            let customer = Customer {
                plan: plan.clone(),
                fabric: fabric.clone(),
                counts: counts.clone(),
                latency: latency.clone(),
                refused: refused.clone(),
                reasons: reasons.clone(),
                stop: stop.clone(),
                rng: Pcg64Mcg::seed_from_u64(plan.seed.wrapping_mul(1_000_003) + index as u64),
                index,
                life: 0,
            };
            let delay = ramp.mul_f64(index as f64 / plan.flows as f64);
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                customer.live().await;
            });
        }
        Group { counts, latency, refused, reasons, stop, tasks }
    }

    /// Counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Stops the flows after their present requests.
    pub async fn stop(mut self) -> Report {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let refused = std::mem::take(&mut *self.refused.lock().unwrap_or_else(PoisonError::into_inner));
        let reasons = std::mem::take(&mut *self.reasons.lock().unwrap_or_else(PoisonError::into_inner));
        Report { counts: self.counts, latency, refused, reasons }
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Customer {
    async fn live(mut self) {
        while !self.is_stopped() {
            self.flow().await;
            self.life += 1;
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Opens a flow and uses it until the group stops or the flow breaks.
    async fn flow(&mut self) {
        let key = format!("{}-{}-{}-{}", self.plan.name, self.plan.seed, self.index, self.life);
        let mut target: Option<String> = None;
        let mut number = 0;
        while !self.is_stopped() {
            let first = target.is_none();
            let outcome = self.request(&key, number, first).await;
            if let Outcome::Done(body) = outcome {
                let Some(reply) = self.check(&key, number, &body) else {
                    return;
                };
                if first {
                    add(&self.counts.flows);
                }
                let moved = target.as_ref().is_some_and(|known| *known != reply.target);
                if !self.plan.movable && (moved || reply.broken) {
                    add(&self.counts.broken);
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

    async fn pause(&mut self) {
        let pause = self.rng.random_range(self.plan.every_ms.clone());
        let until = Instant::now() + Duration::from_millis(pause);
        const STEP: Duration = Duration::from_millis(100);
        while !self.is_stopped() && Instant::now() < until {
            tokio::time::sleep(STEP.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Sends a request, again if it did not run or may run again.
    async fn request(&mut self, key: &str, number: u64, first: bool) -> Outcome {
        const PAUSE_MS: RangeInclusive<u64> = 20..=80;
        let idempotent = self.rng.random_bool(self.plan.idempotent);
        let work = Work { cost_ms: self.rng.random_range(self.plan.cost_ms.clone()), fill: 64 };
        let started = Instant::now();
        let mut all_not_run = true;
        let mut last = Outcome::NotRun;
        for attempt in 1..=self.plan.attempts {
            let message = generated::Request {
                address: self.plan.address.to_string(),
                flow: key.to_owned(),
                number,
                attempt,
                first,
                last: false,
                left_ms: self.plan.deadline_ms,
                idempotent,
                body: serde_json::to_vec(&work).unwrap_or_default(),
            };
            last = self.send(message).await;
            if let Outcome::Done(_) = last {
                self.note_latency(started);
                return last;
            }
            all_not_run &= matches!(last, Outcome::NotRun);
            let pause = self.rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        if all_not_run {
            add(&self.counts.not_run);
            let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
            refused.push((key.to_owned(), number));
        } else {
            add(&self.counts.unknown);
        }
        last
    }

    async fn send(&mut self, message: generated::Request) -> Outcome {
        let Some(mut client) = self.fabric.pick() else {
            return Outcome::NotRun;
        };
        add(&self.counts.sent);
        let (flow, number, attempt) = (message.flow.clone(), message.number, message.attempt);
        let deadline = Duration::from_millis(self.plan.deadline_ms + 500);
        let answer = match tokio::time::timeout(deadline, client.run(message)).await {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                self.note_reason(&format!("status {:?}", status.code()));
                return Outcome::Unknown;
            }
            Err(_) => {
                self.note_reason("no answer");
                return Outcome::Unknown;
            }
        };
        if answer.flow != flow || answer.number != number || answer.attempt != attempt {
            add(&self.counts.wrong);
            return Outcome::Unknown;
        }
        match answer.outcome {
            Some(answer::Outcome::Done(body)) => Outcome::Done(body),
            Some(answer::Outcome::NotRun(why)) => {
                self.note_reason(&format!("not run: {why}"));
                Outcome::NotRun
            }
            Some(answer::Outcome::Unknown(why)) => {
                self.note_reason(&format!("unknown: {why}"));
                Outcome::Unknown
            }
            Some(answer::Outcome::Failed(_)) | None => Outcome::Unknown,
        }
    }

    fn note_reason(&self, reason: &str) {
        let mut reasons = self.reasons.lock().unwrap_or_else(PoisonError::into_inner);
        *reasons.entry(reason.to_owned()).or_default() += 1;
    }

    fn check(&self, key: &str, number: u64, body: &[u8]) -> Option<Reply> {
        let reply: Reply = match serde_json::from_slice(body) {
            Ok(reply) => reply,
            Err(_) => {
                add(&self.counts.wrong);
                return None;
            }
        };
        add(&self.counts.done);
        if reply.flow != key || reply.number != number {
            add(&self.counts.wrong);
        }
        if reply.service != self.plan.service {
            add(&self.counts.misdelivered);
        }
        Some(reply)
    }

    fn note_latency(&self, started: Instant) {
        let took = started.elapsed().as_millis() as u64;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = latency.record(took.clamp(1, MAX_LATENCY_MS));
    }
}
