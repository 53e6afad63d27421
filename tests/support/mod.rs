/*!
Simulated network of nodes, for tests that need several instances.

The network delays messages and can cut connections; instances can be killed or
frozen. The *fabric* is the part of the platform's network that spreads packets
over the instances. A run depends only on the seed.
*/

#![allow(dead_code)]

pub mod known_red;
pub mod targets;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use ragwortlb::{
    config::{
        File, Folder,
        revision::{Bundle, Head, Manifest},
    },
    member::State,
    node::{Action, Event, Node, Packet, Settings, Ticket},
    time::Time,
    wire::{Frame, Message},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between ticks, in milliseconds.
pub const TICK_MS: u64 = 20;

/// One-way delay between two instances, in milliseconds.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=20;

/// Address of the only service.
pub fn service() -> SocketAddr {
    "10.1.0.1:7000".parse().unwrap()
}

/// Address of a target by its number.
pub fn target(number: usize) -> SocketAddr {
    format!("10.2.0.{}:9000", number + 1).parse().unwrap()
}

/// Folder with one service; the targets in `leaving` drain.
pub fn folder(targets: &BTreeSet<usize>, leaving: &BTreeSet<usize>) -> Folder {
    folder_with(targets, leaving, "")
}

/// The same folder, with more members of the service in JSON.
pub fn folder_with(targets: &BTreeSet<usize>, leaving: &BTreeSet<usize>, more: &str) -> Folder {
    let target = |number: &usize| {
        let (address, leaves) = (target(*number), leaving.contains(number));
        format!(r#""m{number}": {{"address": "{address}", "zone": "pa", "slots": 3, "leaving": {leaves}}}"#)
    };
    let targets: Vec<String> = targets.iter().map(target).collect();
    let text = format!(
        r#"{{"title": "t", "author": "a", "reason": "r", "services": {{"booking":
        {{"address": "{}", {more} "targets": {{{}}}}}}}}}"#,
        service(),
        targets.join(", ")
    );
    Folder::new(vec![File::new("a.jsonc", text.into_bytes())])
}

/// Node, and its state in the simulated network.
pub struct Instance {
    pub node: Node,
    pub name: Arc<str>,
    pub zone: usize,
    pub address: SocketAddr,
    pub alive: bool,
    pub frozen: bool,
    pub in_fabric: bool,
    pub sent_bytes: u64,
    pub revision: u64,
}

enum Due {
    Deliver { from: usize, to: usize, message: Message },
    Offer { to: usize, bundle: Bundle },
    Fabric { of: usize, present: bool },
}

/// Packet on its way through an instance.
#[derive(Clone, Copy)]
struct Sent {
    flow: u64,
    first: bool,
}

/// Counters of packets and flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub opened: u64,
    pub packets: u64,
    pub broken: u64,
    pub dropped: u64,
    pub misdelivered: u64,
    pub to_draining: u64,
}

/// Simulated network of nodes.
pub struct Net {
    pub now: u64,
    pub instances: Vec<Instance>,
    pub rng: Pcg64Mcg,
    pub tally: Tally,
    pub flows: BTreeMap<u64, Option<SocketAddr>>,
    pub head: Option<Head>,
    pub outcomes: HashMap<Ticket, ragwortlb::wire::Outcome>,
    pub runs: Vec<(usize, Action)>,
    pub notices: Vec<(u64, usize, String)>,
    pub broken_details: Vec<String>,
    pub flow_zones: HashMap<u64, usize>,
    opened_at: HashMap<u64, (u64, usize)>,
    leaving_since: BTreeMap<SocketAddr, u64>,
    sent: HashMap<Ticket, Sent>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: HashMap<u64, Due>,
    order: u64,
    tickets: u64,
    next_flow: u64,
    cuts: BTreeSet<(usize, usize)>,
    bundle: Option<Bundle>,
    max_store_delay_ms: u64,
}

impl Net {
    /// Network without instances.
    pub fn new(seed: u64) -> Net {
        Net {
            now: 0,
            instances: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            tally: Tally::default(),
            flows: BTreeMap::new(),
            head: None,
            outcomes: HashMap::new(),
            runs: Vec::new(),
            notices: Vec::new(),
            broken_details: Vec::new(),
            flow_zones: HashMap::new(),
            opened_at: HashMap::new(),
            leaving_since: BTreeMap::new(),
            sent: HashMap::new(),
            due: BinaryHeap::new(),
            scheduled: HashMap::new(),
            order: 0,
            tickets: 0,
            next_flow: 0,
            cuts: BTreeSet::new(),
            bundle: None,
            max_store_delay_ms: 2_000,
        }
    }

    /// Sets the longest delay of an accepted revision from the store to an instance, in
    /// milliseconds.
    pub fn set_max_store_delay(&mut self, max_store_delay_ms: u64) {
        self.max_store_delay_ms = max_store_delay_ms;
    }

