//! Registry entry of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// State that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// Registry entry that an upstream publishes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Identity of the upstream's process instance.
    pub id: Name,
    /// Service that the upstream runs.
    pub service: Name,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Version of its software. What two versions generate does not fit together.
    pub version: Name,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// Time for which it stays cold, counted from when the entry was written.
    pub cold: Duration,
    /// Start of the process, in milliseconds since the Unix epoch; none when not published.
    pub started_ms: Option<u64>,
    /// Number of the entry since the start of the process; none when not published.
    pub sequence: Option<u64>,
}

impl UpstreamEntry {
    /// Returns whether both entries belong to the same process instance of the same upstream.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms && self.address == other.address
    }

    /// Returns whether this entry was certainly written before `other` by the same process instance.
    pub fn precedes(&self, other: &Self) -> bool {
        self.sequence.zip(other.sequence).is_some_and(|(own, others)| own < others)
    }

    /// Returns whether this entry is of a process that started after that of `other`.
    pub fn started_after(&self, other: &Self) -> bool {
        self.started_ms.zip(other.started_ms).is_some_and(|(own, others)| own > others)
    }
}
