/*!
Stand-ins for the operators' platform on the packet path: its store, targets that
echo routing tokens, and clients that open flows.

All of them run on loopback addresses. Each client, instance and target has its own
IP address, because all clients receive packets at the same port.
*/

pub mod client;
pub mod fixtures;
mod header;
pub mod store;
pub mod target;
