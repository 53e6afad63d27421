/*!
The packet path where targets echo a token: which target a client's packet goes
to, decided by any instance alike.

A target puts the token that it was reached by into its answers, and the client
repeats it, so every packet after the first names the target that holds its
flow. [`forwarder::Forwarder`] forwards such packets by a look-up in [`catalog::Catalog`]
and keeps no state for them. Only an opening packet needs a decision: it is
placed on a target, refused, or left unanswered.

| module | holds |
|---|---|
| [`catalog`] | targets and routes as they are known here, in revision order |
| [`flows`] | flows that this instance placed, until they end or expire |
| [`load`] | open flows of each target: own ones and those that peers report |
| [`budget`] | how much of the room each instance may fill |
| [`report_interval`] | how often instances report, by the size of the fleet |
| [`cells`] | parts of a large fleet that share a part of the targets |
| [`mix`] | which classes of requests arrive now |
| [`place`] | where a new flow goes, or why it is refused |
| [`outlier`] | targets that do not answer |
| [`gossip`] | what instances tell each other, and its bytes |
| [`peers`] | the other instances, who reads the store, which zones are cut off |
| [`forwarder`] | all of it for one instance |

The tables for planes without a token are in [`crate::route`].

# Example

```
use std::net::{Ipv4Addr, SocketAddrV4};
use ragwortlb::{relay::{Kind, Packet, Token, forwarder::{Forwarder, Settings, Verdict}}, time::Time};

let mut forwarder = Forwarder::new(Settings::default());
let packet = Packet {
    client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001),
    address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    kind: Kind::Open { copy: 0 },
    token: Token::NONE,
};
// Nothing is known yet: the caller keeps the packet and asks again.
assert!(matches!(forwarder.receive(Time(1), &packet), Verdict::Defer(_)));
```
*/

pub mod budget;
pub mod catalog;
pub mod cells;
pub mod flows;
pub mod forwarder;
pub mod gossip;
pub mod load;
pub mod mix;
pub mod outlier;
pub mod peers;
pub mod place;
pub mod report_interval;

use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

/// Name of a target inside packets; every instance derives the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
pub struct Token(pub u32);

impl Token {
    /// Token of a packet that names no target.
    pub const NONE: Token = Token(0);

    /// Token of a target's name.
    pub fn of(name: &str) -> Token {
        let hash = crate::hash::name(name);
        Token((hash as u32).max(1))
    }
}

/// What a client's packet is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Opens a flow.
    Open {
        /// Earlier copies of this packet that the client has sent.
        copy: u32,
    },
    /// Belongs to an open flow.
    Data {
        /// Whether it carries bytes of a request.
        request: bool,
    },
    /// Ends the client's side of a flow.
    Close,
    /// Breaks a flow off.
    Abort,
}

/// Client's packet, without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Client's end.
    pub client: SocketAddrV4,
    /// Address that the client called.
    pub address: SocketAddrV4,
    /// What it is for.
    pub kind: Kind,
    /// Token that it carries.
    pub token: Token,
}

/// Life of a target, as the target itself reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Name, unique among lives; a target that starts again may keep it.
    pub name: Arc<str>,
    /// Number that the target expects in front of each packet.
    pub number: u64,
    /// Start of this life, in milliseconds since the Unix epoch; zero if not given.
    pub born_ms: u64,
    /// Service.
    pub service: Arc<str>,
    /// Address for packets.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it stays slow after its start, in milliseconds.
    pub warm_up_ms: u64,
    /// Count of its reports.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// Part of a route's new flows that go to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WeightedService {
    /// Service.
    pub service: Arc<str>,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// What the requests of a route are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Class {
    /// Urgency; zero is the most urgent.
    pub priority: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// Address that clients call, and where its new flows go.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Address that clients call.
    pub address: SocketAddrV4,
    /// Services, with weights.
    pub shares: Vec<WeightedService>,
    /// What its requests are like.
    pub class: Class,
}

/// Accepted routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// Version; greater for later ones, zero if none is known.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_ms: u64,
}
