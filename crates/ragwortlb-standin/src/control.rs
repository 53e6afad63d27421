//! HTTP server and client through which tests change the behavior of the targets of a
//! process and read their reports.

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

/// Behavior to set at a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TargetCommand {
    /// Whether its answers say that it is leaving.
    pub leave: bool,
    /// Whether it runs requests without answering them.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
}

/// Counters of a target, and the requests that it ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct TargetReport {
    /// Service of the target.
    pub service: String,
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
    /// Flow and number of each request run.
    pub ran: Vec<(String, u64)>,
}

/// Targets of a process by name.
pub type Targets = Arc<BTreeMap<String, Arc<Target>>>;

#[derive(Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

#[endpoint { method = GET, path = "/v1/sights" }]
async fn show_target_reports(
    context: RequestContext<Targets>,
) -> Result<HttpResponseOk<BTreeMap<String, TargetReport>>, HttpError> {
    let target_report = |target: &Arc<Target>| {
        let stats = target.stats();
        TargetReport {
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
    Ok(HttpResponseOk(targets.iter().map(|(name, target)| (name.clone(), target_report(target))).collect()))
}

#[endpoint { method = PUT, path = "/v1/targets/{name}" }]
async fn put_command(
    context: RequestContext<Targets>,
    path: Path<NamePath>,
    body: TypedBody<TargetCommand>,
) -> Result<HttpResponseOk<()>, HttpError> {
    let name = path.into_inner().name;
    let target = context.context().get(&name);
    let target = target.ok_or_else(|| HttpError::for_bad_request(None, format!("no target {name}")))?;
    let command = body.into_inner();
    target.leave(command.leave);
    target.set_unresponsive(command.unresponsive);
    Ok(HttpResponseOk(()))
}

/// Starts the HTTP server.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr, targets: Targets) -> Result<HttpServer<Targets>, Error> {
    let fail = |what: String| Error::new("start the control server", what).with_peer(address.to_string());
    let mut api = ApiDescription::new();
    api.register(show_target_reports).map_err(|error| fail(error.to_string()))?;
    api.register(put_command).map_err(|error| fail(error.to_string()))?;
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
    client.map_err(|error| Error::new("create an HTTP client", error.to_string()))
}

/// Reads the reports of all targets of a process, by name of the target.
///
/// # Errors
///
/// The process did not answer.
pub async fn target_reports(address: SocketAddr) -> Result<BTreeMap<String, TargetReport>, Error> {
    let fail = |error: reqwest::Error| Error::new("read the target reports", error.to_string());
    let answer = client()?.get(format!("http://{address}/v1/sights")).send().await.map_err(fail)?;
    answer.json().await.map_err(fail)
}

/// Changes the behavior of a target.
///
/// # Errors
///
/// The process did not answer, or has no such target.
pub async fn command(address: SocketAddr, target: &str, command: &TargetCommand) -> Result<(), Error> {
    let fail = |error: reqwest::Error| Error::new("change the behavior of a target", error.to_string());
    let url = format!("http://{address}/v1/targets/{target}");
    client()?
        .put(url)
        .json(command)
        .send()
        .await
        .and_then(|answer| answer.error_for_status())
        .map_err(fail)?;
    Ok(())
}
