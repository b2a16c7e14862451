//! Heartbeats between linked processes.

use crate::limiter::Phase;
use crate::name::Name;

/// State of a sidecar and its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarState {
    /// Upstream beside the sidecar.
    pub upstream: Name,
    /// Phase of the upstream.
    pub phase: Phase,
    /// Requests that the upstream bears at once now.
    pub limit: u32,
    /// Requests that it could take now.
    pub free: u32,
    /// Whether the sidecar takes new work.
    pub serving: bool,
}

/// State of the sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// Router.
    Router {
        /// Number of the last demand message on this link.
        demand_sequence: u64,
        /// Whether the router is shutting down.
        draining: bool,
    },
    /// Sidecar.
    Sidecar(SidecarState),
}

/// Sign of life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// State of the sender.
    pub state: NodeState,
}
