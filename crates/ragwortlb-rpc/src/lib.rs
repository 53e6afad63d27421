/*!
Network interfaces shared by the ragwortlb programs: the gRPC messages exchanged
with customers, targets and peers, and the client of the platform's store.

[`generated`] is written by `cargo run -p ragwortlb-protogen` and committed.
[`call`] validates its messages and converts them from and to the library's
types. [`transport`] sends messages to peers, [`trace`] carries trace contexts,
and [`store`] accesses the platform's key-value service.
*/

pub mod call;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/ragwortlb.v1.rs"]
pub mod generated;
pub mod store;
pub mod trace;
pub mod transport;

/// Maximum size of a gRPC message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
