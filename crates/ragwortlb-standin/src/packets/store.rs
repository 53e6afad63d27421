//! Stand-in for the platform's store on the packet path: keys with revisions, range
//! reads, watches and transactions over HTTP/1.1.

use std::{
    collections::{BTreeMap, HashSet},
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Most items of one page.
const MAX_PAGE_ITEMS: usize = 500;

/// Length of the values from which on a page is full, in bytes.
const MAX_PAGE_BYTES: usize = 1_048_576;

/// Write or removal of a key.
#[derive(Clone, Debug)]
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    revision: u64,
    compacted_revision: u64,
    /// Number of restores; it is not part of a backup.
    era: u32,
}

/// Copy of a store's keys, history and revision.
#[derive(Clone, Debug)]
pub struct Backup(State);

impl State {
    fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.revision += 1;
        let value = value.map(<[u8]>::to_vec);
        let change = Change { key: key.into(), value, revision: self.revision };
        match change.value {
            Some(_) => self.items.insert(key.into(), change.clone()),
            None => self.items.remove(key),
        };
        self.history.push(change);
        self.revision
    }
}

/// Running store.
pub struct Store {
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    down: AtomicBool,
    refused: Mutex<HashSet<Ipv4Addr>>,
    calls: AtomicU64,
    transactions: AtomicU64,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(address: SocketAddrV4) -> io::Result<Store> {
        let listener = TcpListener::bind(address).await?;
        let inner = Arc::new(Inner {
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: watch::Sender::new(1),
            down: AtomicBool::new(false),
            refused: Mutex::default(),
            calls: AtomicU64::new(0),
            transactions: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, inner.clone()));
        Ok(Store { inner, task })
    }

    /// Writes a key, or removes it if `value` is absent. Returns the store's new revision.
    pub fn write(&self, key: &str, value: Option<&[u8]>) -> u64 {
        let revision = self.inner.lock().write(key, value);
        self.inner.changed.send_replace(revision);
        revision
    }

    /// Makes every call fail with status 503, or ends that.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
    }

    /// Makes every call from these addresses fail with status 503, and no others.
    pub fn refuse(&self, callers: &[Ipv4Addr]) {
        *self.inner.refused.lock().unwrap_or_else(PoisonError::into_inner) =
            callers.iter().copied().collect();
    }

    /// Copies the current state.
    pub fn back_up(&self) -> Backup {
        Backup(self.inner.lock().clone())
    }

    /// Returns from a backup, in the next era. Later writes are lost, and their revisions
    /// are given to other writes.
    pub fn restore(&self, backup: &Backup) {
        let mut state = self.inner.lock();
        *state = State { era: state.era + 1, ..backup.0.clone() };
        let revision = state.revision;
        drop(state);
        self.inner.changed.send_replace(revision);
    }

    /// Drops the history, so that watches from an earlier revision fail with status 410.
    pub fn compact(&self) {
        let mut state = self.inner.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// Number of transactions since the start.
    pub fn transactions(&self) -> u64 {
        self.inner.transactions.load(Ordering::Relaxed)
    }

    /// Whether a key exists.
    pub fn contains(&self, key: &str) -> bool {
        self.inner.lock().items.contains_key(key)
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    while let Ok((stream, caller)) = listener.accept().await {
        let inner = inner.clone();
        let service = service_fn(move |request| {
            let inner = inner.clone();
            async move { Ok::<_, Infallible>(inner.answer(request, caller).await) }
        });
        tokio::spawn(async move {
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                log::debug!("a connection to the stand-in store failed: {error}");
            }
        });
    }
}

/// Response of an era.
fn respond(era: u32, status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert("Store-Era", HeaderValue::from(era));
    response
}

fn parameters(request: &Request<Incoming>) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    pairs.map(|(name, value)| (decode(name), decode(value))).collect()
}

