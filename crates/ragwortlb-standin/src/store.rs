/*!
Stand-in for the platform's key-value service.

It enforces the service's rate limits and counts calls; a waiting watch is one call.
[`Faults`] can be injected while it runs: outages, slow answers, answers lost after the
write took effect, expired leases, and old or corrupt values.
*/

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use dropshot::{
    ApiDescription, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk, HttpServer,
    HttpServerStarter, Path, Query, RequestContext, TypedBody, endpoint,
};
use ragwortlb::Error;
use ragwortlb_rpc::store::MAX_VALUE_BYTES;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Limit of writes and leases per second.
const MAX_WRITES_PER_S: usize = 400;

/// Limit of reads and watches per second.
const MAX_READS_PER_S: usize = 2_000;

/// Maximum length of a request's body, in bytes; JSON escapes may double a value's length.
const MAX_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES + 1024;

/// Faults to inject. The default has none.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Fails every call with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect and then fail with status 503.
    pub lose_answers: u32,
    /// Answers reads with the first version of each key, as after a restore from backup.
    #[serde(rename = "older")]
    pub stale_reads: bool,
    /// Answers reads with a value that is not JSON.
    #[serde(rename = "rubbish")]
    pub corrupt_reads: bool,
    /// Expires all leases at the moment when the faults are set.
    #[serde(rename = "lapse")]
    pub expire_leases: bool,
}

/// Number of calls since the start.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Calls {
    /// Reads and watches.
    pub reads: u64,
    /// Writes and leases.
    pub writes: u64,
    /// Calls rejected because they exceed a rate limit.
    pub refused: u64,
}

/// Value of a key with its version.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Entry {
    /// Value.
    pub value: String,
    /// Version.
    pub version: u64,
}

struct HeldLease {
    holder: String,
    until: Instant,
}

#[derive(Default)]
struct Data {
    keys: BTreeMap<String, Vec<Entry>>,
    leases: BTreeMap<String, HeldLease>,
    last_version: u64,
    faults: Faults,
    calls: Calls,
    recent_reads: VecDeque<Instant>,
    recent_writes: VecDeque<Instant>,
}

/// State shared by all calls.
pub struct Context {
    data: Mutex<Data>,
    changed: watch::Sender<u64>,
}

type Answer<T> = Result<HttpResponseOk<T>, HttpError>;

fn client_error(status: ClientErrorStatusCode, message: &str) -> HttpError {
    HttpError::for_client_error(None, status, message.to_owned())
}

/// Records a call in a sliding window of one second. Returns false if it exceeds the
/// limit.
fn within_rate(recent: &mut VecDeque<Instant>, limit: usize) -> bool {
    let now = Instant::now();
    while recent.front().is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1)) {
        recent.pop_front();
    }
    let within = recent.len() < limit;
    if within {
        recent.push_back(now);
    }
    within
}

impl Context {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the rate limit and the injected faults to a call.
    async fn admit_call(&self, is_write: bool) -> Result<(), HttpError> {
        let (faults, within) = {
            let mut data = self.lock();
            let within = if is_write {
                data.calls.writes += 1;
                within_rate(&mut data.recent_writes, MAX_WRITES_PER_S)
            } else {
                data.calls.reads += 1;
                within_rate(&mut data.recent_reads, MAX_READS_PER_S)
            };
            data.calls.refused += u64::from(!within);
            (data.faults.clone(), within)
        };
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(HttpError::for_unavail(None, "the store is down".to_owned()));
        }
        if !within {
            return Err(client_error(ClientErrorStatusCode::TOO_MANY_REQUESTS, "over the rate limit"));
        }
        Ok(())
    }

    fn read(&self, key: &str) -> Option<Entry> {
        let data = self.lock();
        let versions = data.keys.get(key)?;
        let entry = if data.faults.stale_reads { versions.first() } else { versions.last() };
        let mut entry = entry.cloned()?;
        if data.faults.corrupt_reads {
            entry.value = "\u{0}rubbish{".to_owned();
        }
        Some(entry)
    }

    /// Fails a write that has taken effect, if [`Faults::lose_answers`] asks for it.
    fn lose_answer(&self) -> Result<(), HttpError> {
        let mut data = self.lock();
        if data.faults.lose_answers == 0 {
            return Ok(());
        }
        data.faults.lose_answers -= 1;
        Err(HttpError::for_unavail(None, "the answer was dropped by an injected fault".to_owned()))
    }
}

#[derive(Deserialize, JsonSchema)]
struct KeyPath {
    key: String,
}

#[derive(Deserialize, JsonSchema)]
struct SwapBody {
    version: u64,
    value: String,
}

#[derive(Deserialize, JsonSchema, Serialize)]
struct Written {
    version: u64,
}

#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    version: u64,
    wait_ms: u64,
}

#[derive(Deserialize, JsonSchema)]
struct LeaseBody {
    holder: String,
    time_ms: u64,
}

#[derive(Deserialize, JsonSchema, Serialize)]
struct Lease {
    holder: String,
    left_ms: u64,
}

#[endpoint { method = GET, path = "/v1/keys/{key}" }]
async fn get_key(context: RequestContext<Arc<Context>>, path: Path<KeyPath>) -> Answer<Entry> {
    let store = context.context();
    store.admit_call(false).await?;
    let entry = store.read(&path.into_inner().key);
    entry.map(HttpResponseOk).ok_or_else(|| client_error(ClientErrorStatusCode::NOT_FOUND, "no such key"))
}