    /// Starts an instance. Returns its index.
    pub fn start(&mut self, zone: usize) -> usize {
        let index = self.instances.len();
        let address: SocketAddr = format!("10.9.{}.{}:7400", index / 200, index % 200 + 1).parse().unwrap();
        let alive = self.instances.iter().filter(|instance| instance.alive);
        let settings = Settings {
            name: format!("i{index}").into(),
            zone: format!("z{zone}").into(),
            address,
            peers: alive.map(|instance| instance.address).collect(),
            incarnation: self.now + 1,
            seed: self.rng.random(),
            max_flows: 100_000,
            ..Settings::default()
        };
        let name = settings.name.clone();
        let node = Node::new(settings);
        self.instances.push(Instance {
            node,
            name,
            zone,
            address,
            alive: true,
            frozen: false,
            in_fabric: true,
            sent_bytes: 0,
            revision: 0,
        });
        if let Some(bundle) = self.bundle.clone() {
            let at = self.now + self.rng.random_range(1..=self.max_store_delay_ms);
            self.schedule(at, Due::Offer { to: index, bundle });
        }
        index
    }

    /// Starts some instances in each of some zones, accepts a folder, and waits until all serve.
    pub fn start_all(&mut self, zones: usize, per_zone: usize, folder: &Folder) {
        for index in 0..zones * per_zone {
            self.start(index % zones);
        }
        self.accept(folder);
        self.advance(6_000);
        assert!(self.live().iter().all(|index| self.instances[*index].node.is_serving()));
    }

    /// Accepts a folder. Each instance gets it after a random delay.
    pub fn accept(&mut self, folder: &Folder) {
        let digest = Manifest::of(folder).digest();
        let revision = self.head.as_ref().map_or(1, |head| head.revision + 1);
        let head = Head::after(self.head.as_ref(), digest, format!("change-{revision}"));
        self.head = Some(head.clone());
        let bundle = Bundle::new(head, folder.clone()).unwrap();
        self.bundle = Some(bundle.clone());
        for to in self.live() {
            let at = self.now + self.rng.random_range(1..=self.max_store_delay_ms);
            self.schedule(at, Due::Offer { to, bundle: bundle.clone() });
        }
    }

    /// Accepts a folder that only the instances of some zones get from the store.
    pub fn accept_in(&mut self, folder: &Folder, zones: &[usize]) {
        let before = self.due.len();
        self.accept(folder);
        assert!(self.due.len() > before);
        let instances = &self.instances;
        self.scheduled.retain(|_, due| match due {
            Due::Offer { to, .. } => zones.contains(&instances[*to].zone),
            _ => true,
        });
    }

    /// Delivers a bundle to one instance now.
    pub fn offer(&mut self, to: usize, bundle: Bundle) {
        self.schedule(self.now, Due::Offer { to, bundle });
    }

    /// Bundle that was accepted last.
    pub fn bundle(&self) -> Bundle {
        self.bundle.clone().unwrap()
    }

    /// Sets which targets drain, to count new flows that still reach them.
    pub fn expect_draining(&mut self, targets: &BTreeSet<usize>) {
        let addresses: BTreeSet<SocketAddr> = targets.iter().map(|number| target(*number)).collect();
        self.leaving_since.retain(|address, _| addresses.contains(address));
        for address in addresses {
            self.leaving_since.entry(address).or_insert(self.now);
        }
    }

    /// Indices of running instances.
    pub fn live(&self) -> Vec<usize> {
        (0..self.instances.len()).filter(|index| self.instances[*index].alive).collect()
    }

