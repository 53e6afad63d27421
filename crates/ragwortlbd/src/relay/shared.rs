//! State that the tasks of the instance share on their one thread: the forwarder, the
//! sockets, counters, and rate limits of log lines. Metrics and readiness come from here.

use std::{
    cell::{Cell, RefCell},
    net::{SocketAddrV4, UdpSocket as StdUdpSocket},
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

/// Receive buffer of a socket, in bytes: what arrives while the process is not scheduled.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// Counters of the packet path since the start.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub forwarded: Cell<u64>,
    pub placed: Cell<u64>,
    pub refused_full: Cell<u64>,
    pub refused_dropped: Cell<u64>,
    pub refused_unknown: Cell<u64>,
    pub flows_reset: Cell<u64>,
    pub dropped: Cell<u64>,
    pub deferred: Cell<u64>,
    pub paced: Cell<u64>,
    pub expired: Cell<u64>,
    pub malformed: Cell<u64>,
    pub unsent: Cell<u64>,
    pub store_calls: Cell<u64>,
    pub store_failures: Cell<u64>,
    pub gossip_sent: Cell<u64>,
    pub gossip_rejected: Cell<u64>,
}

pub(super) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Log lines of one kind in a second. A flood refuses many thousands of flows a second.
const MAX_LINES_PER_S: u64 = 20;

/// Rate limit of the log lines of one kind.
#[derive(Debug, Default)]
pub(super) struct LineLimiter {
    second: Cell<u64>,
    written: Cell<u64>,
    suppressed: Cell<u64>,
}

impl LineLimiter {
    /// Returns whether one more line may be written in this second.
    pub fn accept(&self) -> bool {
        let allowed = self.written.get() < MAX_LINES_PER_S;
        increment(if allowed { &self.written } else { &self.suppressed });
        allowed
    }

    /// Starts a new second if it is time, and logs how many lines the last one suppressed.
    pub fn start_second(&self, now: Time, kind: &str) {
        let second = now.0 / 1_000;
        if second == self.second.replace(second) {
            return;
        }
        self.written.set(0);
        match self.suppressed.replace(0) {
            0 => {}
            count => log::info!(kind, count; "E723 log lines suppressed by the rate limit"),
        }
    }
}

/// State of one instance. The seven limiters are for lines about placed flows, refused
/// flows, requests that waited, unanswered opening packets, ramps, peers and malformed values.
pub(super) struct Shared {
    pub settings: Settings,
    pub forwarder: RefCell<Forwarder>,
    pub packets: UdpSocket,
    /// Not registered with the runtime: it is read at ticks and before placements, so that
    /// reports do not wake the process.
    pub gossip: StdUdpSocket,
    /// When the gossip was last read.
    pub gossip_read_at: Cell<Time>,
    pub counts: Counters,
    pub placements: LineLimiter,
    pub refusals: LineLimiter,
    pub waits: LineLimiter,
    pub unanswered: LineLimiter,
    pub ramps: LineLimiter,
    pub peers: LineLimiter,
    pub malformed_values: LineLimiter,
    /// Notified when the catalog has changed, so that deferred and queued packets are decided
    /// again.
    pub state_changed: Notify,
    /// Notified when a packet was deferred or queued.
    pub packet_deferred: Notify,
    /// Notified when the store has returned from a backup, which may have lost the entry of
    /// this instance.
    pub era_began: Notify,
}

impl Shared {
    pub async fn new(settings: Settings) -> Result<Rc<Shared>> {
        let packets = bind(settings.packet_address).await?;
        let gossip = bind_unregistered(SocketAddrV4::new(settings.ip, settings.gossip_port))?;
        let forwarder = Forwarder::new(forwarder::Settings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            seed: rand::random(),
            warm_up: settings.warm_up,
            max_flow_lifetime_ms: settings.max_flow_lifetime_ms,
            ..forwarder::Settings::default()
        });
        let forwarder = RefCell::new(forwarder);
        let counts = Counters::default();
        Ok(Rc::new(Shared {
            settings,
            forwarder,
            packets,
            gossip,
            gossip_read_at: Cell::new(Time(0)),
            counts,
            placements: LineLimiter::default(),
            refusals: LineLimiter::default(),
            waits: LineLimiter::default(),
            unanswered: LineLimiter::default(),
            ramps: LineLimiter::default(),
            peers: LineLimiter::default(),
            malformed_values: LineLimiter::default(),
            state_changed: Notify::new(),
            packet_deferred: Notify::new(),
            era_began: Notify::new(),
        }))
    }

    /// Address at which another instance receives gossip.
    pub fn gossip_address(&self, ip: std::net::Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings.gossip_port)
    }

    /// Logs the notices of the forwarder.
    pub fn log_notices(&self) {
        self.placements.start_second(now(), "placements");
        self.refusals.start_second(now(), "refusals");
        self.waits.start_second(now(), "requests that waited");
        self.peers.start_second(now(), "peers");
        self.malformed_values.start_second(now(), "malformed values");
        self.unanswered.start_second(now(), "targets that did not answer");
        self.ramps.start_second(now(), "ramps of targets");
        let notices = self.forwarder.borrow_mut().take_notices();
        for notice in notices {
            match notice {
                forwarder::Notice::Unanswered { target, failures: strikes, client }
                    if self.unanswered.accept() =>
                {
                    log::info!(target:%, client:%, strikes; "E710 a target did not answer an opening packet");
                }
                forwarder::Notice::Unanswered { .. } => {}
                forwarder::Notice::Paused { gap_ms } => {
                    log::warn!(gap_ms; "E711 the process was paused; counts of open flows start again at zero")
                }
                forwarder::Notice::TargetChanged { target, state, revision } => {
                    log::info!(target:%, state:?, revision:%; "E712 the state of a target changed");
                }
                forwarder::Notice::EvacuationChanged { zone, is_active: true, revision } => {
                    log::warn!(zone:%, revision:%; "E713 zone evacuated; its targets get no new flows");
                }
                forwarder::Notice::EvacuationChanged { zone, is_active: false, revision } => {
                    log::warn!(zone:%, revision:%; "E714 evacuation of a zone ended; its targets get new flows");
                }
                forwarder::Notice::ServiceEvacuated { service, is_evacuated: true } => {
                    log::error!(service:%; "E715 all targets of a service are in evacuated zones; its flows are refused");
                }
                forwarder::Notice::ServiceEvacuated { service, is_evacuated: false } => {
                    log::info!(service:%; "E715 a service has targets outside evacuated zones again");
                }
                forwarder::Notice::RampStarted { target } if self.ramps.accept() => {
                    log::info!(target:%; "E717 ramp-up of a target started; it gets few requests at a time");
                }
                forwarder::Notice::RampEnded { target, duration_ms } if self.ramps.accept() => {
                    log::info!(target:%, duration_ms; "E717 ramp-up of a target ended; it keeps up at all its slots");
                }
                forwarder::Notice::RampStarted { .. } | forwarder::Notice::RampEnded { .. } => {}
                forwarder::Notice::EraBegan { era, revision } => {
                    log::warn!(era, revision:%; "E716 the store has returned from a backup; what it lost stays in effect");
                    self.era_began.notify_one();
                }
            }
        }
    }
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await.wrap_err_with(|| format!("cannot bind {address}"))?;
    enlarge_buffer(SockRef::from(&socket), address);
    Ok(socket)
}

