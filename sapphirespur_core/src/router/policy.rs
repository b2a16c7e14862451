//! Tunable limits of a router.

use std::time::Duration;

/// Limits of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterPolicy {
    /// Longest time that a request waits for a permit.
    pub max_wait: Duration,
    /// Most requests of one workspace that wait for one target.
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
