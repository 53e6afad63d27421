/*!
Finds free ports on the loopback interface.

The ports lie below the range that the operating system assigns to outgoing
connections. Each process starts its search at a different port, so that tests that
run in parallel rarely compete for the same one.
*/

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port of the range.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// Distance between the starting ports of processes with consecutive ids.
const PROCESS_STRIDE: u32 = 389;

/// Number of ports that this process has tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Finds `count` ports that are currently free. A process never gets the same port
/// twice.
///
/// # Errors
///
/// The range has not enough free ports.
pub fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    let mut found = Vec::new();
    while found.len() < count {
        let offset = TRIED.fetch_add(1, Ordering::Relaxed);
        if offset >= PORT_COUNT {
            return Err(io::Error::other("no free port left in the range"));
        }
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    Ok(found)
}
