//! Settings of one instance.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

/// What an instance is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name, unique among instances.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for peers.
    pub address: SocketAddr,
    /// Addresses of some peers.
    pub peers: Vec<SocketAddr>,
    /// Start of this life; greater for later lives.
    pub incarnation: u64,
    /// Seed of random choices.
    pub seed: u64,
    /// Most flows held for one service.
    pub max_flows: usize,
    /// Most requests inside the instance.
    pub max_requests: usize,
    /// Most packets that wait for a keeper's answer.
    pub max_waiting: usize,
    /// Wait for a keeper's answer, in milliseconds.
    pub ask_ms: u64,
    /// Instances in each availability zone that watch the store.
    pub readers_per_zone: usize,
    /// Shortest stay of a leaving instance, so that the fabric can stop, in milliseconds.
    pub leave_ms: u64,
    /// Longest stay of a leaving instance for the sake of a change, in milliseconds.
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
