/*!
State machine of one instance.

A [`Node`] takes typed events, each with its time of arrival, and returns typed
actions. It opens no socket and reads no clock, so the same events always give
the same actions. A host program carries the actions out: the daemon, a test, or
any program that embeds the library.

`Node` holds all state. Each private module adds the methods of one task:

| module | task |
|---|---|
| `routing` | finds the target of a flow, asks its replicas if necessary |
| `admission` | assigns concurrency slots to queued requests, leases slots between instances |
| `execution` | runs requests on targets, retries them, reports outcomes |
| `request_records` | ensures that a request that is not idempotent runs at most once |
| `table_change` | moves from one set of routing tables to the next |
| `config_sync` | adopts configuration revisions and copies them between instances |
| `membership` | heartbeats, joining, draining |

# Example

```
use ragwortlb::node::{Event, Node, Settings};
use ragwortlb::time::Time;

let settings = Settings { name: "pa-1".into(), zone: "pa".into(), ..Settings::default() };
let mut node = Node::new(settings);
let actions = node.handle(Event::Tick, Time(0));
assert!(actions.is_empty());
assert!(!node.is_serving());
```
*/

mod action;
mod admission;
mod collector;
mod config_sync;
mod event;
mod execution;
mod inputs;
mod job;
mod membership;
mod peer_query;
mod request_records;
mod routing;
mod service;
mod settings;
mod status;
mod table_change;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use action::{Action, Notice};
pub use event::{Answer, Event, Packet, Request, Ticket};
pub use settings::Settings;
pub use status::{ServiceStatus, Status};

use crate::{
    admit::limiter::Limiter,
    config::revision::{Bundle, Digest, Lineage},
    member::{self, Roster},
    retry::{
        budget::Budget,
        record::{Answers, Records},
    },
    route::{
        change::{Tracker, Version},
        replica::Candidate,
    },
    time::Time,
    wire::{Frame, Message, ServiceId},
};
use collector::Collector;
use config_sync::RevisionFetch;
use inputs::Inputs;
use job::Job;
use peer_query::PeerQuery;
use service::Service;
use status::Counts;

/// Earlier table inputs that are retained, to compute the tables of peers that lag behind.
const MAX_INPUT_HISTORY: usize = 16;

/// Interval at which expired records and drained targets are dropped, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1_000;

/// Interval at which idle flows are dropped, in milliseconds.
const FLOW_SWEEP_INTERVAL_MS: u64 = 60_000;

/// State of one instance.
pub struct Node {
    settings: Settings,
    /// Time of the latest event; never goes back.
    now: Time,
    /// Time of the first event.
    started: Option<Time>,
    next_housekeeping: Time,
    next_flow_sweep: Time,
    rng: Pcg64Mcg,
    /// Actions to return for the event in progress.
    actions: Vec<Action>,

    roster: Roster,
    /// Instances from which replicas are chosen.
    candidates: Vec<Candidate>,
    /// Epoch of the roster from which `candidates` was computed.
    roster_epoch: u64,
    /// Earlier candidates, with the time at which they were replaced.
    former_candidates: Vec<(Time, Vec<Candidate>)>,
    lineage: Lineage,
    /// Adopted revision with its documents.
    bundle: Option<Bundle>,
    /// Revision that is being fetched from a peer.
    fetch: Option<RevisionFetch>,
    /// Documents of the adopted and the fetched revision.
    content: HashMap<Digest, Vec<u8>>,

    /// Latest known inputs of the tables, the next to take effect.
    announced: Inputs,
    /// Inputs of the effective tables.
    inputs: Inputs,
    /// Inputs of earlier tables, latest first.
    input_history: VecDeque<Inputs>,
    tracker: Tracker,
    collector: Collector,
    /// Peers that still route by an older version.
    lagging_peers: BTreeSet<Arc<str>>,
    /// Whether a peer routes by a later configuration revision.
    is_behind: bool,
    /// Change that the next one overtook before it was settled here.
    unfinished_change: Option<Version>,
    /// Unfinished change that peers have settled; its filters are missing here.
    missed_change: Option<Version>,
    draining_since: Option<Time>,
    /// Earliest time of the next request for a snapshot.
    next_snapshot: Time,
    /// Earliest time at which an unacknowledged handover is sent again.
    next_handover: Time,
    handover_acked: bool,

