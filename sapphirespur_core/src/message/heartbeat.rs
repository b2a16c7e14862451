//! Heartbeats between linked processes.

use crate::limiter::Phase;
use crate::name::Name;

/// State of a sidecar and its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarState {
    /// Upstream that the sidecar serves.
    pub upstream: Name,
    /// Whether the upstream is cold or warm.
    pub phase: Phase,
    /// Current limit of concurrent requests to the upstream.
    pub limit: u32,
    /// Number of requests that the upstream can accept now.
    pub free: u32,
    /// Whether the sidecar accepts new work.
    pub serving: bool,
}

/// State of the sender, by its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// The sender is a router.
    Router {
        /// Sequence number of the last demand message on this link.
        demand_sequence: u64,
        /// Whether the router is shutting down.
        draining: bool,
    },
    /// The sender is a sidecar.
    Sidecar(SidecarState),
}

/// Periodic liveness message, which also carries the sender's revision and state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// State of the sending router or sidecar.
    pub state: NodeState,
}
