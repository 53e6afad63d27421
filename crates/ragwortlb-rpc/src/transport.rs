/*!
The border between an instance and its peers.

[`Transport`] takes messages for an address and never blocks; what a peer does not
take in time is dropped, as every message between instances may be lost.
*/

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortlb::wire::Message;

/// Way to the peers.
pub trait Transport: Send + Sync {
    /// Sends a message, or drops it.
    fn send(&self, to: SocketAddr, message: Message);

    /// Bytes sent since the start.
    fn sent_bytes(&self) -> u64;

    /// Messages dropped since the start.
    fn dropped(&self) -> u64;

    /// Bytes sent since the start by kind of message, without the frames' own.
    fn sent_by_kind(&self) -> BTreeMap<&'static str, u64>;
}
