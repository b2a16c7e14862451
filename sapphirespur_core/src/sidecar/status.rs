//! State of a sidecar as operators see it.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Sidecar as it sees itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SidecarSelfStatus {
    /// Upstream beside the sidecar.
    pub upstream: Name,
    /// Revision in force.
    pub revision: u64,
    /// Whether the sidecar takes new work.
    pub serving: bool,
    /// Whether the sidecar is shutting down.
    pub draining: bool,
    /// Phase of the upstream, `cold` or `warm`.
    pub phase: String,
    /// Requests that the upstream bears at once now.
    pub limit: u32,
    /// Attempts under way.
    pub attempts: usize,
    /// Permits that routers hold.
    pub permits: usize,
    /// Linked routers.
    pub routers: Vec<Name>,
}
