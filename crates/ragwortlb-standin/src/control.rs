//! HTTP by which a test steers the targets of one process and reads what they saw.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, HttpServerStarter, Path,
    RequestContext, TypedBody, endpoint,
};
use ragwortlb::Error;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::target::Target;

/// Time in which the targets must answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What a target is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Order {
    /// Says in answers that it leaves.
    pub leave: bool,
    /// Takes requests and does not answer.
    pub silent: bool,
}

/// What a target has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Sight {
    /// Service.
    pub service: String,
    /// Flows.
    pub flows: usize,
    /// Requests run.
    pub runs: u64,
    /// Requests run more than once that may not be.
    pub ran_twice: u64,
    /// Requests for another service.
    pub misdelivered: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests run: flow and number.
    pub ran: Vec<(String, u64)>,
}

/// Targets of a process by name.
pub type Targets = Arc<BTreeMap<String, Arc<Target>>>;

#[derive(Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

#[endpoint { method = GET, path = "/v1/sights" }]
async fn show_sights(
    context: RequestContext<Targets>,
) -> Result<HttpResponseOk<BTreeMap<String, Sight>>, HttpError> {
    let sight = |target: &Arc<Target>| {
        let stats = target.stats();
        Sight {
            service: target.service().to_owned(),
            flows: stats.flows,
            runs: stats.runs,
            ran_twice: stats.ran_twice,
            misdelivered: stats.misdelivered,
            shed: stats.shed,
            ran: target.ran(),
        }
    };
    let targets = context.context();
    Ok(HttpResponseOk(targets.iter().map(|(name, target)| (name.clone(), sight(target))).collect()))
}

#[endpoint { method = PUT, path = "/v1/targets/{name}" }]
async fn take_order(
    context: RequestContext<Targets>,
    path: Path<NamePath>,
    body: TypedBody<Order>,
) -> Result<HttpResponseOk<()>, HttpError> {
    let name = path.into_inner().name;
    let target = context.context().get(&name);
    let target = target.ok_or_else(|| HttpError::for_bad_request(None, format!("no target {name}")))?;
    let order = body.into_inner();
    target.leave(order.leave);
    target.silence(order.silent);
    Ok(HttpResponseOk(()))
}

/// Starts the HTTP.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr, targets: Targets) -> Result<HttpServer<Targets>, Error> {
    let fail = |what: String| Error::new("start the control", what).with_peer(address.to_string());
    let mut api = ApiDescription::new();
    api.register(show_sights).map_err(|error| fail(error.to_string()))?;
    api.register(take_order).map_err(|error| fail(error.to_string()))?;
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let log = dropshot::ConfigLogging::StderrTerminal { level: dropshot::ConfigLoggingLevel::Error }
        .to_logger("control")
        .map_err(|error| fail(error.to_string()))?;
    let starter =
        HttpServerStarter::new(&config, api, targets, &log).map_err(|error| fail(error.to_string()))?;
    Ok(starter.start())
}

fn client() -> Result<reqwest::Client, Error> {
    let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
    client.map_err(|error| Error::new("make a client", error.to_string()))
}

/// Reads what the targets have seen.
///
/// # Errors
///
/// They did not answer.
pub async fn sights(address: SocketAddr) -> Result<BTreeMap<String, Sight>, Error> {
    let fail = |error: reqwest::Error| Error::new("read the targets", error.to_string());
    let answer = client()?.get(format!("http://{address}/v1/sights")).send().await.map_err(fail)?;
    answer.json().await.map_err(fail)
}

/// Gives a target an order.
///
/// # Errors
///
/// It did not answer.
pub async fn order(address: SocketAddr, target: &str, order: &Order) -> Result<(), Error> {
    let fail = |error: reqwest::Error| Error::new("steer a target", error.to_string());
    let url = format!("http://{address}/v1/targets/{target}");
    client()?.put(url).json(order).send().await.and_then(|answer| answer.error_for_status()).map_err(fail)?;
    Ok(())
}
