//! Watches the daemons while a measure runs.

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

/// Time between looks at a daemon.
const LOOK: Duration = Duration::from_millis(100);

/// Time over which bytes are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Longest wait for a revision to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);

/// What was seen of one daemon.
#[derive(Clone, Debug)]
struct Seen {
    operators: SocketAddr,
    revision: u64,
    first: Option<(Instant, u64)>,
    last: Option<(Instant, u64)>,
    window: Option<(Instant, u64)>,
}

#[derive(Debug, Default)]
struct Data {
    daemons: BTreeMap<String, Seen>,
    reverts: u64,
    peak: f64,
    means: Vec<f64>,
}

/// Watcher of all daemons.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    data: Mutex<Data>,
    is_stopped: AtomicBool,
}

impl Monitor {
    /// Starts to watch.
    pub(crate) fn start() -> Arc<Monitor> {
        let monitor = Arc::new(Monitor::default());
        tokio::spawn(look(monitor.clone()));
        monitor
    }

    /// Ends the watch.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Sets the daemons to watch.
    pub(crate) fn watch(&self, daemons: Vec<(String, SocketAddr)>) {
        let mut data = self.lock();
        let gone: Vec<String> =
            data.daemons.keys().filter(|name| !daemons.iter().any(|(d, _)| d == *name)).cloned().collect();
        for name in gone {
            if let Some(mean) = data.daemons.remove(&name).and_then(|seen| mean(&seen)) {
                data.means.push(mean);
            }
        }
        for (name, operators) in daemons {
            let fresh = Seen { operators, revision: 0, first: None, last: None, window: None };
            data.daemons.entry(name).or_insert(fresh);
        }
    }

    /// Waits until all daemons have a revision in force. Returns how long it took.
    pub(crate) async fn wait_effective(&self, revision: u64) -> Duration {
        const STEP: Duration = Duration::from_millis(20);
        let start = Instant::now();
        while start.elapsed() < IN_FORCE_LIMIT {
            if self.lock().daemons.values().all(|seen| seen.revision >= revision) {
                break;
            }
            tokio::time::sleep(STEP).await;
        }
        start.elapsed()
    }

    /// Times that a daemon went back.
    pub(crate) fn reverts(&self) -> u64 {
        self.lock().reverts
    }

    /// Most bytes a second of any daemon.
    pub(crate) fn peak_bytes_per_s(&self) -> f64 {
        self.lock().peak
    }

    /// Mean bytes a second of all daemons.
    pub(crate) fn mean_bytes_per_s(&self) -> f64 {
        let data = self.lock();
        let means: Vec<f64> =
            data.daemons.values().filter_map(mean).chain(data.means.iter().copied()).collect();
        means.iter().sum::<f64>() / means.len().max(1) as f64
    }

    fn note(&self, name: &str, state: &State) {
        let mut data = self.lock();
        let now = Instant::now();
        let mut reverted = false;
        let mut rate = 0.0;
        if let Some(seen) = data.daemons.get_mut(name) {
            reverted = state.effective_revision < seen.revision;
            seen.revision = state.effective_revision;
            let point = (now, state.control_bytes);
            seen.first.get_or_insert(point);
            seen.last = Some(point);
            let (since, bytes) = *seen.window.get_or_insert(point);
            if now.duration_since(since) >= WINDOW {
                rate = (state.control_bytes - bytes) as f64 / now.duration_since(since).as_secs_f64();
                seen.window = Some(point);
            }
        }
        data.reverts += u64::from(reverted);
        data.peak = data.peak.max(rate);
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn mean(seen: &Seen) -> Option<f64> {
    let ((start, first), (end, last)) = (seen.first?, seen.last?);
    let seconds = end.duration_since(start).as_secs_f64();
    (seconds > 0.0).then(|| (last - first) as f64 / seconds)
}

async fn look(monitor: Arc<Monitor>) {
    const TIMEOUT: Duration = Duration::from_millis(500);
    let Ok(client) = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build() else {
        return;
    };
    while !monitor.is_stopped.load(Ordering::Relaxed) {
        let daemons: Vec<(String, SocketAddr)> =
            monitor.lock().daemons.iter().map(|(name, seen)| (name.clone(), seen.operators)).collect();
        for (name, operators) in daemons {
            let answer = client.get(format!("http://{operators}/v1/status")).send().await;
            let Ok(answer) = answer else {
                continue;
            };
            if let Ok(state) = answer.json::<State>().await {
                monitor.note(&name, &state);
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}
