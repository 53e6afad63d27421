/*!
Membership of instances by gossip, with failure detection.

An instance sends heartbeats to a bounded number of peers: its successors on a
ring of hashed names, which observe it, and some random peers, so that updates
spread in few hops. A heartbeat carries the [`Info`] of its sender and gossip
items: changed infos of other instances, and suspicions. An observer suspects a
peer if it gets no newer heartbeat of it, directly or by gossip, for
[`SUSPECT_MS`]. The peer counts as failed when two observers suspect it, or one
if there is no second observer. A later heartbeat clears the suspicions.

Configured addresses and the platform's list are only seeds, addresses to which
heartbeats are sent before a peer is known. Neither overrides what peers report
about themselves.
*/

mod info;
mod ring;
mod roster;

pub use info::{Change, GossipItem, Heartbeat, Info, State, Suspicion};
pub use roster::Roster;

/// Most peers to which an instance sends each heartbeat, besides seeds and one failed peer.
pub const FANOUT: usize = 8;

/// Successors on the ring among them, which observe this instance. The others are
/// random and change with each heartbeat.
pub const OBSERVED: usize = 6;

/// Heartbeats that carry a gossip item; each goes to all neighbours.
const GOSSIP_REPEATS: u32 = 2;

/// Time between heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;

/// Time without a heartbeat after which an observer suspects a peer, in milliseconds.
pub const SUSPECT_MS: u64 = 2_000;

/// Observers that must suspect a peer before it counts as failed.
pub const OBSERVERS: usize = 2;

/// Most gossip items in one heartbeat.
pub const MAX_GOSSIP_ITEMS: usize = 24;

/// Process pause after which this instance distrusts its view of the peers, in milliseconds.
pub const PAUSE_MS: u64 = 1_000;

/// Time after which a serving instance has received all state for which it became
/// a replica, in milliseconds.
pub const ESTABLISHED_MS: u64 = 3_000;

/// Heartbeats by which the last ones seen by two observers of a peer may differ.
const SEQ_SPREAD: u64 = SUSPECT_MS / HEARTBEAT_MS;

/// Time after which a failed or stopped peer is removed from the roster, in milliseconds.
const FORGET_MS: u64 = 10 * 60 * 1_000;
