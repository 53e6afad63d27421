/*!
Connections to peers.

Each peer has a sender with two queues. Small messages, on which packets and
requests wait, go at once. Bulk messages (documents, filters, hand-overs) wait
while the bytes of the last second are over the cap, but for a quarter of the cap
that is always theirs, so that a change of tables ends under any load. Everything is bounded: what
a peer does not take is dropped, and counted.
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

/// Messages that wait for one peer.
const QUEUE: usize = 4_096;

/// Time in which a peer must take a connection or a frame.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Messages in one frame.
const MAX_BATCH: usize = 256;

/// Pause before bulk is tried again when the cap binds.
const BULK_PAUSE: Duration = Duration::from_millis(50);

/// Part of the cap that is always for bulk: one in so many.
const BULK_SHARE: u64 = 4;

/// Bytes of bulk in one frame.
const BULK_BYTES: usize = 256 * 1024;

/// Bytes that may be sent now, filled by time.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: u64) -> Bucket {
        Bucket { rate: rate as f64, tokens: rate as f64, filled: Instant::now() }
    }

    /// Takes bytes; the balance may become negative.
    fn take(&mut self, bytes: usize) {
        self.fill();
        self.tokens -= bytes as f64;
    }

    fn has_room(&mut self) -> bool {
        self.fill();
        self.tokens > 0.0
    }

    fn fill(&mut self) {
        let now = Instant::now();
        let seconds = now.duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate);
        self.filled = now;
    }
}

/// Queues of one peer.
struct Queues {
    small: mpsc::Sender<Message>,
    bulk: mpsc::Sender<Message>,
}

/// Counters and limits of all connections.
struct Shared {
    name: Arc<str>,
    bucket: Mutex<Bucket>,
    bulk: Mutex<Bucket>,
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

    fn has_room_for_bulk(&self) -> bool {
        let under_cap = self.bucket.lock().unwrap_or_else(PoisonError::into_inner).has_room();
        under_cap || self.bulk.lock().unwrap_or_else(PoisonError::into_inner).has_room()
    }
}

/// Connections to all peers.
pub struct Links {
    shared: Arc<Shared>,
    peers: Mutex<HashMap<SocketAddr, Queues>>,
}

impl Links {
    /// Connections of an instance with a cap in bytes a second.
    pub fn new(name: Arc<str>, bytes_per_s: u64) -> Links {
        let shared = Shared {
            name,
            bucket: Mutex::new(Bucket::new(bytes_per_s)),
            bulk: Mutex::new(Bucket::new(bytes_per_s / BULK_SHARE)),
            sent_bytes: AtomicU64::new(0),
            by_kind: Mutex::default(),
            dropped: AtomicU64::new(0),
        };
        Links { shared: Arc::new(shared), peers: Mutex::new(HashMap::new()) }
    }
}

impl Transport for Links {
    fn send(&self, to: SocketAddr, message: Message) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let queues = peers.entry(to).or_insert_with(|| connect(self.shared.clone(), to));
        let queue = if is_bulk(&message) { &queues.bulk } else { &queues.small };
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

fn connect(shared: Arc<Shared>, to: SocketAddr) -> Queues {
    let (small, small_queue) = mpsc::channel(QUEUE);
    let (bulk, bulk_queue) = mpsc::channel(QUEUE);
    tokio::spawn(send_all(shared, to, small_queue, bulk_queue));
    Queues { small, bulk }
}

async fn send_all(
    shared: Arc<Shared>,
    to: SocketAddr,
    mut small: mpsc::Receiver<Message>,
    mut bulk: mpsc::Receiver<Message>,
) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{to}")) else {
        return;
    };
    let channel = endpoint.connect_timeout(TIMEOUT).timeout(TIMEOUT).tcp_nodelay(true).connect_lazy();
    let mut client =
        generated::peer_client::PeerClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
    loop {
        let Some(messages) = next_batch(&shared, &mut small, &mut bulk).await else {
            return;
        };
        let count = messages.len() as u64;
        shared.count_kinds(&messages);
        let content = Frame { sender: shared.name.clone(), messages }.to_bytes();
        if content.len() > MAX_FRAME_BYTES {
            shared.dropped.fetch_add(count, Ordering::Relaxed);
            continue;
        }
        shared.bucket.lock().unwrap_or_else(PoisonError::into_inner).take(content.len());
        shared.sent_bytes.fetch_add(content.len() as u64, Ordering::Relaxed);
        if client.exchange(generated::Frame { content }).await.is_err() {
            shared.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// Waits for messages; small ones first, bulk only under the cap.
async fn next_batch(
    shared: &Shared,
    small: &mut mpsc::Receiver<Message>,
    bulk: &mut mpsc::Receiver<Message>,
) -> Option<Vec<Message>> {
    let mut batch = Vec::new();
    loop {
        while batch.len() < MAX_BATCH {
            match small.try_recv() {
                Ok(message) => batch.push(message),
                Err(_) => break,
            }
        }
        let has_room = shared.has_room_for_bulk();
        if has_room {
            let bytes = take_bulk(bulk, &mut batch);
            shared.bulk.lock().unwrap_or_else(PoisonError::into_inner).take(bytes);
        }
        if !batch.is_empty() {
            return Some(batch);
        }
        tokio::select! {
            message = small.recv() => batch.push(message?),
            message = bulk.recv(), if has_room => batch.push(message?),
            () = tokio::time::sleep(BULK_PAUSE), if !has_room => {}
        }
    }
}

/// Takes bulk messages and returns their bytes.
fn take_bulk(bulk: &mut mpsc::Receiver<Message>, batch: &mut Vec<Message>) -> usize {
    let mut bytes = 0;
    while bytes < BULK_BYTES && batch.len() < MAX_BATCH {
        let Ok(message) = bulk.try_recv() else {
            break;
        };
        bytes += message.bytes();
        batch.push(message);
    }
    bytes
}
