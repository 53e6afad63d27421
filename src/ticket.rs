//! Correlation ids of packets and requests inside one instance.

/// Correlation id that the host program gives to a packet or request.
///
/// Actions refer to the packet or request by its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
