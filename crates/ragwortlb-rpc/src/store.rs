/*!
Client of the platform's key-value service.

[`Store`] is the interface: get, compare-and-swap, leases and watches.
[`http::HttpStore`] implements it over HTTP. [`accept`] writes a configuration
revision, and [`fetch`] reads one with all its documents.
*/

pub mod accept;
pub mod fetch;
pub mod http;

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use ragwortlb::Error;
use serde::{Deserialize, Serialize};

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Future of a store call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Value of a key with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Value.
    pub value: String,
    /// Version of the key; greater after each write.
    pub version: u64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written; the key now has this version.
    Written(u64),
    /// The key had a version other than the expected one; nothing was written.
    Conflict,
}

/// Lease on a name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Lease {
    /// Name of the current holder.
    pub holder: Arc<str>,
    /// Time until it expires, in milliseconds.
    pub left_ms: u64,
}

/// The platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes a key if its version is the given one. Version zero requires that the
    /// key does not exist.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        version: u64,
        value: &'a str,
    ) -> StoreFuture<'a, SwapOutcome>;

    /// Acquires or renews a lease for `time`; returns the current holder, which is
    /// another one if the lease is taken.
    fn lease<'a>(&'a self, name: &'a str, holder: &'a str, time: Duration) -> StoreFuture<'a, Lease>;

    /// Waits up to `wait` until a key has a later version than the given one. Returns
    /// `None` if there is no such version in time.
    fn watch<'a>(&'a self, key: &'a str, version: u64, wait: Duration) -> StoreFuture<'a, Option<Entry>>;
}
