//! Executes runs on targets by gRPC.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use opentelemetry::Context;
use ragwortlb::node::{Answer, Event, Ticket};
use ragwortlb_rpc::{MAX_MESSAGE_BYTES, call, generated, trace};
use tokio::task::AbortHandle;
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use crate::{
    core::{Driver, Run, Runner},
    spans,
};

/// Limit for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between HTTP/2 pings on a connection, and limit for the reply to one.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time by which the gRPC deadline is later than that of the run, so that the node ends the
/// run first.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);

type Client = generated::call_client::CallClient<Channel>;

/// Runner with one gRPC connection to each target.
#[derive(Default)]
pub struct GrpcRunner {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    runs: Arc<Mutex<HashMap<(Ticket, u32), AbortHandle>>>,
}

impl GrpcRunner {
    fn client(&self, target: SocketAddr) -> Result<Client, Status> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&target) {
            return Ok(client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{target}"))
            .map_err(|error| Status::internal(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        channels.insert(target, channel.clone());
        Ok(client(channel))
    }
}

fn client(channel: Channel) -> Client {
    Client::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

impl Runner for GrpcRunner {
    fn start(&self, driver: &Arc<Driver>, run: Run) {
        let key = (run.ticket, run.run);
        let client = self.client(run.target);
        let driver = driver.clone();
        let runs = self.runs.clone();
        let mut running = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let task = tokio::spawn(async move {
            let answer = match client {
                Ok(client) => call_target(&driver, client, &run).await,
                Err(_) => Answer::Unreachable,
            };
            runs.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
            driver.handle(Event::Answer { ticket: run.ticket, run: run.run, answer });
        });
        running.insert(key, task.abort_handle());
    }

    fn abort(&self, ticket: Ticket, run: u32) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = runs.remove(&(ticket, run)) {
            task.abort();
        }
    }
}

async fn call_target(driver: &Arc<Driver>, mut client: Client, run: &Run) -> Answer {
    let span = spans::Span::start("target", &run.trace);
    span.set("target", &run.name);
    let message = generated::Request { left_ms: run.left_ms, ..(*run.request).clone() };
    let request = target_request(message, run.left_ms, span.context());
    let result = client.run(request).await;
    let answer = match result {
        Ok(response) => {
            let answer = response.into_inner();
            report_leaving(driver, run, answer.leaving);
            call::read_answer(&run.request, answer)
        }
        Err(status) => call::read_failure(&status, may_have_been_sent(&status)),
    };
    span.set("answer", answer_name(&answer));
    answer
}

fn target_request(
    message: generated::Request,
    left_ms: u64,
    context: &Context,
) -> tonic::Request<generated::Request> {
    let mut request = tonic::Request::new(message);
    request.set_timeout(Duration::from_millis(left_ms) + DEADLINE_MARGIN);
    trace::inject(context, request.metadata_mut());
    request
}

/// Tells the node whether a target drains, as its answers say. The name in a
/// run is `target@address`.
fn report_leaving(driver: &Arc<Driver>, run: &Run, leaving: bool) {
    let Some((target, _)) = run.name.rsplit_once('@') else {
        return;
    };
    if let Some(service) = driver.service_at(&run.request.address) {
        driver.handle(Event::TargetLeaving { service, target: target.into(), leaving });
    }
}

/// Returns whether any byte of a failed call may have reached the target. If none has, the
/// request did not run and may be retried.
fn may_have_been_sent(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return false;
        }
        cause = error.source();
    }
    true
}

fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Done(_) => "done",
        Answer::Failed(_) => "failed",
        Answer::Shed => "shed",
        Answer::Unreachable => "unreachable",
        Answer::Lost(_) => "lost",
    }
}
