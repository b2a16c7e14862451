//! Settings of the decisions of a router.

use std::time::Duration;

use crate::edge::RetryLimits;
use crate::name::Name;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the router.
    pub name: Name,
    /// Data centre of the router.
    pub data_centre: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Limits of repeats over the fleet.
    pub retries: RetryLimits,
    /// Factor on what a cold upstream bears.
    pub cold_overshoot: f64,
    /// Requests beside what a cold upstream bears.
    pub cold_allowance: f64,
    /// Window over which workspaces share what the upstreams give.
    pub share_window: Duration,
}