#[endpoint { method = PUT, path = "/v1/keys/{key}", request_body_max_bytes = MAX_BODY_BYTES }]
async fn swap_key(
    context: RequestContext<Arc<Context>>,
    path: Path<KeyPath>,
    body: TypedBody<SwapBody>,
) -> Answer<Written> {
    let store = context.context();
    store.admit_call(true).await?;
    let body = body.into_inner();
    if body.value.len() > MAX_VALUE_BYTES {
        return Err(client_error(
            ClientErrorStatusCode::PAYLOAD_TOO_LARGE,
            "the value exceeds the size limit",
        ));
    }
    let version = {
        let mut data = store.lock();
        let key = path.into_inner().key;
        let held = data.keys.get(&key).and_then(|versions| versions.last()).map_or(0, |entry| entry.version);
        if held != body.version {
            return Err(client_error(ClientErrorStatusCode::CONFLICT, "the key has another version"));
        }
        data.last_version += 1;
        let version = data.last_version;
        data.keys.entry(key).or_default().push(Entry { value: body.value, version });
        version
    };
    store.changed.send_replace(version);
    store.lose_answer()?;
    Ok(HttpResponseOk(Written { version }))
}

#[endpoint { method = GET, path = "/v1/watches/{key}" }]
async fn watch_key(
    context: RequestContext<Arc<Context>>,
    path: Path<KeyPath>,
    query: Query<WatchQuery>,
) -> Answer<Entry> {
    const MAX_WAIT_MS: u64 = 60_000;
    let store = context.context();
    store.admit_call(false).await?;
    let key = path.into_inner().key;
    let query = query.into_inner();
    let until = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut changed = store.changed.subscribe();
    loop {
        if let Some(entry) = store.read(&key).filter(|entry| entry.version > query.version) {
            return Ok(HttpResponseOk(entry));
        }
        if store.lock().faults.down {
            return Err(HttpError::for_unavail(None, "the store is down".to_owned()));
        }
        if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
            return Err(client_error(ClientErrorStatusCode::NOT_FOUND, "no later version"));
        }
    }
}

#[endpoint { method = PUT, path = "/v1/leases/{key}" }]
async fn take_lease(
    context: RequestContext<Arc<Context>>,
    path: Path<KeyPath>,
    body: TypedBody<LeaseBody>,
) -> Answer<Lease> {
    let store = context.context();
    store.admit_call(true).await?;
    let body = body.into_inner();
    let name = path.into_inner().key;
    let now = Instant::now();
    let mut data = store.lock();
    let held_by_other =
        data.leases.get(&name).is_some_and(|held| held.until > now && held.holder != body.holder);
    if !held_by_other {
        let until = now + Duration::from_millis(body.time_ms);
        data.leases.insert(name.clone(), HeldLease { holder: body.holder, until });
    }
    let held = &data.leases[&name];
    let left_ms = held.until.duration_since(now).as_millis() as u64;
    Ok(HttpResponseOk(Lease { holder: held.holder.clone(), left_ms }))
}

#[endpoint { method = PUT, path = "/v1/faults" }]
async fn put_faults(context: RequestContext<Arc<Context>>, body: TypedBody<Faults>) -> Answer<Faults> {
    let store = context.context();
    let faults = body.into_inner();
    let mut data = store.lock();
    if faults.expire_leases {
        data.leases.clear();
    }
    data.faults = faults.clone();
    drop(data);
    store.changed.send_modify(|_| {});
    Ok(HttpResponseOk(faults))
}

#[endpoint { method = GET, path = "/v1/calls" }]
async fn show_calls(context: RequestContext<Arc<Context>>) -> Answer<Calls> {
    Ok(HttpResponseOk(context.context().lock().calls.clone()))
}

fn api() -> Result<ApiDescription<Arc<Context>>, Error> {
    let fail =
        |error: dropshot::ApiDescriptionRegisterError| Error::new("describe the store", error.to_string());
    let mut api = ApiDescription::new();
    api.register(get_key).map_err(fail)?;
    api.register(swap_key).map_err(fail)?;
    api.register(watch_key).map_err(fail)?;
    api.register(take_lease).map_err(fail)?;
    api.register(put_faults).map_err(fail)?;
    api.register(show_calls).map_err(fail)?;
    Ok(api)
}

/// Starts the stand-in store.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr) -> Result<HttpServer<Arc<Context>>, Error> {
    let fail = |what: String| Error::new("start the store", what).with_peer(address.to_string());
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let log = dropshot::ConfigLogging::StderrTerminal { level: dropshot::ConfigLoggingLevel::Error }
        .to_logger("store")
        .map_err(|error| fail(error.to_string()))?;
    let context = Arc::new(Context { data: Mutex::default(), changed: watch::Sender::new(0) });
    let starter =
        HttpServerStarter::new(&config, api()?, context, &log).map_err(|error| fail(error.to_string()))?;
    Ok(starter.start())
}

/// Sets the faults of a running stand-in store at a URL.
///
/// # Errors
///
/// The store did not answer.
pub async fn set_faults(base: &str, faults: &Faults) -> Result<(), Error> {
    let fail = |error: reqwest::Error| Error::new("set faults", error.to_string()).with_peer(base);
    let client = reqwest::Client::builder().no_proxy().build().map_err(fail)?;
    client.put(format!("{base}/v1/faults")).json(faults).send().await.map_err(fail)?;
    Ok(())
}

/// Reads the call counters of a running stand-in store at a URL.
///
/// # Errors
///
/// The store did not answer.
pub async fn calls(base: &str) -> Result<Calls, Error> {
    let fail = |error: reqwest::Error| Error::new("read calls", error.to_string()).with_peer(base);
    let client = reqwest::Client::builder().no_proxy().build().map_err(fail)?;
    client.get(format!("{base}/v1/calls")).send().await.map_err(fail)?.json().await.map_err(fail)
}
