/*!
The node with what surrounds it: a clock, the requests that wait for a reply, and
the hands that carry out its actions.
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

/// Run of a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request.
    pub ticket: Ticket,
    /// Number of the run.
    pub run: u32,
    /// Name of the target.
    pub name: Arc<str>,
    /// Address of the target.
    pub target: SocketAddr,
    /// Time left, in milliseconds.
    pub left_ms: u64,
    /// Message of the caller.
    pub request: Arc<generated::Request>,
    /// Trace of the request.
    pub trace: Context,
}

/// Carries out runs on targets.
pub trait Runner: Send + Sync {
    /// Starts a run. Its answer comes to the core as an event.
    fn start(&self, driver: &Arc<Driver>, run: Run);

    /// Stops a run.
    fn abort(&self, ticket: Ticket, run: u32);
}

/// Request that waits for its reply.
struct Waiting {
    reply: oneshot::Sender<Outcome>,
    request: Arc<generated::Request>,
    trace: Context,
}

/// Node and surroundings.
pub struct Driver {
    node: Mutex<Node>,
    waiting: Mutex<HashMap<Ticket, Waiting>>,
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
    /// Surrounds a node.
    pub fn new(node: Node, transport: Arc<dyn Transport>, runner: Box<dyn Runner>) -> Arc<Driver> {
        Arc::new(Driver {
            node: Mutex::new(node),
            waiting: Mutex::new(HashMap::new()),
            transport,
            runner,
            start: Instant::now(),
            last_ticket: AtomicU64::new(0),
            stopped: watch::Sender::new(false),
        })
    }

    /// Gives the node an event and carries out its actions.
    pub fn handle(self: &Arc<Driver>, event: Event) {
        let now = Time(self.start.elapsed().as_millis() as u64);
        let actions = lock(&self.node).handle(event, now);
        for action in actions {
            self.act(action);
        }
    }

    /// Registers a request that waits for its reply.
    pub fn wait_for(
        &self,
        request: generated::Request,
        trace: Context,
    ) -> (Ticket, oneshot::Receiver<Outcome>) {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (reply, outcome) = oneshot::channel();
        let waiting = Waiting { reply, request: Arc::new(request), trace };
        lock(&self.waiting).insert(ticket, waiting);
        (ticket, outcome)
    }

    /// Forgets a request whose caller is gone.
    pub fn forget(self: &Arc<Driver>, ticket: Ticket) {
        if lock(&self.waiting).remove(&ticket).is_some() {
            self.handle(Event::Cancel(ticket));
        }
    }

    /// State of the node.
    pub fn status(&self) -> Status {
        lock(&self.node).status()
    }

    /// Name of the service at an address.
    pub fn service_at(&self, address: &str) -> Option<Arc<str>> {
        lock(&self.node).service_name(address.parse().ok()?)
    }

    /// Reports whether the node takes packets.
    pub fn is_serving(&self) -> bool {
        lock(&self.node).is_serving()
    }

    /// Reports whether the node watches the store.
    pub fn is_reader(&self) -> bool {
        lock(&self.node).is_reader()
    }

    /// Bytes sent to peers.
    pub fn sent_bytes(&self) -> u64 {
        self.transport.sent_bytes()
    }

    /// Messages to peers that were dropped.
    pub fn dropped_messages(&self) -> u64 {
        self.transport.dropped()
    }

    /// Bytes sent to peers by kind of message.
    pub fn sent_by_kind(&self) -> BTreeMap<&'static str, u64> {
        self.transport.sent_by_kind()
    }

    /// Waits until the node has handed over.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    fn act(self: &Arc<Driver>, action: Action) {
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
        let found = lock(&self.waiting).get(&ticket).map(|w| (w.request.clone(), w.trace.clone()));
        if let Some((request, trace)) = found {
            self.runner.start(self, Run { ticket, run, name, target, left_ms, request, trace });
        }
    }

    fn reply(&self, ticket: Ticket, outcome: Outcome) {
        if let Some(waiting) = lock(&self.waiting).remove(&ticket) {
            let _ = waiting.reply.send(outcome);
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
