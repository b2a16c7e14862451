//! Loopback addresses for the processes and servers of a test.

use std::net::Ipv4Addr;
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Addresses of a process in each network of 256.
const ADDRESSES_PER_NET: u16 = 250;

/// Returns a loopback address that this process has not returned before.
///
/// The system gives the port of a server that was killed to the next one that asks for any port of the
/// same address. With addresses of their own, tests that run at the same time cannot take each other's
/// ports.
pub fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(0);

    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let octet = |n: u16| u8::try_from(n % ADDRESSES_PER_NET).unwrap_or_default();
    // Test programs may run at the same time too, so the process picks the second octet.
    let process = u16::try_from(process::id() % u32::from(ADDRESSES_PER_NET)).unwrap_or_default();
    Ipv4Addr::new(127, octet(process) + 1, octet(index / ADDRESSES_PER_NET), octet(index) + 1)
}
