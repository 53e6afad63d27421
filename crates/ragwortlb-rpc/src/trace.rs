//! Trace contexts in the `traceparent` header of W3C Trace Context.

use opentelemetry::{
    Context,
    trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState},
};
use tonic::metadata::MetadataMap;

/// Name of the header.
pub const HEADER: &str = "traceparent";

/// Reads the sender's trace context; empty if the header is missing or malformed.
pub fn extract(metadata: &MetadataMap) -> Context {
    let header = metadata.get(HEADER).and_then(|value| value.to_str().ok());
    match header.and_then(parse) {
        Some(span) => Context::new().with_remote_span_context(span),
        None => Context::new(),
    }
}

/// Writes a trace context; does nothing if it is not valid.
pub fn inject(context: &Context, metadata: &mut MetadataMap) {
    let span = context.span().span_context().clone();
    if !span.is_valid() {
        return;
    }
    let flags = span.trace_flags().to_u8();
    let header = format!("00-{}-{}-{flags:02x}", span.trace_id(), span.span_id());
    if let Ok(value) = header.parse() {
        metadata.insert(HEADER, value);
    }
}

fn parse(header: &str) -> Option<SpanContext> {
    let mut parts = header.split('-');
    let version = parts.next()?;
    let trace = TraceId::from_hex(parts.next()?).ok()?;
    let span = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    if version != "00" || parts.next().is_some() {
        return None;
    }
    let span = SpanContext::new(trace, span, TraceFlags::new(flags), true, TraceState::default());
    span.is_valid().then_some(span)
}
