//! Polls the status of all instances during a measurement: effective revisions, and bytes
//! sent to peers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ragwortlbd::operators::State;

/// Time between polls of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time over which a rate of bytes is computed.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time in which a revision must become effective on all instances.
const EFFECTIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Samples of one instance; each point is a time and the bytes sent until then.
#[derive(Clone, Debug)]
struct Samples {
    operators: SocketAddr,
    revision: u64,
    first: Option<(Instant, u64)>,
    last: Option<(Instant, u64)>,
    window: Option<(Instant, u64)>,
}

#[derive(Debug, Default)]
struct Data {
    instances: BTreeMap<String, Samples>,
    reverts: u64,
    max_rate: f64,
    mean_rates: Vec<f64>,
}

/// Polls all instances in the background.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    data: Mutex<Data>,
    is_stopped: AtomicBool,
}

impl Monitor {
    /// Starts polling.
    pub(crate) fn start() -> Arc<Monitor> {
        let monitor = Arc::new(Monitor::default());
        tokio::spawn(poll(monitor.clone()));
        monitor
    }

    /// Stops polling.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Sets the instances to poll. The mean rate of an instance that is no longer listed stays
    /// in the results.
    pub(crate) fn watch(&self, instances: Vec<(String, SocketAddr)>) {
        let mut data = self.lock();
        let gone: Vec<String> = data
            .instances
            .keys()
            .filter(|name| !instances.iter().any(|(d, _)| d == *name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(mean_rate) = data.instances.remove(&name).and_then(|samples| mean_rate(&samples)) {
                data.mean_rates.push(mean_rate);
            }
        }
        for (name, operators) in instances {
            let fresh = Samples { operators, revision: 0, first: None, last: None, window: None };
            data.instances.entry(name).or_insert(fresh);
        }
    }

    /// Waits until a revision is effective on all instances, for at most
    /// [`EFFECTIVE_TIMEOUT`]. Returns the time that it took.
    pub(crate) async fn wait_effective(&self, revision: u64) -> Duration {
        const STEP: Duration = Duration::from_millis(20);
        let start = Instant::now();
        while start.elapsed() < EFFECTIVE_TIMEOUT {
            if self.lock().instances.values().all(|samples| samples.revision >= revision) {
                break;
            }
            tokio::time::sleep(STEP).await;
        }
        start.elapsed()
    }

    /// Number of times that an instance went back to an older revision.
    pub(crate) fn reverts(&self) -> u64 {
        self.lock().reverts
    }

    /// Maximum rate of any instance, in bytes per second.
    pub(crate) fn peak_bytes_per_s(&self) -> f64 {
        self.lock().max_rate
    }

    /// Mean rate of all instances, in bytes per second.
    pub(crate) fn mean_bytes_per_s(&self) -> f64 {
        let data = self.lock();
        let mean_rates: Vec<f64> =
            data.instances.values().filter_map(mean_rate).chain(data.mean_rates.iter().copied()).collect();
        mean_rates.iter().sum::<f64>() / mean_rates.len().max(1) as f64
    }

    /// Records one status of an instance.
    fn record(&self, name: &str, state: &State) {
        let mut data = self.lock();
        let now = Instant::now();
        let mut reverted = false;
        let mut rate = 0.0;
        if let Some(samples) = data.instances.get_mut(name) {
            reverted = state.effective_revision < samples.revision;
            samples.revision = state.effective_revision;
            let point = (now, state.control_bytes);
            samples.first.get_or_insert(point);
            samples.last = Some(point);
            let (since, bytes) = *samples.window.get_or_insert(point);
            if now.duration_since(since) >= RATE_WINDOW {
                rate = (state.control_bytes - bytes) as f64 / now.duration_since(since).as_secs_f64();
                samples.window = Some(point);
            }
        }
        data.reverts += u64::from(reverted);
        data.max_rate = data.max_rate.max(rate);
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mean rate between the first and the last sample, in bytes per second.
fn mean_rate(samples: &Samples) -> Option<f64> {
    let ((start, first), (end, last)) = (samples.first?, samples.last?);
    let seconds = end.duration_since(start).as_secs_f64();
    (seconds > 0.0).then(|| (last - first) as f64 / seconds)
}

async fn poll(monitor: Arc<Monitor>) {
    const TIMEOUT: Duration = Duration::from_millis(500);
    let Ok(client) = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build() else {
        return;
    };
    while !monitor.is_stopped.load(Ordering::Relaxed) {
        let instances: Vec<(String, SocketAddr)> = monitor
            .lock()
            .instances
            .iter()
            .map(|(name, samples)| (name.clone(), samples.operators))
            .collect();
        for (name, operators) in instances {
            let answer = client.get(format!("http://{operators}/v1/status")).send().await;
            let Ok(answer) = answer else {
                continue;
            };
            if let Ok(state) = answer.json::<State>().await {
                monitor.record(&name, &state);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
