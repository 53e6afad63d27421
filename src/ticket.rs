//! Numbers of packets and requests inside one instance.

/// Number that the shell gives a packet or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
