/*!
The daemon `ragwortlbd`: the library with sockets, a clock, logs and metrics.

It runs in one of two modes. For flows of requests by gRPC, [`daemon::Daemon`]
serves a [`ragwortlb::node::Node`]; the stand-ins also run several of them in one
process. On the operators' platform, [`relay`] serves a
[`ragwortlb::relay::forwarder::Forwarder`].

| module | holds |
|---|---|
| [`program`] | command line, logging, signals |
| [`daemon`] | start and stop of one instance |
| [`core`] | the driver of the node |
| [`plane`] | gRPC services for customers and peers |
| [`runner`] | gRPC calls to targets |
| [`links`] | gRPC connections to peers |
| [`reader`] | the accepted configuration revision in the store |
| [`operators`], [`metrics`] | the operators' HTTP and the metrics |
| [`settings`] | the settings file |
| [`logs`], [`spans`] | log lines and trace spans |
| [`relay`] | the packet path on the operators' platform |
*/

pub mod core;
pub mod daemon;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod plane;
pub mod program;
pub mod reader;
pub mod relay;
pub mod runner;
pub mod settings;
pub mod spans;
