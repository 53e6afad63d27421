/*!
The packet path for services whose packets carry a token of the target: it
decides which target gets a client's packet.

A target puts its token into its answers, and the client repeats the token in
every later packet. So each packet after the first names the target that holds
its flow, and any instance can forward it without connection tracking:
[`forwarder::Forwarder`] looks the token up in [`catalog::Catalog`]. Only an opening
packet (the first packet of a flow, like a TCP SYN) needs a decision. It is placed
on a target, refused with a reset, queued until a slot is free, or deferred until
the state that it needs is known.

| module | holds |
|---|---|
| [`revision`] | revisions of the store, and the eras that a restored backup begins |
| [`catalog`] | targets and routes known to this instance, by store revision |
| [`flows`] | flows seen by this instance, and whether they have a request at their target |
| [`habit`] | whether the flows of a route stay open for several requests |
| [`load`] | running and idle flows of each target, own and reported by peers; service times |
| [`budget`] | how much spare capacity each instance may use between reports |
| [`report_interval`] | how often instances report, by the size of the fleet |
| [`cells`] | groups of instances in a large fleet that share some of the targets |
| [`mix`] | recent traffic of each service by class |
| [`pacing`] | when requests on open flows start at a target that is full |
| [`placement`] | choice of a target for a new flow, or refusal |
| [`stall`] | resets of open flows to targets in zones that are cut off |
| [`warm_up`] | limit of the requests that cold targets get from all instances |
| [`ramp`] | ramp-up of targets that have started or recovered, from how they answer |
| [`evacuation`] | availability zones whose targets get no new flows |
| [`outlier`] | ejection of targets that do not answer |
| [`gossip`] | messages between instances and their encoding |
| [`peers`] | liveness of peers, store readers, unreachable zones |
| [`forwarder`] | the packet forwarder of one instance, built from the above |

Flows whose packets carry no token are routed by the tables in [`crate::route`].

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
// No plan is known yet: the caller keeps the packet and tries again later.
assert!(matches!(forwarder.receive(Time(1), &packet), Verdict::Defer(_)));
```
*/

pub mod budget;
pub mod catalog;
pub mod cells;
pub mod evacuation;
pub mod flows;
pub mod forwarder;
pub mod gossip;
pub mod habit;
pub mod load;
pub mod mix;
pub mod outlier;
pub mod pacing;
pub mod peers;
pub mod placement;
pub mod ramp;
pub mod report_interval;
pub mod revision;
pub mod stall;
pub mod warm_up;

use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Error;

/// Identifies a target inside packets. Every instance derives the same token from the
/// target's name.
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

/// Type of a client's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Opens a flow.
    Open {
        /// Number of the retransmission; zero for the first packet.
        copy: u32,
    },
    /// Belongs to an open flow.
    Data {
        /// Whether it carries bytes of a request.
        request: bool,
        /// Sequence number up to which the client has received the target's bytes. It grows
        /// once the target answers.
        acked: u32,
    },
    /// Closes the client's side of a flow.
    Close,
    /// Resets a flow.
    Abort,
}

/// Head of a client's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address that the client connects to.
    pub address: SocketAddrV4,
    /// Type.
    pub kind: Kind,
    /// Token, [`Token::NONE`] if it carries none.
    pub token: Token,
}

/// Entry of one incarnation of a target, as the target registers it in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Name, unique among running targets. A target may keep it over a restart.
    pub name: Arc<str>,
    /// Number that the target expects in front of each packet.
    pub number: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch; zero if unknown.
    pub born_ms: u64,
    /// Service.
    pub service: Arc<str>,
    /// Address that packets are sent to.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is draining and takes no new flows.
    pub leaving: bool,
    /// Warm-up time after its start, in which it serves more slowly, in milliseconds.
    pub warm_up_ms: u64,
    /// Heartbeat counter.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

/// Longest name, service and availability zone of a target, in bytes: the longest key of the
/// store. A record then fits into a datagram between instances.
const MAX_NAME_BYTES: usize = 200;

/// Largest number of slots of a target.
const MAX_SLOTS: u32 = 4_096;

/// Longest warm-up of a target, in milliseconds.
const MAX_WARM_UP_MS: u64 = 3_600_000;

impl Entry {
    /// Checks that packets can be sent to the target. Other programs may write entries too.
    ///
    /// # Errors
    ///
    /// A value is out of range.
    pub fn check(&self) -> Result<(), Error> {
        let texts = [("name", &self.name), ("service", &self.service), ("zone", &self.zone)];
        let too_long = texts.iter().find(|(_, text)| text.len() > MAX_NAME_BYTES);
        let ip = self.address.ip();
        let message = if let Some((field, text)) = too_long {
            format!("{field} has {} bytes, more than {MAX_NAME_BYTES}", text.len())
        } else if self.number == 0 {
            "number is zero, which addresses any target".into()
        } else if self.address.port() == 0 {
            format!("address {} has no port", self.address)
        } else if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
            format!("address {} is not of one host", self.address)
        } else if !(1..=MAX_SLOTS).contains(&self.slots) {
            format!("{} slots, not 1 to {MAX_SLOTS}", self.slots)
        } else if self.warm_up_ms > MAX_WARM_UP_MS {
            format!("warm-up of {} ms, longer than {MAX_WARM_UP_MS} ms", self.warm_up_ms)
        } else {
            return Ok(());
        };
        Err(Error::new("check a target's entry", message))
    }
}

/// Service with the weight that it has among a route's services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct WeightedService {
    /// Service.
    pub service: Arc<str>,
    /// Weight among the route's services.
    pub weight: u32,
}

/// Class of a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Class {
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether clients repeat a request after any failure, as a second run does no harm.
    pub is_idempotent: bool,
}

/// Address that clients connect to, and the services that get its new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Route {
    /// Address that clients connect to.
    pub address: SocketAddrV4,
    /// Services with their weights.
    pub shares: Vec<WeightedService>,
    /// Class of its requests.
    pub class: Class,
}

/// Service of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServicePlan {
    /// Name.
    pub name: Arc<str>,
    /// Time for which a target is cold after its start, in milliseconds; zero if targets are
    /// never cold.
    pub warm_up_ms: u64,
    /// Requests a second that a cold target bears; zero if no limit is stated.
    pub warm_up_per_s: f32,
}

/// Versioned set of routes that was accepted for all instances.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// Version; later plans have greater ones, zero stands for no plan.
    pub version: u64,
    /// Era of the store in which it was read.
    pub era: u32,
    /// Hash of its content as it was written.
    pub digest: u32,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_ms: u64,
}

impl Plan {
    /// Hash of a plan's content as it was written.
    pub fn digest(content: &[u8]) -> u32 {
        crate::hash::bytes(content) as u32
    }

    /// Identity of the plan.
    pub fn id(&self) -> PlanId {
        PlanId { version: self.version, era: self.era, digest: self.digest }
    }
}

/// Identity of a plan. The default one stands for no plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct PlanId {
    /// Version.
    pub version: u64,
    /// Era of the store in which it was read.
    pub era: u32,
    /// Hash of its content, of fixed length as it would take five bytes otherwise.
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
}

impl PlanId {
    /// Whether a plan replaces another one: it has a later version, or the same with other
    /// content in a later era, as the store lost the other one and the version was given out
    /// again. A lower version of a later era comes from a backup and replaces nothing.
    pub fn replaces(self, other: PlanId) -> bool {
        let is_reissued = self.version == other.version && self.digest != other.digest;
        self.version > other.version || (is_reissued && self.era > other.era)
    }
}
