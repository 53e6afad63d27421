//! What the tasks of one instance share, on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddrV4,
    rc::Rc,
};

use eyre::{Result, WrapErr};
use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use ragwortlb::{
    relay::forwarder::{self, Forwarder},
    time::Time,
};
use ragwortlb_platform::{ready, settings::Settings};
use rustix::time::{ClockId, clock_gettime};
use socket2::SockRef;
use tokio::{net::UdpSocket, sync::Notify};

use crate::logs;

/// Bytes of packets that wait to be read: what arrives while the process waits for
/// its share of a core.
const RECEIVE_BYTES: usize = 1024 * 1024;

/// Counts of the packet path since the start.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub forwarded: Cell<u64>,
    pub placed: Cell<u64>,
    pub refused_full: Cell<u64>,
    pub refused_dropped: Cell<u64>,
    pub refused_unknown: Cell<u64>,
    pub dropped: Cell<u64>,
    pub parked: Cell<u64>,
    pub malformed: Cell<u64>,
    pub unsent: Cell<u64>,
    pub store_calls: Cell<u64>,
    pub store_failures: Cell<u64>,
    pub news_sent: Cell<u64>,
    pub news_refused: Cell<u64>,
}

/// Adds one to a count.
pub(super) fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Lines a second of one kind: a flood refuses many thousands of flows.
const LINES_PER_S: u64 = 20;

/// Lines that one kind of event may still write in this second.
#[derive(Debug, Default)]
pub(super) struct Lines {
    second: Cell<u64>,
    written: Cell<u64>,
    left_out: Cell<u64>,
}

impl Lines {
    /// Reports whether one more line may be written.
    pub fn take(&self) -> bool {
        let allowed = self.written.get() < LINES_PER_S;
        add(if allowed { &self.written } else { &self.left_out });
        allowed
    }

    /// Starts the next second, and tells how many lines the last one left out.
    pub fn refill(&self, now: Time, kind: &str) {
        let second = now.0 / 1_000;
        if second == self.second.replace(second) {
            return;
        }
        self.written.set(0);
        match self.left_out.replace(0) {
            0 => {}
            count => log::info!(kind, count; "E723 lines were left out"),
        }
    }
}

/// State of one instance.
pub(super) struct Shared {
    pub settings: Settings,
    pub forwarder: RefCell<Forwarder>,
    pub packets: UdpSocket,
    pub gossip: UdpSocket,
    pub counts: Counts,
    pub placements: Lines,
    pub refusals: Lines,
    pub unanswered: Lines,
    pub peers: Lines,
    /// Told when packets that wait can be judged again.
    pub learned: Notify,
}

impl Shared {
    pub async fn new(settings: Settings) -> Result<Rc<Shared>> {
        let packets = bind(settings.packet_address).await?;
        let gossip = bind(SocketAddrV4::new(settings.ip, settings.news_port)).await?;
        let forwarder = Forwarder::new(forwarder::Settings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            seed: rand::random(),
            max_flow_lifetime_ms: settings.max_flow_lifetime_ms,
            ..forwarder::Settings::default()
        });
        let forwarder = RefCell::new(forwarder);
        let counts = Counts::default();
        Ok(Rc::new(Shared {
            settings,
            forwarder,
            packets,
            gossip,
            counts,
            placements: Lines::default(),
            refusals: Lines::default(),
            unanswered: Lines::default(),
            peers: Lines::default(),
            learned: Notify::new(),
        }))
    }

    /// Address of another instance for news.
    pub fn news_address(&self, ip: std::net::Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.news_port)
    }

    /// Logs what the path noted.
    pub fn log_notices(&self) {
        self.placements.refill(now(), "placements");
        self.refusals.refill(now(), "refusals");
        self.peers.refill(now(), "peers");
        self.unanswered.refill(now(), "targets that did not answer");
        let notices = self.forwarder.borrow_mut().take_notices();
        for notice in notices {
            match notice {
                forwarder::Notice::Unanswered { target, failures: strikes, client }
                    if self.unanswered.take() =>
                {
                    log::info!(target:%, client:%, strikes; "E710 a target did not answer");
                }
                forwarder::Notice::Unanswered { .. } => {}
                forwarder::Notice::Paused { gap_ms } => log::warn!(gap_ms; "E711 the instance was paused"),
                forwarder::Notice::TargetChanged { target, state, revision } => {
                    log::info!(target:%, state:?, revision; "E712 a target changed");
                }
            }
        }
    }
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await.wrap_err_with(|| format!("{address} was not bound"))?;
    if let Err(error) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BYTES) {
        log::debug!("{address} keeps its default buffer: {error}");
    }
    Ok(socket)
}

/// Now, on a clock that also counts the time for which the machine was suspended.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    Time(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

impl ready::Instance for Shared {
    fn is_ready(&self) -> bool {
        self.forwarder.borrow().is_ready()
    }

    fn metrics(&self) -> String {
        let mut registry = Registry::with_prefix("ragwortlb");
        for (name, help, value) in self.counters() {
            let counter: Counter = Counter::default();
            counter.inc_by(value);
            registry.register(name, help, counter);
        }
        for (name, help, value) in self.gauges() {
            let gauge: Gauge = Gauge::default();
            gauge.set(value.try_into().unwrap_or(i64::MAX));
            registry.register(name, help, gauge);
        }
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &registry) {
            log::warn!(error:%; "E708 metrics were not written");
        }
        text
    }
}

/// Name, help and value of a metric.
type Metric = (&'static str, &'static str, u64);

impl Shared {
    fn counters(&self) -> [Metric; 14] {
        let counts = &self.counts;
        [
            ("packets_forwarded", "Packets sent to targets", counts.forwarded.get()),
            ("flows_placed", "Opening packets sent to targets", counts.placed.get()),
            ("refused_full", "Flows refused as all slots were busy", counts.refused_full.get()),
            ("refused_dropped", "Flows refused as their route was dropped", counts.refused_dropped.get()),
            ("refused_unknown", "Flows refused without a route or target", counts.refused_unknown.get()),
            ("packets_dropped", "Packets dropped", counts.dropped.get()),
            ("packets_parked", "Packets that waited to be judged", counts.parked.get()),
            ("packets_malformed", "Datagrams that were not packets", counts.malformed.get()),
            ("datagrams_unsent", "Datagrams that the network did not take", counts.unsent.get()),
            ("store_calls", "Calls to the platform's store", counts.store_calls.get()),
            ("store_failures", "Calls to the platform's store that failed", counts.store_failures.get()),
            ("log_lines_left_out", "Log lines that nobody read in time", logs::left_out()),
            ("news_sent", "Messages to peers", counts.news_sent.get()),
            ("news_refused", "Messages of peers that were not valid", counts.news_refused.get()),
        ]
    }

    fn gauges(&self) -> [Metric; 5] {
        let forwarder = self.forwarder.borrow();
        [
            ("revision", "Revision of the store that is known", forwarder.catalog().revision()),
            ("plan_version", "Version of the plan in force", forwarder.catalog().plan().version),
            ("open_flows", "Own flows that count", forwarder.open_flows() as u64),
            ("live_peers", "Peers that are there", forwarder.peers().live(now()).count() as u64),
            ("reader", "One if this instance reads the store", u64::from(forwarder.is_reader(now()))),
        ]
    }
}