/// Binds a socket that the caller reads itself, without waiting for data.
fn bind_unregistered(address: SocketAddrV4) -> Result<StdUdpSocket> {
    let socket = StdUdpSocket::bind(address).wrap_err_with(|| format!("cannot bind {address}"))?;
    socket.set_nonblocking(true).wrap_err("cannot make a socket non-blocking")?;
    enlarge_buffer(SockRef::from(&socket), address);
    Ok(socket)
}

fn enlarge_buffer(socket: SockRef<'_>, address: SocketAddrV4) {
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("cannot enlarge the receive buffer of {address}: {error}");
    }
}

/// Current time of the boot clock, which goes on while the machine is suspended, so that
/// a suspension shows as a pause.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    Time(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

impl ready::Status for Shared {
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
            log::warn!(error:%; "E708 cannot encode metrics");
        }
        text
    }
}

/// Name, help and value of a metric.
type Metric = (&'static str, &'static str, u64);

impl Shared {
    fn counters(&self) -> [Metric; 17] {
        let counts = &self.counts;
        [
            ("packets_forwarded", "Packets sent to targets", counts.forwarded.get()),
            ("flows_placed", "Opening packets sent to targets", counts.placed.get()),
            ("refused_full", "Flows refused as no target had spare capacity", counts.refused_full.get()),
            (
                "refused_dropped",
                "Flows refused as the plan no longer has their route",
                counts.refused_dropped.get(),
            ),
            (
                "refused_unknown",
                "Flows refused as they had no route or no target",
                counts.refused_unknown.get(),
            ),
            (
                "flows_reset",
                "Open flows reset as their target is in a partitioned zone",
                counts.flows_reset.get(),
            ),
            ("packets_dropped", "Packets dropped", counts.dropped.get()),
            ("packets_parked", "Packets that were deferred or queued", counts.deferred.get()),
            ("requests_paced", "Requests on open flows that waited for their target", counts.paced.get()),
            ("requests_expired", "Requests on open flows dropped at the timeout", counts.expired.get()),
            ("packets_malformed", "Datagrams that were not valid packets", counts.malformed.get()),
            ("datagrams_unsent", "Datagrams dropped as they could not be sent", counts.unsent.get()),
            ("store_calls", "Calls to the platform's store", counts.store_calls.get()),
            ("store_failures", "Calls to the platform's store that failed", counts.store_failures.get()),
            (
                "log_lines_left_out",
                "Log lines dropped as standard output was not read",
                logs::dropped_lines(),
            ),
            ("news_sent", "Gossip datagrams sent to peers", counts.gossip_sent.get()),
            ("news_refused", "Gossip datagrams rejected as not valid", counts.gossip_rejected.get()),
        ]
    }

    fn gauges(&self) -> [Metric; 8] {
        let forwarder = self.forwarder.borrow();
        [
            (
                "revision",
                "Revision of the store up to which this instance is complete",
                forwarder.catalog().revision().number,
            ),
            ("era", "Era of the store, zero if it names none", forwarder.catalog().revision().era.into()),
            (
                "evacuated_zones",
                "Availability zones whose targets get no new flows",
                forwarder.catalog().evacuations().iter().filter(|known| known.is_active).count() as u64,
            ),
            (
                "ramping_targets",
                "Targets that have started or recovered and do not get their full share yet",
                forwarder.ramping_targets() as u64,
            ),
            ("plan_version", "Version of the plan in effect", forwarder.catalog().plan().version),
            ("open_flows", "Flows that this instance has seen recently", forwarder.open_flows() as u64),
            ("live_peers", "Live peers", forwarder.peers().live(now()).count() as u64),
            (
                "reader",
                "One if this instance is the store reader of its zone",
                u64::from(forwarder.is_reader(now())),
            ),
        ]
    }
}
