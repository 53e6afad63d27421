/*!
gRPC connections to peers.

Each peer has a sending task with two bounded queues. Urgent messages, for which
packets and requests wait, are sent at once. Bulk messages (documents, filters,
handovers) wait while the bytes sent in the last second exceed the cap. A quarter
of the cap is reserved for them, so that a change of tables completes under any
load. Messages that do not fit a queue or cannot be delivered are dropped and
counted; the node copes with lost messages.
*/

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use ragwortlb::wire::{Frame, MAX_FRAME_BYTES, Message};
use ragwortlb_rpc::{MAX_MESSAGE_BYTES, generated, transport::Transport};
use tokio::sync::mpsc;
use tonic::transport::Endpoint;

/// Length of each queue of a peer, in messages.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Limit for connecting to a peer, and for sending it a frame.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Messages in one frame at most.
const MAX_FRAME_MESSAGES: usize = 256;

/// Delay until the cap is checked again for waiting bulk messages.
const BULK_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The cap divided by this is reserved for bulk messages.
const BULK_RESERVE_DIVISOR: u64 = 4;

/// Bulk in one frame, in bytes. A message that begins below the limit is sent whole.
const MAX_FRAME_BULK_BYTES: usize = 256 * 1024;

/// Token bucket that limits bytes a second. It holds at most the bytes of one second.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: u64) -> TokenBucket {
        TokenBucket { rate: rate as f64, tokens: rate as f64, refilled_at: Instant::now() }
    }

    /// Takes tokens for bytes; the balance may become negative.
    fn take(&mut self, bytes: usize) {
        self.refill();
        self.tokens -= bytes as f64;
    }

    fn has_tokens(&mut self) -> bool {
        self.refill();
        self.tokens > 0.0
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let seconds = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate);
        self.refilled_at = now;
    }
}

/// Queues of one peer.
struct Queues {
    urgent: mpsc::Sender<Message>,
    bulk: mpsc::Sender<Message>,
}

/// Counters and limits of all connections.
struct Shared {
    name: Arc<str>,
    /// Bytes of all messages, against the cap.
    total: Mutex<TokenBucket>,
    /// Bytes of bulk messages, against their reserve.
    bulk: Mutex<TokenBucket>,
    sent_bytes: AtomicU64,
    by_kind: Mutex<BTreeMap<&'static str, u64>>,
    dropped: AtomicU64,
}

impl Shared {
    fn count_kinds(&self, messages: &[Message]) {
        let mut by_kind = self.by_kind.lock().unwrap_or_else(PoisonError::into_inner);
        for message in messages {
            *by_kind.entry(message.kind()).or_default() += message.bytes() as u64;
        }
    }

    fn may_send_bulk(&self) -> bool {
        let under_cap = self.total.lock().unwrap_or_else(PoisonError::into_inner).has_tokens();
        under_cap || self.bulk.lock().unwrap_or_else(PoisonError::into_inner).has_tokens()
    }
}

/// Connections to all peers.
pub struct GrpcTransport {
    shared: Arc<Shared>,
    peers: Mutex<HashMap<SocketAddr, Queues>>,
}

impl GrpcTransport {
    /// Transport of an instance, with a cap in bytes a second.
    pub fn new(name: Arc<str>, bytes_per_s: u64) -> GrpcTransport {
        let shared = Shared {
            name,
            total: Mutex::new(TokenBucket::new(bytes_per_s)),
            bulk: Mutex::new(TokenBucket::new(bytes_per_s / BULK_RESERVE_DIVISOR)),
            sent_bytes: AtomicU64::new(0),
            by_kind: Mutex::default(),
            dropped: AtomicU64::new(0),
        };
        GrpcTransport { shared: Arc::new(shared), peers: Mutex::new(HashMap::new()) }
    }
}

impl Transport for GrpcTransport {
    fn send(&self, to: SocketAddr, message: Message) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let queues = peers.entry(to).or_insert_with(|| open_queues(self.shared.clone(), to));
        let queue = if is_bulk(&message) { &queues.bulk } else { &queues.urgent };
        if queue.try_send(message).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    fn sent_by_kind(&self) -> BTreeMap<&'static str, u64> {
        self.shared.by_kind.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn is_bulk(message: &Message) -> bool {
    matches!(
        message,
        Message::Files(_)
            | Message::TransferExceptions(_)
            | Message::FilterPart(..)
            | Message::FilterUnion(..)
            | Message::Snapshot(_)
            | Message::Handover(_)
    )
}

fn open_queues(shared: Arc<Shared>, to: SocketAddr) -> Queues {
    let (urgent, urgent_queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (bulk, bulk_queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    tokio::spawn(send_all(shared, to, urgent_queue, bulk_queue));
    Queues { urgent, bulk }
}

async fn send_all(
    shared: Arc<Shared>,
    to: SocketAddr,
    mut urgent: mpsc::Receiver<Message>,
    mut bulk: mpsc::Receiver<Message>,
) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{to}")) else {
        return;
    };
    let channel =
        endpoint.connect_timeout(PEER_TIMEOUT).timeout(PEER_TIMEOUT).tcp_nodelay(true).connect_lazy();
    let mut client =
        generated::peer_client::PeerClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
    loop {
        let Some(messages) = next_batch(&shared, &mut urgent, &mut bulk).await else {
            return;
        };
        let count = messages.len() as u64;
        shared.count_kinds(&messages);
        let content = Frame { sender: shared.name.clone(), messages }.to_bytes();
        if content.len() > MAX_FRAME_BYTES {
            shared.dropped.fetch_add(count, Ordering::Relaxed);
            continue;
        }
        shared.total.lock().unwrap_or_else(PoisonError::into_inner).take(content.len());
        shared.sent_bytes.fetch_add(content.len() as u64, Ordering::Relaxed);
        if client.exchange(generated::Frame { content }).await.is_err() {
            shared.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Waits for messages for one frame: urgent ones first, bulk as far as the cap allows.
/// Returns none if the transport was dropped.
async fn next_batch(
    shared: &Shared,
    urgent: &mut mpsc::Receiver<Message>,
    bulk: &mut mpsc::Receiver<Message>,
) -> Option<Vec<Message>> {
    let mut batch = Vec::new();
    loop {
        while batch.len() < MAX_FRAME_MESSAGES {
            match urgent.try_recv() {
                Ok(message) => batch.push(message),
                Err(_) => break,
            }
        }
        let bulk_allowed = shared.may_send_bulk();
        if bulk_allowed {
            let bytes = take_bulk(bulk, &mut batch);
            shared.bulk.lock().unwrap_or_else(PoisonError::into_inner).take(bytes);
        }
        if !batch.is_empty() {
            return Some(batch);
        }
        tokio::select! {
            message = urgent.recv() => batch.push(message?),
            message = bulk.recv(), if bulk_allowed => batch.push(message?),
            () = tokio::time::sleep(BULK_RETRY_DELAY), if !bulk_allowed => {}
        }
    }
}

/// Moves bulk messages from the queue to the batch. Returns their size in bytes.
fn take_bulk(bulk: &mut mpsc::Receiver<Message>, batch: &mut Vec<Message>) -> usize {
    let mut bytes = 0;
    while bytes < MAX_FRAME_BULK_BYTES && batch.len() < MAX_FRAME_MESSAGES {
        let Ok(message) = bulk.try_recv() else {
            break;
        };
        bytes += message.bytes();
        batch.push(message);
    }
    bytes
}
