//! Limit on the bytes that the system keeps unsent.

use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Limits the bytes that the system keeps unsent on a connection: further writes are blocked, and wait where
/// the process sees and counts them.
///
/// # Errors
///
/// Returns an error when the system rejects the option.
pub(crate) fn limit_unsent(stream: &TcpStream, bytes: u32) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(bytes)
}
