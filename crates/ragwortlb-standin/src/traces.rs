//! Stand-in for a collector of traces: keeps the spans that processes send.

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

/// Span as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// Trace that it belongs to.
    pub trace: Vec<u8>,
    /// Its own identity.
    pub id: Vec<u8>,
    /// Span above it.
    pub parent: Vec<u8>,
    /// Name.
    pub name: String,
}

/// Spans received.
#[derive(Debug, Default)]
pub struct Spans(Mutex<Vec<Span>>);

impl Spans {
    /// Spans of a trace.
    pub fn of(&self, trace: &[u8]) -> Vec<Span> {
        let spans = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        spans.iter().filter(|span| span.trace == trace).cloned().collect()
    }
}

#[endpoint { method = POST, path = "/v1/traces", request_body_max_bytes = 4_000_000 }]
async fn take(
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

/// Starts the stand-in.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr) -> Result<(HttpServer<Arc<Spans>>, Arc<Spans>), Error> {
    let fail = |what: String| Error::new("start the collector", what).with_peer(address.to_string());
    let mut api = ApiDescription::new();
    api.register(take).map_err(|error| fail(error.to_string()))?;
    let config = ConfigDropshot { bind_address: address, ..Default::default() };
    let log = dropshot::ConfigLogging::StderrTerminal { level: dropshot::ConfigLoggingLevel::Error }
        .to_logger("traces")
        .map_err(|error| fail(error.to_string()))?;
    let spans = Arc::new(Spans::default());
    let starter =
        HttpServerStarter::new(&config, api, spans.clone(), &log).map_err(|error| fail(error.to_string()))?;
    Ok((starter.start(), spans))
}
