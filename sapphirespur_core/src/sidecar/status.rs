//! Status of a sidecar for operators.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Status of a sidecar, as reported by the sidecar itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SidecarSelfStatus {
    /// Name of the sidecar's upstream.
    pub upstream: Name,
    /// Configuration revision in force; zero before the first one.
    pub revision: u64,
    /// Whether the sidecar accepts new work.
    pub serving: bool,
    /// Whether the sidecar is shutting down.
    pub draining: bool,
    /// Phase of the upstream, `cold` or `warm`.
    pub phase: String,
    /// Current concurrency limit of the upstream, in requests; zero during a pause.
    pub limit: u32,
    /// Number of running attempts.
    pub attempts: usize,
    /// Number of permits that routers hold.
    pub permits: usize,
    /// Names of the linked routers, in ascending order.
    pub routers: Vec<Name>,
}
