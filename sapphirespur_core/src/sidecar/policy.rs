//! Report and heartbeat settings of a sidecar.

use std::time::Duration;

/// Report and heartbeat settings of a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SidecarPolicy {
    /// Time between two service reports to the home routers of the workspaces' accounts.
    pub report_interval: Duration,
    /// Time between two heartbeats on a link.
    pub heartbeat_interval: Duration,
    /// Whether the upstream sends load reports.
    pub has_load_reports: bool,
}

impl Default for SidecarPolicy {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_secs(1),
            has_load_reports: false,
        }
    }
}
