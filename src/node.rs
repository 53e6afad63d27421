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
| `meeting` | heartbeats, joining and leaving |

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
mod meeting;
mod question;
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
    admit::gate::Gate,
    config::revision::{Bundle, Digest, Lineage},
    member::{self, Roster},
    retry::{
        budget::Budget,
        record::{Answers, Records},
    },
    route::{
        change::{Tracker, Version},
        keeper::Candidate,
    },
    time::Time,
    wire::{Frame, Message, ServiceId},
};
use collector::Collector;
use configuring::Incoming;
use inputs::Inputs;
use job::Job;
use question::Question;
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

    told: Inputs,
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
    next_heritage: Time,
    heir_holds: bool,

    services: Vec<Service>,
    by_address: HashMap<SocketAddr, usize>,
    by_id: HashMap<ServiceId, usize>,
    jobs: HashMap<Ticket, Job>,
    questions: BTreeMap<u32, Question>,
    last_question: u32,
    records: Records,
    answers: Answers,
    gate: Gate,
    budget: Budget,
    counts: Counts,
}

impl Node {
    /// Instance that has yet to join the others.
    pub fn new(settings: Settings) -> Node {
        let own = member::Digest {
            name: settings.name.clone(),
            address: settings.address,
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
            beat: 0,
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
            told: Inputs::default(),
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
            next_heritage: Time::default(),
            heir_holds: false,
            services: Vec::new(),
            by_address: HashMap::new(),
            by_id: HashMap::new(),
            jobs: HashMap::new(),
            questions: BTreeMap::new(),
            last_question: 0,
            records: Records::default(),
            answers: Answers::default(),
            gate: Gate::new(settings.max_requests),
            budget: Budget::default(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started.get_or_insert(now);
        self.roster.notice_pause(self.now);
        match event {
            Event::Tick => self.tick(),
            Event::Packet(packet) => self.take_packet(packet),
            Event::Request(request) => self.take_request(request),
            Event::Cancel(ticket) => self.cancel(ticket),
            Event::Answer { ticket, run, answer } => self.take_answer(ticket, run, answer),
            Event::Frame(frame) => self.take_frame(frame),
            Event::Accepted(bundle) => self.offer(bundle),
            Event::Instances(addresses) => self.roster.greet(addresses),
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
        self.told.version()
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
        self.meet();
        self.change();
        self.expire_questions();
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
            Message::Heartbeat(heartbeat) => self.hear(heartbeat),
            Message::WantHead => self.give_head(sender),
            Message::Head(head, manifest) => self.take_head(sender, head, manifest),
            Message::WantFiles(digests) => self.give_files(sender, &digests),
            Message::Files(files) => self.take_files(sender, files),
            Message::Targets(states) => self.merge_states(states),
            Message::Register(question, flow, target) => self.keep_for(sender, question, flow, target),
            Message::Registered(question, target) => self.take_registered(sender, question, target),
            Message::Query(question, flow) => self.look_up_for(sender, question, flow),
            Message::Found(question, target, is_held) => self.take_found(sender, question, target, is_held),
            Message::Keep(flows) => self.take_over(flows),
            Message::Part(round, old) => self.take_part(sender, round, old),
            Message::Union(round, old) => self.take_union(sender, round, old),
            Message::Heritage(old) => self.inherit(sender, &old),
            Message::Inherited => self.heir_holds = true,
            Message::WantSnapshot => self.give_snapshot(sender),
            Message::Snapshot(snapshot) => self.take_snapshot(snapshot),
            Message::Claim(question, id, is_first) => self.judge_claim(sender, question, id, is_first),
            Message::Claimed(question, claimed) => self.take_claimed(sender, question, claimed),
            Message::Copy(question, id, holder) => self.hold_copy(sender, question, id, holder),
            Message::Copied(question, held) => self.take_copied(sender, question, held),
            Message::Finish(id, claim, ending) => self.take_finish(sender, id, claim, ending),
            Message::Ended(id, holder, ending) => self.take_ended(id, &holder, ending),
            Message::WantOutcome(id) => self.give_outcome(sender, id),
            Message::Outcome(id, outcome) => self.end_joined(id, &outcome),
            Message::AskSlot(question, service, target, left_ms) => {
                self.take_ask(sender, question, service, target, left_ms);
            }
            Message::Grant(question, service, target) => self.take_grant(sender, question, service, target),
            Message::Release(question) => self.end_loan(sender, question),
            Message::Deny(question) => self.take_denial(question),
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
