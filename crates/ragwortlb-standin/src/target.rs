/*!
Stand-in for targets. A target has a few concurrency slots, takes a given time for
each request, and sheds requests when all slots are in use.

It records the flows that it opened and reports a flow as broken when a later request
of an unknown flow arrives, as a server without the connection's state would. It also
records which requests it ran, to detect duplicate runs.
*/

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use ragwortlb::{Error, wire::Outcome};
use ragwortlb_rpc::{
    MAX_MESSAGE_BYTES, call,
    generated::{self, call_server},
};
use serde::{Deserialize, Serialize};
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

/// Body of a request: the work to simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Work {
    /// Service time, in milliseconds.
    pub cost_ms: u64,
    /// Length of the answer's padding, in bytes.
    pub fill: usize,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Reply {
    /// Service of the target.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// Flow of the request.
    pub flow: String,
    /// Number of the request.
    pub number: u64,
    /// Whether the target does not know the flow, though the request does not open it.
    pub broken: bool,
    /// Padding.
    pub fill: String,
}

/// Counters of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Stats {
    /// Flows opened.
    pub flows: usize,
    /// Requests run.
    pub runs: u64,
    /// Requests run more than once though they are not idempotent.
    pub ran_twice: u64,
    /// Requests for another service.
    pub misdelivered: u64,
    /// Requests shed.
    pub shed: u64,
    /// Maximum number of requests run concurrently.
    pub peak: usize,
}

/// Stand-in of one target.
pub struct Target {
    service: String,
    address: String,
    name: String,
    slots: usize,
    is_leaving: AtomicBool,
    is_unresponsive: AtomicBool,
    running: AtomicUsize,
    peak: AtomicUsize,
    shed: AtomicU64,
    misdelivered: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    flows: HashSet<String>,
    runs: HashMap<(String, u64), Vec<bool>>,
}

impl Target {
    /// Creates a target of a service, given the service's address.
    pub fn new(service: &str, address: SocketAddr, name: &str, slots: usize) -> Arc<Target> {
        Arc::new(Target {
            service: service.to_owned(),
            address: address.to_string(),
            name: name.to_owned(),
            slots,
            is_leaving: AtomicBool::new(false),
            is_unresponsive: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            shed: AtomicU64::new(0),
            misdelivered: AtomicU64::new(0),
            state: Mutex::default(),
        })
    }

    /// Sets whether answers say that the target is leaving.
    pub fn leave(&self, leaving: bool) {
        self.is_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Sets whether the target runs requests without answering them.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.is_unresponsive.store(unresponsive, Ordering::Relaxed);
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Name of the target.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let twice =
            state.runs.values().filter(|runs| runs.iter().filter(|idempotent| !**idempotent).count() > 1);
        Stats {
            flows: state.flows.len(),
            runs: state.runs.values().map(|runs| runs.len() as u64).sum(),
            ran_twice: twice.count() as u64,
            misdelivered: self.misdelivered.load(Ordering::Relaxed),
            shed: self.shed.load(Ordering::Relaxed),
            peak: self.peak.load(Ordering::Relaxed),
        }
    }

    /// Number of times that it ran a request.
    pub fn runs_of(&self, flow: &str, number: u64) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.get(&(flow.to_owned(), number)).map_or(0, Vec::len)
    }

    /// Requests that it ran: flow and number.
    pub fn ran(&self) -> Vec<(String, u64)> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.keys().cloned().collect()
    }

    /// Starts serving at an address.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn serve(
        self: &Arc<Target>,
        address: SocketAddr,
    ) -> Result<tokio::task::JoinHandle<()>, Error> {
        let fail = |error: std::io::Error| {
            Error::new("start a target", error.to_string()).with_peer(address.to_string())
        };
        let listener = tokio::net::TcpListener::bind(address).await.map_err(fail)?;
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = call_server::CallServer::new(Handler(self.clone()))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(tokio::spawn(async move {
            let _ = Server::builder().add_service(server).serve_with_incoming(incoming).await;
        }))
    }

    fn record_run(&self, request: &generated::Request) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let known = !state.flows.insert(request.flow.clone());
        let key = (request.flow.clone(), request.number);
        state.runs.entry(key).or_default().push(request.idempotent);
        !request.first && !known
    }

    async fn run(&self, request: generated::Request) -> generated::Answer {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let _slot = SlotGuard(&self.running);
        if running > self.slots {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return self.answer(&request, Outcome::NotRun("full".into()));
        }
        self.peak.fetch_max(running, Ordering::Relaxed);
        if request.address != self.address {
            self.misdelivered.fetch_add(1, Ordering::Relaxed);
        }
        let work: Work = serde_json::from_slice(&request.body).unwrap_or_default();
        let broken = self.record_run(&request);
        tokio::time::sleep(Duration::from_millis(work.cost_ms)).await;
        if self.is_unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let reply = Reply {
            service: self.service.clone(),
            target: self.name.clone(),
            flow: request.flow.clone(),
            number: request.number,
            broken,
            fill: "x".repeat(work.fill),
        };
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        self.answer(&request, Outcome::Done(body.into()))
    }

    fn answer(&self, request: &generated::Request, outcome: Outcome) -> generated::Answer {
        let leaving = self.is_leaving.load(Ordering::Relaxed);
        generated::Answer { leaving, ..call::answer(request, outcome) }
    }
}

/// Frees a concurrency slot when dropped.
struct SlotGuard<'a>(&'a AtomicUsize);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Handler(Arc<Target>);

#[tonic::async_trait]
impl call_server::Call for Handler {
    async fn run(&self, request: Request<generated::Request>) -> Result<Response<generated::Answer>, Status> {
        Ok(Response::new(self.0.run(request.into_inner()).await))
    }
}
