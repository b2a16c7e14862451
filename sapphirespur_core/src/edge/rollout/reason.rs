//! Reasons why roll-outs end.

use serde::{Deserialize, Serialize};

/// Reason why a roll-out was reverted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReason {
    /// It was not reverted.
    None,
    /// The target failed or was slow.
    Bad,
    /// There was no good verdict by the deadline.
    Deadline,
    /// The order was deleted.
    Withdrawn,
    /// The order was replaced by one with another target.
    Replaced,
    /// The target has no upstreams.
    NoUpstream,
    /// The service is not configured and has no upstreams.
    UnknownService,
    /// The duration is too short for a verdict.
    TooShort,
}

impl RolloutReason {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Bad => "bad",
            Self::Deadline => "deadline",
            Self::Withdrawn => "withdrawn",
            Self::Replaced => "replaced",
            Self::NoUpstream => "no-upstream",
            Self::UnknownService => "unknown-service",
            Self::TooShort => "too-short",
        }
    }
}
