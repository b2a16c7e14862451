//! Settings of roll-outs.

use std::time::Duration;

/// Bounds within which versions are rolled out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Largest part of a service's requests that a bad version may get.
    pub share: f64,
    /// Requests that a bad version may get in addition.
    pub allowance: f64,
    /// Time after the 50th bad response within which a bad version must get no more requests.
    pub rollback: Duration,
}
