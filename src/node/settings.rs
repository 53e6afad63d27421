//! Settings of one instance.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

/// Settings that an instance gets at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name, unique among all instances.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for peers.
    pub address: SocketAddr,
    /// Addresses of some peers, for the first contact.
    pub peers: Vec<SocketAddr>,
    /// Start time of the process; greater after each restart.
    pub incarnation: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of tracked flows of one service.
    pub max_flows: usize,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
    /// Number of packets and requests in progress from which a packet that would have
    /// to wait for replicas is dropped instead.
    pub max_waiting: usize,
    /// Time to wait for the replies of a flow's replicas, in milliseconds.
    pub ask_ms: u64,
    /// Store readers in each availability zone.
    pub readers_per_zone: usize,
    /// Minimum time between the start of draining and the stop, in which the network
    /// fabric stops sending packets, in milliseconds.
    pub leave_ms: u64,
    /// Maximum time that draining waits for a table change and for the handover, in
    /// milliseconds.
    pub hand_over_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "instance".into(),
            zone: "zone".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
            peers: Vec::new(),
            incarnation: 1,
            seed: 1,
            max_flows: 1_000_000,
            max_requests: 4_096,
            max_waiting: 8_192,
            ask_ms: 100,
            readers_per_zone: 2,
            leave_ms: 1_000,
            hand_over_ms: 40_000,
        }
    }
}
