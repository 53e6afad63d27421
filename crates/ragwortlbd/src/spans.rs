//! OpenTelemetry spans of the hops of a request, and their export by OTLP.

use std::sync::Arc;

use opentelemetry::{
    Context, KeyValue, global,
    trace::{SpanKind, TraceContextExt, Tracer},
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::{Resource, trace::SdkTracerProvider};
use ragwortlb::Error;

const TRACER: &str = "ragwortlb";

/// Span that ends when it is dropped.
pub struct Span {
    context: Context,
}

impl Span {
    /// Starts a span as a child of the context.
    pub fn start(name: &'static str, parent: &Context) -> Span {
        let tracer = global::tracer(TRACER);
        let span = tracer.span_builder(name).with_kind(SpanKind::Server).start_with_context(&tracer, parent);
        Span { context: parent.with_span(span) }
    }

    /// Context for child spans.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Sets an attribute.
    pub fn set(&self, key: &'static str, value: &str) {
        self.context.span().set_attribute(KeyValue::new(key, value.to_owned()));
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

/// Exports the spans of this process to an OTLP collector. The caller shuts the provider
/// down at the end, which sends the last spans.
///
/// # Errors
///
/// The exporter cannot be created.
pub fn export(url: &str, process: &Arc<str>) -> Result<SdkTracerProvider, Error> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_endpoint(format!("{}/v1/traces", url.trim_end_matches('/')))
        .build()
        .map_err(|error| Error::new("export traces", error.to_string()).with_peer(url))?;
    let resource = Resource::builder().with_service_name(process.to_string()).build();
    let provider = SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    global::set_tracer_provider(provider.clone());
    Ok(provider)
}
