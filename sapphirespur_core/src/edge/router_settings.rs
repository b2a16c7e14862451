//! Settings of an edge router's decisions.

use std::time::Duration;

use crate::edge::{RetryLimits, RolloutSettings};
use crate::name::Name;

/// Settings of a router and the fleet-wide limits that it enforces.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the router, unique in the fleet.
    pub name: Name,
    /// Data centre of the router; upstreams there are preferred.
    pub data_centre: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Fleet-wide limits of retries, applied to each service.
    pub retries: RetryLimits,
    /// Factor on the request rate that a cold upstream sustains.
    pub cold_overshoot: f64,
    /// Requests allowed in addition to the rate that a cold upstream sustains, for the whole fleet.
    pub cold_allowance: f64,
    /// Window over which the usage of workspaces is compared with their shares.
    pub share_window: Duration,
    /// Whether placement and shares count the expected work of each request, and the work that is left
    /// at each upstream.
    pub uses_work_estimates: bool,
    /// Bounds of roll-outs; none where there are no roll-outs.
    pub rollouts: Option<RolloutSettings>,
}