fn item(change: &Change) -> Value {
    match &change.value {
        Some(value) => json!({
            "key": change.key, "value": BASE64_STANDARD.encode(value), "revision": change.revision,
            "created": change.revision, "lease": 0
        }),
        None => json!({"key": change.key, "revision": change.revision, "deleted": true}),
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refuses(&self, caller: SocketAddr) -> bool {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        matches!(caller, SocketAddr::V4(caller) if refused.contains(caller.ip()))
    }

    async fn answer(&self, request: Request<Incoming>, caller: SocketAddr) -> Response<Full<Bytes>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) || self.refuses(caller) {
            return respond(self.lock().era, StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/kv-key") => self.key(&parameters(&request)),
            (&Method::GET, "/kv-range") => self.range(&parameters(&request)),
            (&Method::GET, "/kv-watch") => self.watch(&parameters(&request)).await,
            (&Method::POST, "/kv-txn") => self.transact(request).await,
            _ => respond(self.lock().era, StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn range(&self, parameters: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let prefix = parameters.get("prefix").map_or("", String::as_str);
        let after = parameters.get("after").map_or("", String::as_str);
        let state = self.lock();
        let found = state.items.values().filter(|change| change.key.starts_with(prefix));
        let mut changes = found.filter(|change| change.key.as_str() > after).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while items.len() < MAX_PAGE_ITEMS && bytes < MAX_PAGE_BYTES {
            let Some(change) = changes.next() else { break };
            bytes += change.value.as_ref().map_or(0, Vec::len);
            items.push(item(change));
        }
        let has_more = changes.peek().is_some();
        respond(
            state.era,
            StatusCode::OK,
            &json!({"items": items, "hasMore": has_more, "storeRevision": state.revision}),
        )
    }

    async fn watch(&self, parameters: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let number = |name: &str| parameters.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let mut changed = self.changed.subscribe();
        let has_revision = |state: &State| (state.compacted_revision..=state.revision).contains(&after);
        let (era, is_known) = {
            let state = self.lock();
            (state.era, has_revision(&state))
        };
        if !is_known {
            return respond(era, StatusCode::GONE, &json!({}));
        }
        let is_changed = |revision: &u64| *revision > after || self.lock().era != era;
        if tokio::time::timeout(wait, changed.wait_for(is_changed)).await.is_err() {
            log::debug!("a watch timed out without a change");
        }
        let state = self.lock();
        if !has_revision(&state) {
            return respond(state.era, StatusCode::GONE, &json!({}));
        }
        let events: Vec<Value> =
            state.history.iter().filter(|change| change.revision > after).map(item).collect();
        respond(state.era, StatusCode::OK, &json!({"events": events, "storeRevision": state.revision}))
    }

    fn key(&self, parameters: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let state = self.lock();
        match parameters.get("key").and_then(|key| state.items.get(key)) {
            Some(change) => respond(state.era, StatusCode::OK, &item(change)),
            None => respond(state.era, StatusCode::NOT_FOUND, &json!({"storeRevision": state.revision})),
        }
    }

    async fn transact(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                return respond(
                    self.lock().era,
                    StatusCode::BAD_REQUEST,
                    &json!({"error": error.to_string()}),
                );
            }
        };
        self.transactions.fetch_add(1, Ordering::Relaxed);
        let body: Value = match serde_json::from_slice(&body) {
            Ok(body) => body,
            Err(error) => {
                return respond(
                    self.lock().era,
                    StatusCode::BAD_REQUEST,
                    &json!({"error": error.to_string()}),
                );
            }
        };
        let mut state = self.lock();
        for write in body["writes"].as_array().into_iter().flatten() {
            let value = BASE64_STANDARD.decode(write["value"].as_str().unwrap_or("")).unwrap_or_default();
            state.write(write["key"].as_str().unwrap_or(""), Some(&value));
        }
        for key in body["remove"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            state.write(key, None);
        }
        let (era, revision) = (state.era, state.revision);
        drop(state);
        self.changed.send_replace(revision);
        respond(era, StatusCode::OK, &json!({"revision": revision}))
    }
}