    services: Vec<Service>,
    service_by_address: HashMap<SocketAddr, usize>,
    service_by_id: HashMap<ServiceId, usize>,
    /// Packets and requests in progress.
    jobs: HashMap<Ticket, Job>,
    /// Queries to peers that await replies, by id.
    queries: BTreeMap<u32, PeerQuery>,
    last_query_id: u32,
    /// Request records that this instance stores as a replica.
    records: Records,
    /// Answers of requests that this instance ran.
    answers: Answers,
    limiter: Limiter,
    budget: Budget,
    counts: Counts,
}

impl Node {
    /// Creates a node that has not joined its peers yet.
    pub fn new(settings: Settings) -> Node {
        let own = member::Info {
            name: settings.name.clone(),
            address: settings.address,
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            heartbeat_seq: 0,
            state: member::State::Joining,
            revision: 0,
            progress: Default::default(),
        };
        Node {
            now: Time::default(),
            started: None,
            next_housekeeping: Time::default(),
            next_flow_sweep: Time::default(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            actions: Vec::new(),
            roster: Roster::new(own, settings.peers.iter().copied()),
            candidates: Vec::new(),
            roster_epoch: 0,
            former_candidates: Vec::new(),
            lineage: Lineage::default(),
            bundle: None,
            fetch: None,
            content: HashMap::new(),
            announced: Inputs::default(),
            inputs: Inputs::default(),
            input_history: VecDeque::new(),
            tracker: Tracker::default(),
            collector: Collector::default(),
            lagging_peers: BTreeSet::new(),
            is_behind: false,
            unfinished_change: None,
            missed_change: None,
            draining_since: None,
            next_snapshot: Time::default(),
            next_handover: Time::default(),
            handover_acked: false,
            services: Vec::new(),
            service_by_address: HashMap::new(),
            service_by_id: HashMap::new(),
            jobs: HashMap::new(),
            queries: BTreeMap::new(),
            last_query_id: 0,
            records: Records::default(),
            answers: Answers::default(),
            limiter: Limiter::new(settings.max_requests),
            budget: Budget::default(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Handles an event and returns the actions for the host program.
    ///
    /// Time never goes back: an earlier `now` counts as the latest one.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started.get_or_insert(now);
        self.roster.detect_pause(self.now);
        match event {
            Event::Tick => self.tick(),
            Event::Packet(packet) => self.handle_packet(packet),
            Event::Request(request) => self.handle_request(request),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Answer { ticket, run, answer } => self.handle_answer(ticket, run, answer),
            Event::Frame(frame) => self.handle_frame(frame),
            Event::Accepted(bundle) => self.offer_revision(bundle),
            Event::Instances(addresses) => self.roster.add_seeds(addresses),
            Event::TargetLeaving { service, target, leaving } => {
                self.set_target_leaving(&service, &target, leaving)
            }
            Event::Drain => self.drain(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Reports whether the instance is in state [`member::State::Serving`].
    pub fn is_serving(&self) -> bool {
        self.roster.own().state == member::State::Serving
    }

    /// Membership state of the instance.
    pub fn state(&self) -> member::State {
        self.roster.own().state
    }

    /// Number of the adopted configuration revision; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.lineage.revision()
    }

    /// Version of the latest known table inputs, which may not be effective yet.
    pub fn version(&self) -> Version {
        self.announced.version()
    }

    /// Name of the service at an address.
    pub fn service_name(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.service_by_address.get(&address).map(|index| self.services[*index].name.clone())
    }

    /// Reports whether the instance is a store reader: one of the instances of its
    /// availability zone that watch the store for the others.
    pub fn is_reader(&self) -> bool {
        self.own_rank_in_zone() < self.settings.readers_per_zone
    }

    /// Does what depends on time alone.
    fn tick(&mut self) {
        self.tick_membership();
        self.tick_table_change();
        self.expire_queries();
        self.expire_jobs();
        self.admit_all();
        if self.now >= self.next_housekeeping {
            self.next_housekeeping = self.now + HOUSEKEEPING_INTERVAL_MS;
            self.expire_state();
        }
        if self.now >= self.next_flow_sweep {
            self.next_flow_sweep = self.now + FLOW_SWEEP_INTERVAL_MS;
            self.sweep_flows();
        }
    }

    fn handle_frame(&mut self, frame: Frame) {
        let sender = frame.sender;
        if sender == self.settings.name {
            return;
        }
        for message in frame.messages {
            self.handle_message(&sender, message);
        }
    }

    fn handle_message(&mut self, sender: &Arc<str>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(heartbeat),
            Message::GetHead => self.send_head(sender),
            Message::Head(head, manifest) => self.handle_head(sender, head, manifest),
            Message::GetFiles(digests) => self.send_files(sender, &digests),
            Message::Files(files) => self.handle_files(sender, files),
            Message::Targets(states) => self.merge_states(states),
            Message::Register(query_id, flow, target) => self.handle_register(sender, query_id, flow, target),
            Message::RegisterReply(query_id, target) => self.handle_register_reply(sender, query_id, target),
            Message::LookupFlow(query_id, flow) => self.handle_lookup(sender, query_id, flow),
            Message::LookupReply(query_id, target, is_known) => {
                self.handle_lookup_reply(sender, query_id, target, is_known)
            }
            Message::TransferExceptions(flows) => self.accept_exceptions(flows),
            Message::FilterPart(round, pinned) => self.handle_filter_part(sender, round, pinned),
            Message::FilterUnion(round, pinned) => self.handle_filter_union(sender, round, pinned),
            Message::Handover(pinned) => self.accept_handover(sender, &pinned),
            Message::HandoverAck => self.handover_acked = true,
            Message::GetSnapshot => self.send_snapshot(sender),
            Message::Snapshot(snapshot) => self.apply_snapshot(snapshot),
            Message::Claim(query_id, id, is_first) => self.decide_claim(sender, query_id, id, is_first),
            Message::ClaimReply(query_id, reply) => self.handle_claim_reply(sender, query_id, reply),
            Message::Replicate(query_id, id, holder) => self.handle_replicate(sender, query_id, id, holder),
            Message::Replicated(query_id, is_stored) => self.handle_replicated(sender, query_id, is_stored),
            Message::Finish(id, claim, completion) => self.handle_finish(sender, id, claim, completion),
            Message::TransferRecord(id, holder, completion) => {
                self.handle_transfer_record(id, &holder, completion)
            }
            Message::GetOutcome(id) => self.send_outcome(sender, id),
            Message::Outcome(id, outcome) => self.finish_joined(id, &outcome),
            Message::RequestSlot(query_id, service, target, left_ms) => {
                self.handle_slot_request(sender, query_id, service, target, left_ms);
            }
            Message::SlotLeased(query_id, service, target) => {
                self.handle_slot_lease(sender, query_id, service, target)
            }
            Message::ReleaseSlot(query_id) => self.end_lease(sender, query_id),
            Message::SlotDenied(query_id) => self.handle_slot_denial(query_id),
        }
    }

    /// Sends a message to a peer; drops it if the address of the peer is unknown.
    fn send(&mut self, peer: &str, message: Message) {
        if let Some(to) = self.roster.address(peer) {
            self.actions.push(Action::Send { to, message });
        }
    }

    fn notice(&mut self, notice: Notice) {
        self.actions.push(Action::Notice(notice));
    }
}
