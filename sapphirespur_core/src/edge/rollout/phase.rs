//! Phases of a roll-out.

use serde::{Deserialize, Serialize};

use crate::edge::RolloutState;

/// Phase of a roll-out. Within an order, phases only move forward.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutPhase {
    /// The target gets a small part of the requests.
    Canary,
    /// The target gets the new requests, and those at old versions end.
    Shifting,
    /// Only the target serves.
    Completed,
    /// The target is withdrawn.
    Reverted,
}

impl RolloutPhase {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Shifting => "shifting",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }

    /// Returns whether no other phase follows.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }

    /// Returns what the operator reads of the phase.
    pub fn state(self) -> RolloutState {
        match self {
            Self::Canary | Self::Shifting => RolloutState::Serving,
            Self::Completed => RolloutState::Completed,
            Self::Reverted => RolloutState::Reverted,
        }
    }

    /// Returns the place in the order of phases, by which records of one order are compared.
    pub(super) fn rank(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Shifting => 1,
            Self::Completed => 2,
            Self::Reverted => 3,
        }
    }
}