    /// Kills an instance and takes it out of the fabric.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].alive = false;
        self.instances[index].in_fabric = false;
        self.scheduled.retain(|_, due| !matches!(due, Due::Deliver { to, .. } if *to == index));
    }

    /// Drains an instance; the fabric stops sending to it a little later.
    pub fn drain(&mut self, index: usize) {
        self.handle(index, Event::Drain);
        let at = self.now + 300;
        self.schedule(at, Due::Fabric { of: index, present: false });
    }

    /// Freezes an instance and takes it out of the fabric, or resumes it.
    pub fn freeze(&mut self, index: usize, frozen: bool) {
        self.instances[index].frozen = frozen;
        self.instances[index].in_fabric = !frozen;
    }

    /// Cuts one direction between two instances.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Cuts a zone off from all others, in both directions.
    pub fn cut_zone(&mut self, zone: usize) {
        for a in 0..self.instances.len() {
            for b in 0..self.instances.len() {
                if (self.instances[a].zone == zone) != (self.instances[b].zone == zone) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Advances the time and delivers what is due.
    pub fn advance(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 1;
            self.deliver_due();
            if self.now.is_multiple_of(TICK_MS) {
                for index in self.live() {
                    self.handle(index, Event::Tick);
                }
            }
        }
    }

    /// Instances to which the fabric sends, in one zone or in all.
    pub fn fabric(&self, zone: Option<usize>) -> Vec<usize> {
        let in_fabric = |index: &usize| {
            let instance = &self.instances[*index];
            let serves = matches!(instance.node.state(), State::Serving | State::Leaving);
            instance.alive && instance.in_fabric && serves && zone.is_none_or(|zone| zone == instance.zone)
        };
        (0..self.instances.len()).filter(in_fabric).collect()
    }

    /// Opens a flow at a random instance. Returns its key.
    pub fn open_flow(&mut self, zone: Option<usize>) -> Option<u64> {
        self.next_flow += 1;
        let flow = ragwortlb::route::flow::key_hash(&self.next_flow.to_le_bytes());
        self.flows.insert(flow, None);
        self.packet(flow, true, zone).then_some(flow)
    }

    /// Sends a later packet of a flow to a random instance.
    pub fn send_later(&mut self, flow: u64, zone: Option<usize>) -> bool {
        if self.flows.get(&flow).copied().flatten().is_none() {
            return false;
        }
        self.packet(flow, false, zone)
    }

    /// Unused ticket.
    pub fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    fn packet(&mut self, flow: u64, first: bool, zone: Option<usize>) -> bool {
        let fabric = self.fabric(zone);
        if fabric.is_empty() {
            return false;
        }
        let index = fabric[self.rng.random_range(0..fabric.len())];
        let ticket = self.ticket();
        self.sent.insert(ticket, Sent { flow, first });
        self.tally.packets += 1;
        let packet = Packet { ticket, address: service(), flow, first, last: false };
        self.handle(index, Event::Packet(packet));
        true
    }

    /// Gives an instance an event and carries out its actions. Checks that its
    /// revision does not decrease.
    pub fn handle(&mut self, index: usize, event: Event) {
        if self.instances[index].frozen || !self.instances[index].alive {
            return;
        }
        let actions = self.instances[index].node.handle(event, Time(self.now));
        for action in actions {
            self.act(index, action);
        }
        let revision = self.instances[index].node.revision();
        assert!(revision >= self.instances[index].revision, "the revision decreased");
        self.instances[index].revision = revision;
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Forward { ticket, target } => self.record_forward(index, ticket, target),
            Action::Drop { ticket } => {
                self.sent.remove(&ticket);
                self.tally.dropped += 1;
            }
            Action::Send { to, message } => self.transmit(index, to, message),
            Action::Reply { ticket, outcome } => {
                assert!(self.outcomes.insert(ticket, outcome).is_none(), "two outcomes for {ticket:?}");
            }
            Action::Notice(notice) => self.notices.push((self.now, index, notice.to_string())),
            Action::Stopped => {
                self.instances[index].in_fabric = false;
                let at = self.now + 100;
                self.schedule(at, Due::Fabric { of: index, present: false });
            }
            action @ (Action::Run { .. } | Action::Abort { .. }) => self.runs.push((index, action)),
        }
    }

    fn record_forward(&mut self, index: usize, ticket: Ticket, target: SocketAddr) {
        const LEAVING_MS: u64 = 2_000;
        let Some(sent) = self.sent.remove(&ticket) else {
            return;
        };
        if target.port() != 9000 {
            self.tally.misdelivered += 1;
        }
        let known = self.flows.entry(sent.flow).or_default();
        match known {
            None => {
                *known = Some(target);
                self.opened_at.insert(sent.flow, (self.now, index));
                self.tally.opened += 1;
                let since = self.leaving_since.get(&target);
                if since.is_some_and(|since| {
                    self.now.saturating_sub(*since) > LEAVING_MS + self.max_store_delay_ms
                }) {
                    self.tally.to_draining += 1;
                }
            }
            Some(first) if *first != target && !sent.first => {
                self.tally.broken += 1;
                self.broken_details.push(format!(
                    "at {} instance {index} sent flow {:x} (slot {}) to {target}, not {first}; opened {:?}",
                    self.now,
                    sent.flow,
                    sent.flow % 4096,
                    self.opened_at.get(&sent.flow)
                ));
                *known = None;
                self.flows.remove(&sent.flow);
            }
            Some(_) => {}
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, message: Message) {
        const FRAME_BYTES: u64 = 8;
        self.instances[from].sent_bytes += message.bytes() as u64 + FRAME_BYTES;
        let Some(to) = self.instances.iter().position(|instance| instance.address == to) else {
            return;
        };
        let at = self.now + self.rng.random_range(DELAY_MS);
        self.schedule(at, Due::Deliver { from, to, message });
    }

    fn schedule(&mut self, at: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order)));
        self.scheduled.insert(self.order, due);
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse((at, order))) = self.due.peek().copied() {
            if at > self.now {
                return;
            }
            self.due.pop();
            let Some(due) = self.scheduled.remove(&order) else {
                continue;
            };
            match due {
                Due::Deliver { from, to, message } => {
                    if self.cuts.contains(&(from, to)) {
                        continue;
                    }
                    let sender = self.instances[from].name.clone();
                    let frame = Frame { sender, messages: vec![message] };
                    self.handle(to, Event::Frame(frame));
                }
                Due::Offer { to, bundle } => self.handle(to, Event::Accepted(bundle)),
                Due::Fabric { of, present } => {
                    self.instances[of].in_fabric = present;
                    if self.instances[of].node.state() == State::Left {
                        self.instances[of].alive = false;
                    }
                }
            }
        }
    }
}
