//! Address and identity of a router.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a router is reached, and where it runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// Hash of the router's name.
    pub router: u64,
    /// Address of its exchange and of its snapshots.
    pub address: SocketAddr,
    /// Hash of the name of its data centre.
    pub data_centre: u32,
}

/// Router that the sender of a message knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardContact {
    /// The router.
    pub contact: Contact,
    /// Time since it was last heard, in milliseconds.
    pub age_ms: u32,
}

impl HeardContact {
    /// Returns the time since the router was last heard.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}
