/*!
What the programs of ragwortlb share towards the outside: the gRPC messages of
callers, targets and peers, and the platform's store.

[`generated`] is written by `cargo run -p ragwortlb-protogen` and committed.
[`call`] converts its messages from and to the library's types. [`store`] is the
border to the platform's key-value service.
*/

pub mod call;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/ragwortlb.v1.rs"]
pub mod generated;
pub mod store;
pub mod trace;
pub mod transport;

/// Longest gRPC message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
