//! Stand-in for an OpenTelemetry trace collector: keeps the spans that it receives over
//! HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, HttpServerStarter, RequestContext,
    UntypedBody, endpoint,
};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use ragwortlb::Error;

/// Received span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// Trace id.
    pub trace: Vec<u8>,
    /// Span id.
    pub id: Vec<u8>,
    /// Id of the parent span.
    pub parent: Vec<u8>,
    /// Name.
    pub name: String,
}

/// All received spans.
#[derive(Debug, Default)]
pub struct Spans(Mutex<Vec<Span>>);

impl Spans {
    /// Spans of a trace, in the order of their arrival.
    pub fn of_trace(&self, trace: &[u8]) -> Vec<Span> {
        let spans = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        spans.iter().filter(|span| span.trace == trace).cloned().collect()
    }
}

#[endpoint { method = POST, path = "/v1/traces", request_body_max_bytes = 4_000_000 }]
async fn receive(
    context: RequestContext<Arc<Spans>>,
    body: UntypedBody,
) -> Result<HttpResponseOk<()>, HttpError> {
    let request = ExportTraceServiceRequest::decode(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))?;
    let scopes = request.resource_spans.into_iter().flat_map(|resource| resource.scope_spans);
    let spans = scopes.flat_map(|scope| scope.spans).map(|span| Span {
        trace: span.trace_id,
        id: span.span_id,
        parent: span.parent_span_id,
        name: span.name,
    });
    context.context().0.lock().unwrap_or_else(PoisonError::into_inner).extend(spans);
    Ok(HttpResponseOk(()))
}

/// Starts the collector. Returns the server and the spans that it receives.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr) -> Result<(HttpServer<Arc<Spans>>, Arc<Spans>), Error> {
    let fail = |what: String| Error::new("start the trace collector", what).with_peer(address.to_string());
    let mut api = ApiDescription::new();
    api.register(receive).map_err(|error| fail(error.to_string()))?;
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let log = dropshot::ConfigLogging::StderrTerminal { level: dropshot::ConfigLoggingLevel::Error }
        .to_logger("traces")
        .map_err(|error| fail(error.to_string()))?;
    let spans = Arc::new(Spans::default());
    let starter =
        HttpServerStarter::new(&config, api, spans.clone(), &log).map_err(|error| fail(error.to_string()))?;
    Ok((starter.start(), spans))
}
