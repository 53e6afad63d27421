//! Free ports on the loopback interface.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

/// Finds ports that are free now.
///
/// # Errors
///
/// The system has no free port.
pub fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
