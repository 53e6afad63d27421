/*!
The border to the platform's key-value service.

[`Store`] has what that service gives: get, compare-and-swap, leases, watches.
[`http::HttpStore`] speaks to it over HTTP. [`accept`] writes a revision, and
[`fetch`] reads one with all its documents.
*/

pub mod accept;
pub mod fetch;
pub mod http;

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use ragwortlb::Error;
use serde::{Deserialize, Serialize};

/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Answer that is not there yet.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Value.
    pub value: String,
    /// Version of the key; greater after each write.
    pub version: u64,
}

/// What became of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// It was written, with this version.
    Written(u64),
    /// The key had another version.
    Conflict,
}

/// Lease on a name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: Arc<str>,
    /// Time for which it is held, in milliseconds.
    pub left_ms: u64,
}

/// The platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<Entry>>;

    /// Writes a key if it has the version; zero means that it must not exist.
    fn compare_and_swap<'a>(&'a self, key: &'a str, version: u64, value: &'a str) -> Pending<'a, Swap>;

    /// Takes or renews a lease; returns who holds it then.
    fn lease<'a>(&'a self, name: &'a str, holder: &'a str, time: Duration) -> Pending<'a, Lease>;

    /// Waits until a key has a later version than the one given.
    fn watch<'a>(&'a self, key: &'a str, version: u64, wait: Duration) -> Pending<'a, Option<Entry>>;
}
