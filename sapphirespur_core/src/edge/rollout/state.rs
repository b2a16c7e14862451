//! What the operator reads of a roll-out.

use serde::{Deserialize, Serialize};

/// State of a roll-out as the operator reads it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutState {
    /// The roll-out is running.
    Serving,
    /// The target serves alone; the old upstreams may stop.
    Completed,
    /// The target is withdrawn; its upstreams may stop.
    Reverted,
}

impl RolloutState {
    /// Returns the name under which the state is published.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}
