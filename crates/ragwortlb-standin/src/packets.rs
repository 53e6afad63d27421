/*!
Stand-ins for the operators' platform on the packet path: its store, targets that
echo tokens, and clients that open flows.

All of them run on loopback addresses. Every end of the packet path has an
address of its own, as clients get their packets at one port.
*/

pub mod client;
pub mod fixtures;
mod header;
pub mod store;
pub mod target;
