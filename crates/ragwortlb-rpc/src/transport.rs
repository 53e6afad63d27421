/*!
Interface for sending messages to peers.

[`Transport::send`] never blocks. It drops messages that a peer does not accept in
time; the protocol between instances tolerates the loss of any message.
*/

use std::{collections::BTreeMap, net::SocketAddr};

use ragwortlb::wire::Message;

/// Sends messages to peers.
pub trait Transport: Send + Sync {
    /// Queues a message for sending, or drops it.
    fn send(&self, to: SocketAddr, message: Message);

    /// Bytes sent since the start.
    fn sent_bytes(&self) -> u64;

    /// Messages dropped since the start.
    fn dropped(&self) -> u64;

    /// Bytes sent since the start by kind of message, without the overhead of frames.
    fn sent_by_kind(&self) -> BTreeMap<&'static str, u64>;
}
