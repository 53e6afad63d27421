//! Free ports on the loopback interface, below those that the system gives to
//! outgoing connections.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port that is tried.
const FIRST: u32 = 10_000;

/// Number of ports that are tried.
const COUNT: u32 = 20_000;

/// Distance between the first ports of two processes.
const STRIDE: u32 = 389;

/// Ports given out by this process.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Finds ports that are free now. No port is given out twice by one process.
///
/// # Errors
///
/// There are not that many free ports.
pub fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = std::process::id().wrapping_mul(STRIDE);
    let mut found = Vec::new();
    while found.len() < count {
        let turn = GIVEN.fetch_add(1, Ordering::Relaxed);
        if turn >= COUNT {
            return Err(io::Error::other("no free port is left"));
        }
        let port = FIRST + start.wrapping_add(turn) % COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    Ok(found)
}
