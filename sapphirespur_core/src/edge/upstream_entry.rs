//! Entry by which an upstream makes itself known.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// State of an upstream in its own words.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
}

/// Entry of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Name of this start of the upstream.
    pub id: Name,
    /// Service that it runs.
    pub service: Name,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: UpstreamState,
    /// Time for which it stays cold, from when the entry was written.
    pub cold: Duration,
    /// Start of the upstream, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
}
