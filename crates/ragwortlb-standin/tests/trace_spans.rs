//! The spans of one request in separate processes form one trace: the instance's span is
//! a child of the customer's, and the target's a child of the instance's.

use std::{path::Path, time::Duration};

use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use ragwortlb_rpc::{generated, trace};
use ragwortlb_standin::{
    fleet::Fleet,
    ports,
    site::{Site, Size},
    traces,
};

#[tokio::test(flavor = "multi_thread")]
async fn spans_join() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("trace-spans");
    let collector = ports::free(1).unwrap()[0];
    let (_server, spans) = traces::serve(collector).unwrap();
    let mut fleet = Fleet::new(Path::new(env!("CARGO_BIN_EXE_ragwortlb-standin")), &folder).unwrap();
    fleet.extra_settings = format!(", \"traces\": \"http://{collector}\"");
    let site = Site::new(Size::Nido, 0, false).unwrap();
    fleet.start_targets(&site).unwrap();
    fleet.start_instance("pa").unwrap();
    fleet.accept(&site.folder(), "first").await.unwrap();
    fleet.wait_ready().await.unwrap();

    let (trace_id, span_id) = (TraceId::from_bytes([7; 16]), SpanId::from_bytes([9; 8]));
    let span = SpanContext::new(trace_id, span_id, TraceFlags::SAMPLED, true, TraceState::default());
    let context = opentelemetry::Context::new().with_remote_span_context(span);
    let mut request = tonic::Request::new(generated::Request {
        address: site.services[0].address.to_string(),
        flow: "traced".to_owned(),
        number: 1,
        attempt: 1,
        first: true,
        idempotent: true,
        ..Default::default()
    });
    trace::inject(&context, request.metadata_mut());
    fleet.fabric.pick().unwrap().run(request).await.unwrap();
    fleet.signal(0, "TERM").unwrap();
    assert!(fleet.wait_exit(0, Duration::from_secs(60)).await);

    let found = spans.of_trace(&[7; 16]);
    let by_name = |name: &str| found.iter().find(|span| span.name == name).unwrap();
    assert_eq!(by_name("instance").parent, [9; 8]);
    assert_eq!(by_name("target").parent, by_name("instance").id);
}
