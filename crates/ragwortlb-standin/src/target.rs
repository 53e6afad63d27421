/*!
Stand-in for targets: a few slots, a cost for each request, shedding when full.

A target remembers the flows that it opened. A later message of a flow that it
does not know shows a broken flow, as a server without the connection's state
would. It also remembers which requests it ran, so that a second run shows.
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

/// What a request asks of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Work {
    /// Time that it takes, in milliseconds.
    pub cost_ms: u64,
    /// Length of the answer's filling, in bytes.
    pub fill: usize,
}

/// What a target answers.
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
    /// Whether the target did not know the flow.
    pub broken: bool,
    /// Filling.
    pub fill: String,
}

/// What a target has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Stats {
    /// Flows opened.
    pub flows: usize,
    /// Requests run.
    pub runs: u64,
    /// Requests run more than once that may not be.
    pub ran_twice: u64,
    /// Requests for another service.
    pub misdelivered: u64,
    /// Requests shed.
    pub shed: u64,
    /// Most requests at once.
    pub peak: usize,
}

/// One target.
pub struct Target {
    service: String,
    address: String,
    name: String,
    slots: usize,
    is_leaving: AtomicBool,
    is_silent: AtomicBool,
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
    /// Target of a service at a service address.
    pub fn new(service: &str, address: SocketAddr, name: &str, slots: usize) -> Arc<Target> {
        Arc::new(Target {
            service: service.to_owned(),
            address: address.to_string(),
            name: name.to_owned(),
            slots,
            is_leaving: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            shed: AtomicU64::new(0),
            misdelivered: AtomicU64::new(0),
            state: Mutex::default(),
        })
    }

    /// Says in answers whether it leaves.
    pub fn leave(&self, leaving: bool) {
        self.is_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Stops answering.
    pub fn silence(&self, silent: bool) {
        self.is_silent.store(silent, Ordering::Relaxed);
    }

    /// Service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it has seen.
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

    /// Times that it ran a request.
    pub fn runs_of(&self, flow: &str, number: u64) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.get(&(flow.to_owned(), number)).map_or(0, Vec::len)
    }

    /// Requests that it ran.
    pub fn ran(&self) -> Vec<(String, u64)> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.keys().cloned().collect()
    }

    /// Starts serving.
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
        let server = call_server::CallServer::new(Handle(self.clone()))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(tokio::spawn(async move {
            let _ = Server::builder().add_service(server).serve_with_incoming(incoming).await;
        }))
    }

    fn note_run(&self, request: &generated::Request) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let known = !state.flows.insert(request.flow.clone());
        let key = (request.flow.clone(), request.number);
        state.runs.entry(key).or_default().push(request.idempotent);
        !request.first && !known
    }

    async fn run(&self, request: generated::Request) -> generated::Answer {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let _slot = Running(&self.running);
        if running > self.slots {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return self.answer(&request, Outcome::NotRun("full".into()));
        }
        self.peak.fetch_max(running, Ordering::Relaxed);
        if request.address != self.address {
            self.misdelivered.fetch_add(1, Ordering::Relaxed);
        }
        let work: Work = serde_json::from_slice(&request.body).unwrap_or_default();
        let broken = self.note_run(&request);
        tokio::time::sleep(Duration::from_millis(work.cost_ms)).await;
        if self.is_silent.load(Ordering::Relaxed) {
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

/// Slot in use.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Handle(Arc<Target>);

#[tonic::async_trait]
impl call_server::Call for Handle {
    async fn run(&self, request: Request<generated::Request>) -> Result<Response<generated::Answer>, Status> {
        Ok(Response::new(self.0.run(request.into_inner()).await))
    }
}
