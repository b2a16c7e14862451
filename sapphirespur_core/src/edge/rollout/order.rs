//! Order of an operator to move a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Order to move the traffic of a service to upstreams of a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Name,
    /// Version that is to serve.
    pub target: Name,
    /// Time within which the roll-out should end.
    pub duration: Duration,
    /// Revision of the order's item.
    pub revision: u64,
}

impl RolloutOrder {
    /// Shortest duration of an order: a verdict takes some seconds of canary traffic.
    pub const MIN_DURATION: Duration = Duration::from_secs(4);

    /// Returns whether both orders ask for the same.
    pub fn is_same_content(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}
