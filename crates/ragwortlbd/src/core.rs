/*!
Host program of the sans-I/O node: it hands events to the node with the current
time and performs the actions that the node returns.

The node has no sockets, clock or threads. A [`Driver`] serializes access to it,
sends its messages through a [`Transport`], starts its runs through a [`Runner`],
and keeps the requests that await a reply.
*/

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use opentelemetry::Context;
use ragwortlb::{
    node::{Action, Event, Node, Notice, Status, Ticket},
    time::Time,
    wire::{Message, Outcome},
};
use ragwortlb_rpc::{generated, transport::Transport};
use tokio::sync::{oneshot, watch};

/// One attempt to execute a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Correlation id of the request.
    pub ticket: Ticket,
    /// Number of the run within the request.
    pub run: u32,
    /// Name of the target.
    pub name: Arc<str>,
    /// Address of the target.
    pub target: SocketAddr,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Message of the customer.
    pub request: Arc<generated::Request>,
    /// Trace context of the request.
    pub trace: Context,
}

/// Executes runs on targets.
pub trait Runner: Send + Sync {
    /// Starts a run. Its result is passed to [`Driver::handle`] as [`Event::Answer`].
    fn start(&self, driver: &Arc<Driver>, run: Run);

    /// Cancels a run.
    fn abort(&self, ticket: Ticket, run: u32);
}

/// Request that awaits its reply.
struct PendingRequest {
    reply: oneshot::Sender<Outcome>,
    request: Arc<generated::Request>,
    trace: Context,
}

/// Node with its transport, runner, clock and pending requests.
pub struct Driver {
    node: Mutex<Node>,
    pending: Mutex<HashMap<Ticket, PendingRequest>>,
    transport: Arc<dyn Transport>,
    runner: Box<dyn Runner>,
    start: Instant,
    last_ticket: AtomicU64,
    stopped: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Driver {
    /// Driver of a node. Its clock starts at zero now.
    pub fn new(node: Node, transport: Arc<dyn Transport>, runner: Box<dyn Runner>) -> Arc<Driver> {
        Arc::new(Driver {
            node: Mutex::new(node),
            pending: Mutex::new(HashMap::new()),
            transport,
            runner,
            start: Instant::now(),
            last_ticket: AtomicU64::new(0),
            stopped: watch::Sender::new(false),
        })
    }

    /// Passes an event to the node and performs the actions that it returns.
    pub fn handle(self: &Arc<Driver>, event: Event) {
        let now = Time(self.start.elapsed().as_millis() as u64);
        let actions = lock(&self.node).handle(event, now);
        for action in actions {
            self.perform(action);
        }
    }

    /// Registers a request under a new correlation id; its outcome arrives on the receiver.
    pub fn add_request(
        &self,
        request: generated::Request,
        trace: Context,
    ) -> (Ticket, oneshot::Receiver<Outcome>) {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (reply, outcome) = oneshot::channel();
        let pending = PendingRequest { reply, request: Arc::new(request), trace };
        lock(&self.pending).insert(ticket, pending);
        (ticket, outcome)
    }

    /// Cancels a request whose customer has disconnected. Does nothing if it is answered.
    pub fn cancel_request(self: &Arc<Driver>, ticket: Ticket) {
        if lock(&self.pending).remove(&ticket).is_some() {
            self.handle(Event::Cancel(ticket));
        }
    }

    /// State of the node.
    pub fn status(&self) -> Status {
        lock(&self.node).status()
    }

    /// Name of the service at an address; none if the address is malformed or unknown.
    pub fn service_at(&self, address: &str) -> Option<Arc<str>> {
        lock(&self.node).service_name(address.parse().ok()?)
    }

    /// Returns whether the instance serves flows.
    pub fn is_serving(&self) -> bool {
        lock(&self.node).is_serving()
    }

    /// Returns whether the instance is a store reader.
    pub fn is_reader(&self) -> bool {
        lock(&self.node).is_reader()
    }

    /// Bytes sent to peers since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.transport.sent_bytes()
    }

    /// Messages to peers dropped since the start.
    pub fn dropped_messages(&self) -> u64 {
        self.transport.dropped()
    }

    /// Bytes sent to peers since the start, by kind of message.
    pub fn sent_by_kind(&self) -> BTreeMap<&'static str, u64> {
        self.transport.sent_by_kind()
    }

    /// Waits until the node has handed over its flows and may stop.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    fn perform(self: &Arc<Driver>, action: Action) {
        match action {
            Action::Run { ticket, run, name, target, left_ms } => {
                self.start_run(ticket, run, name, target, left_ms);
            }
            Action::Abort { ticket, run } => self.runner.abort(ticket, run),
            Action::Reply { ticket, outcome } => self.reply(ticket, outcome),
            Action::Send { to, message } => self.send(to, message),
            Action::Notice(notice) => log_notice(&notice),
            Action::Stopped => {
                self.stopped.send_replace(true);
            }
            Action::Forward { .. } | Action::Drop { .. } => {}
        }
    }

    fn start_run(
        self: &Arc<Driver>,
        ticket: Ticket,
        run: u32,
        name: Arc<str>,
        target: SocketAddr,
        left_ms: u64,
    ) {
        let found = lock(&self.pending).get(&ticket).map(|w| (w.request.clone(), w.trace.clone()));
        if let Some((request, trace)) = found {
            self.runner.start(self, Run { ticket, run, name, target, left_ms, request, trace });
        }
    }

    fn reply(&self, ticket: Ticket, outcome: Outcome) {
        if let Some(pending) = lock(&self.pending).remove(&ticket) {
            let _ = pending.reply.send(outcome);
        }
    }

    fn send(&self, to: SocketAddr, message: Message) {
        self.transport.send(to, message);
    }
}

fn log_notice(notice: &Notice) {
    let number = notice.number();
    if notice.is_warning() {
        log::warn!("E{number} {notice}");
    } else {
        log::info!("E{number} {notice}");
    }
}
