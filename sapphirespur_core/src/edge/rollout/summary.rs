//! Roll-out as this router sees it, for the status and the metrics.

use std::time::Duration;

use crate::edge::{RolloutPhase, RolloutReason, RolloutVerdict};
use crate::name::Name;

/// Roll-out of one service as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSummary {
    /// Name of the service.
    pub service: Name,
    /// Version that is rolled out.
    pub target: Name,
    /// Phase of the record; none before there is one.
    pub phase: Option<RolloutPhase>,
    /// Reason for being reverted.
    pub reason: RolloutReason,
    /// Verdict of this router.
    pub verdict: RolloutVerdict,
    /// Leader that wrote the record; none before there is one.
    pub leader: Option<Name>,
    /// Time since the roll-out began.
    pub elapsed: Duration,
    /// Requests that this router has sent to the target.
    pub own_sent: u32,
    /// Requests that the fleet has sent to the target.
    pub sent: u32,
    /// Responses of the target that were judged, over the fleet.
    pub answered: u32,
    /// Bad responses among them.
    pub bad: u32,
    /// Responses of old versions that were judged, over the fleet.
    pub old_answered: u32,
    /// Bad responses among them.
    pub old_bad: u32,
    /// Requests of the fleet that are running at old versions.
    pub old_in_flight: u32,
}
