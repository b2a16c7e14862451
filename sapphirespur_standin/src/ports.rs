//! Free ports of this machine.

use std::io;
use std::net::TcpListener;

/// Returns `count` ports that were free just now, each once.
///
/// # Errors
///
/// Returns an error when the system has no free port.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;

    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
