//! Configurable limits of a router.

use std::time::Duration;

/// Queue limits and heartbeat interval of a router, from its settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterPolicy {
    /// Maximum time that a request waits for a permit.
    pub max_wait: Duration,
    /// Maximum number of waiting requests per workspace and target.
    pub max_waiting: usize,
    /// Time between two heartbeats on a link.
    pub heartbeat_interval: Duration,
}

impl Default for RouterPolicy {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(30),
            max_waiting: 2_000,
            heartbeat_interval: Duration::from_secs(1),
        }
    }
}
