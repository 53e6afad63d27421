/*!
The roster of instances: who is alive, who leaves, how far each has come.

An instance sends heartbeats to a bounded number of peers: the next ones on a
ring of hashed names, which observe it, and some scattered ones, so that news
takes few hops. A heartbeat carries its own [`Info`], and rumours: digests of
others that changed, and suspicions. A silent peer is held to be lost when two
observers suspect it, or one if there is no second observer. Any later beat
clears the suspicion.

Addresses given at the start and the platform's list only say whom to greet;
neither overrules what peers say themselves.
*/

mod info;
mod ring;
mod roster;

pub use info::{Change, GossipItem, Heartbeat, Info, State, Suspicion};
pub use roster::Roster;

/// Most neighbours that get heartbeats.
pub const FANOUT: usize = 8;

/// Of these, the next ones on the ring, which observe this instance; the rest is
/// scattered and changes with each beat.
pub const OBSERVED: usize = 6;

/// Times that an instance tells a rumour, each time to all its neighbours.
const GOSSIP_REPEATS: u32 = 2;

/// Time between heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;

/// Silence after which an observer suspects a peer, in milliseconds.
pub const SUSPECT_MS: u64 = 2_000;

/// Observers that have to suspect a peer.
pub const OBSERVERS: usize = 2;

/// Most rumours in one heartbeat.
pub const MAX_GOSSIP_ITEMS: usize = 24;

/// Pause of this instance after which its view counts as old, in milliseconds.
pub const PAUSE_MS: u64 = 1_000;

/// Time after which a serving instance has all that keepers hand to it, in milliseconds.
pub const ESTABLISHED_MS: u64 = 3_000;

/// Beats by which observers of one peer may differ.
const BEAT_SPREAD: u64 = SUSPECT_MS / HEARTBEAT_MS;

/// Time after which a lost peer is forgotten, in milliseconds.
const FORGET_MS: u64 = 10 * 60 * 1_000;
