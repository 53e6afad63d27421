/*!
One instance: its tables, and the systems that run over them.

A [`Node`] takes typed events with the time at which they came and returns typed
actions. It opens no socket and reads no clock, so the same events give the same
actions. The daemon is one shell around it; a test or another program can be
another.

| system | does |
|---|---|
| `routing` | finds the target of packets and of flows' requests, asks keepers |
| `admitting` | gives waiting requests slots, lends and borrows them |
| `running` | turns answers into outcomes, retries and slots given back |
| `recording` | claims and keeps records of requests that are not idempotent |
| `changing` | leads from one set of tables to the next |
| `configuring` | judges offered revisions and relays them |
| `membership` | heartbeats, joining and leaving |

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
mod admitting;
mod changing;
mod collector;
mod configuring;
mod event;
mod inputs;
mod job;
mod membership;
mod peer_query;
mod recording;
mod routing;
mod running;
mod service;
mod settings;
mod status;

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
use configuring::Incoming;
use inputs::Inputs;
use job::Job;
use peer_query::PeerQuery;
use service::Service;
use status::Counts;

/// Versions of the inputs that are remembered for peers that lag.
const HISTORY: usize = 16;

/// Time between runs of the slow systems, in milliseconds.
const SLOW_MS: u64 = 1_000;

/// Time between sweeps over all flows, in milliseconds.
const SWEEP_MS: u64 = 60_000;

/// One instance.
pub struct Node {
    settings: Settings,
    now: Time,
    started: Option<Time>,
    next_slow: Time,
    next_sweep: Time,
    rng: Pcg64Mcg,
    out: Vec<Action>,

    roster: Roster,
    candidates: Vec<Candidate>,
    seen_epoch: u64,
    older_candidates: Vec<(Time, Vec<Candidate>)>,
    lineage: Lineage,
    bundle: Option<Bundle>,
    incoming: Option<Incoming>,
    content: HashMap<Digest, Vec<u8>>,

    announced: Inputs,
    inputs: Inputs,
    history: VecDeque<Inputs>,
    tracker: Tracker,
    collector: Collector,
    lagging: BTreeSet<Arc<str>>,
    is_behind: bool,
    unended: Option<Version>,
    missed: Option<Version>,
    draining: Option<Time>,
    next_snapshot: Time,
    next_handover: Time,
    handover_acked: bool,

    services: Vec<Service>,
    by_address: HashMap<SocketAddr, usize>,
    by_id: HashMap<ServiceId, usize>,
    jobs: HashMap<Ticket, Job>,
    queries: BTreeMap<u32, PeerQuery>,
    last_query_id: u32,
    records: Records,
    answers: Answers,
    limiter: Limiter,
    budget: Budget,
    counts: Counts,
}

impl Node {
    /// Instance that has yet to join the others.
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
            next_slow: Time::default(),
            next_sweep: Time::default(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            out: Vec::new(),
            roster: Roster::new(own, settings.peers.iter().copied()),
            candidates: Vec::new(),
            seen_epoch: 0,
            older_candidates: Vec::new(),
            lineage: Lineage::default(),
            bundle: None,
            incoming: None,
            content: HashMap::new(),
            announced: Inputs::default(),
            inputs: Inputs::default(),
            history: VecDeque::new(),
            tracker: Tracker::default(),
            collector: Collector::default(),
            lagging: BTreeSet::new(),
            is_behind: false,
            unended: None,
            missed: None,
            draining: None,
            next_snapshot: Time::default(),
            next_handover: Time::default(),
            handover_acked: false,
            services: Vec::new(),
            by_address: HashMap::new(),
            by_id: HashMap::new(),
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

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started.get_or_insert(now);
        self.roster.detect_pause(self.now);
        match event {
            Event::Tick => self.tick(),
            Event::Packet(packet) => self.take_packet(packet),
            Event::Request(request) => self.take_request(request),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Answer { ticket, run, answer } => self.take_answer(ticket, run, answer),
            Event::Frame(frame) => self.take_frame(frame),
            Event::Accepted(bundle) => self.offer(bundle),
            Event::Instances(addresses) => self.roster.add_seeds(addresses),
            Event::TargetLeaving { service, target, leaving } => {
                self.mark_leaving(&service, &target, leaving)
            }
            Event::Drain => self.drain(),
        }
        std::mem::take(&mut self.out)
    }

    /// Reports whether the instance takes packets.
    pub fn is_serving(&self) -> bool {
        self.roster.own().state == member::State::Serving
    }

    /// What the instance does.
    pub fn state(&self) -> member::State {
        self.roster.own().state
    }

    /// Accepted revision that is known.
    pub fn revision(&self) -> u64 {
        self.lineage.revision()
    }

    /// Version of the inputs of tables that is known.
    pub fn version(&self) -> Version {
        self.announced.version()
    }

    /// Name of the service at an address.
    pub fn service_name(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.by_address.get(&address).map(|index| self.services[*index].name.clone())
    }

    /// Reports whether the instance is one of the readers that watch the store.
    pub fn is_reader(&self) -> bool {
        self.own_rank_in_zone() < self.settings.readers_per_zone
    }

    /// Runs the systems that depend on time alone.
    fn tick(&mut self) {
        self.tick_membership();
        self.change();
        self.expire_queries();
        self.expire_jobs();
        self.admit_all();
        if self.now >= self.next_slow {
            self.next_slow = self.now + SLOW_MS;
            self.expire_state();
        }
        if self.now >= self.next_sweep {
            self.next_sweep = self.now + SWEEP_MS;
            self.sweep_flows();
        }
    }

    fn take_frame(&mut self, frame: Frame) {
        let sender = frame.sender;
        if sender == self.settings.name {
            return;
        }
        for message in frame.messages {
            self.take_message(&sender, message);
        }
    }

    fn take_message(&mut self, sender: &Arc<str>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(heartbeat),
            Message::GetHead => self.give_head(sender),
            Message::Head(head, manifest) => self.take_head(sender, head, manifest),
            Message::GetFiles(digests) => self.give_files(sender, &digests),
            Message::Files(files) => self.take_files(sender, files),
            Message::Targets(states) => self.merge_states(states),
            Message::Register(query_id, flow, target) => self.keep_for(sender, query_id, flow, target),
            Message::RegisterReply(query_id, target) => self.take_registered(sender, query_id, target),
            Message::LookupFlow(query_id, flow) => self.look_up_for(sender, query_id, flow),
            Message::LookupReply(query_id, target, is_held) => {
                self.take_found(sender, query_id, target, is_held)
            }
            Message::TransferExceptions(flows) => self.take_over(flows),
            Message::FilterPart(round, pinned) => self.take_part(sender, round, pinned),
            Message::FilterUnion(round, pinned) => self.take_union(sender, round, pinned),
            Message::Handover(pinned) => self.accept_handover(sender, &pinned),
            Message::HandoverAck => self.handover_acked = true,
            Message::GetSnapshot => self.give_snapshot(sender),
            Message::Snapshot(snapshot) => self.take_snapshot(snapshot),
            Message::Claim(query_id, id, is_first) => self.judge_claim(sender, query_id, id, is_first),
            Message::ClaimReply(query_id, claimed) => self.take_claimed(sender, query_id, claimed),
            Message::Replicate(query_id, id, holder) => self.hold_copy(sender, query_id, id, holder),
            Message::Replicated(query_id, held) => self.take_copied(sender, query_id, held),
            Message::Finish(id, claim, completion) => self.take_finish(sender, id, claim, completion),
            Message::TransferRecord(id, holder, completion) => self.take_ended(id, &holder, completion),
            Message::GetOutcome(id) => self.give_outcome(sender, id),
            Message::Outcome(id, outcome) => self.end_joined(id, &outcome),
            Message::RequestSlot(query_id, service, target, left_ms) => {
                self.take_ask(sender, query_id, service, target, left_ms);
            }
            Message::SlotLeased(query_id, service, target) => {
                self.take_grant(sender, query_id, service, target)
            }
            Message::ReleaseSlot(query_id) => self.end_lease(sender, query_id),
            Message::SlotDenied(query_id) => self.take_denial(query_id),
        }
    }

    /// Sends a message to a peer, if its address is known.
    fn send(&mut self, peer: &str, message: Message) {
        if let Some(to) = self.roster.address(peer) {
            self.out.push(Action::Send { to, message });
        }
    }

    fn notice(&mut self, notice: Notice) {
        self.out.push(Action::Notice(notice));
    }
}
