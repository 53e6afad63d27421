//! The operators' HTTP: health, readiness, status, metrics, and graceful shutdown. Its
//! OpenAPI document is committed and checked by a test.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, HttpServerStarter, RequestContext,
    endpoint,
};
use ragwortlb::{Error, node::Event};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{core::Driver, metrics::Metrics};

/// State that the endpoints share.
pub struct Context {
    driver: Arc<Driver>,
    metrics: Metrics,
}

impl Context {
    /// Context for a driver.
    pub fn new(driver: Arc<Driver>) -> Context {
        Context { metrics: Metrics::new(driver.clone()), driver }
    }
}

/// Result of a check.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Check {
    /// Whether the check passed.
    pub ok: bool,
}

/// State of the instance, as docs/OPERATORS.md describes it.
#[derive(Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct State {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Latest accepted revision received.
    pub revision: u64,
    /// Revision in effect.
    pub effective_revision: u64,
    /// Digest of the accepted revision.
    pub digest: Option<String>,
    /// Whether no change of tables is in progress.
    pub settled: bool,
    /// Bytes sent to peers since the start.
    pub control_bytes: u64,
    /// The same by kind of message, without the overhead of frames.
    pub control_bytes_by_kind: BTreeMap<String, u64>,
    /// Everything else: services, peers and counters.
    pub detail: serde_json::Value,
}

impl From<&Driver> for State {
    fn from(driver: &Driver) -> State {
        let status = driver.status();
        let by_kind =
            driver.sent_by_kind().into_iter().map(|(kind, bytes)| (kind.to_owned(), bytes)).collect();
        State {
            name: status.name.to_string(),
            zone: status.zone.to_string(),
            revision: status.revision,
            effective_revision: status.effective_revision,
            digest: status.digest.as_ref().map(|digest| digest.to_string()),
            settled: status.settled,
            control_bytes: driver.sent_bytes(),
            control_bytes_by_kind: by_kind,
            detail: serde_json::to_value(&status).unwrap_or_default(),
        }
    }
}

/// Reports whether the process answers.
#[endpoint { method = GET, path = "/v1/health" }]
async fn check_health(_: RequestContext<Context>) -> Result<HttpResponseOk<Check>, HttpError> {
    Ok(HttpResponseOk(Check { ok: true }))
}

/// Reports whether the instance serves flows.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn check_ready(context: RequestContext<Context>) -> Result<HttpResponseOk<Check>, HttpError> {
    if context.context().driver.is_serving() {
        return Ok(HttpResponseOk(Check { ok: true }));
    }
    Err(HttpError::for_unavail(Some("NotReady".to_owned()), "the instance does not serve flows".to_owned()))
}

/// Shows the state of the instance.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(context: RequestContext<Context>) -> Result<HttpResponseOk<State>, HttpError> {
    Ok(HttpResponseOk(State::from(&*context.context().driver)))
}

/// Shows metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/v1/metrics" }]
async fn show_metrics(context: RequestContext<Context>) -> Result<http::Response<dropshot::Body>, HttpError> {
    let text = context.context().metrics.render();
    http::Response::builder()
        .header("content-type", "application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(text.into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Starts a graceful shutdown.
#[endpoint { method = POST, path = "/v1/drain" }]
async fn start_drain(context: RequestContext<Context>) -> Result<HttpResponseOk<Check>, HttpError> {
    context.context().driver.handle(Event::Drain);
    Ok(HttpResponseOk(Check { ok: true }))
}

/// All endpoints.
///
/// # Errors
///
/// Two endpoints have the same path.
pub fn api() -> Result<ApiDescription<Context>, Error> {
    let fail =
        |error: dropshot::ApiDescriptionRegisterError| Error::new("describe the HTTP", error.to_string());
    let mut api = ApiDescription::new();
    api.register(check_health).map_err(fail)?;
    api.register(check_ready).map_err(fail)?;
    api.register(show_status).map_err(fail)?;
    api.register(show_metrics).map_err(fail)?;
    api.register(start_drain).map_err(fail)?;
    Ok(api)
}

/// OpenAPI document of the endpoints, in the form that is committed.
///
/// # Errors
///
/// The document cannot be generated.
pub fn openapi() -> Result<String, Error> {
    let version = "1.0.0".parse().map_err(|_| Error::new("describe the HTTP", "bad version"))?;
    let json = api()?
        .openapi("ragwortlbd", version)
        .json()
        .map_err(|error| Error::new("describe the HTTP", error.to_string()))?;
    let text = serde_json::to_string_pretty(&json);
    text.map(|text| text + "\n").map_err(|error| Error::new("describe the HTTP", error.to_string()))
}

/// Starts the HTTP server.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(driver: Arc<Driver>, address: SocketAddr) -> Result<HttpServer<Context>, Error> {
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let log = dropshot::ConfigLogging::StderrTerminal { level: dropshot::ConfigLoggingLevel::Error }
        .to_logger("operators")
        .map_err(|error| Error::new("start the operators' HTTP", error.to_string()))?;
    let starter = HttpServerStarter::new(&config, api()?, Context::new(driver), &log).map_err(|error| {
        Error::new("start the operators' HTTP", error.to_string()).with_peer(address.to_string())
    })?;
    Ok(starter.start())
}
