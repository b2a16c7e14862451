//! Roll-outs as reported to operators.

use sapphirespur_core::edge::RolloutSummary;
use serde::{Deserialize, Serialize};

/// Roll-out of a service as one router sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutStatus {
    /// Service whose traffic is moved.
    pub service: String,
    /// Version to which it is moved.
    pub target: String,
    /// Phase: `canary`, `shifting`, `completed` or `reverted`; absent before there is a record.
    pub phase: Option<String>,
    /// State that the operator reads in the store; absent before there is a record.
    pub state: Option<String>,
    /// Reason for being reverted; `none` when it was not.
    pub reason: String,
    /// Verdict of this router: `open`, `good` or `bad`.
    pub verdict: String,
    /// Router that wrote the record; absent before there is one.
    pub leader: Option<String>,
    /// Time since the roll-out began, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that this router has sent to the target.
    pub own_sent: u32,
    /// Requests that all routers have sent to the target.
    pub sent: u32,
    /// Responses of the target that were judged, over all routers.
    pub answered: u32,
    /// Bad responses among them.
    pub bad: u32,
    /// Responses of old versions that were judged, over all routers.
    pub old_answered: u32,
    /// Bad responses among them.
    pub old_bad: u32,
    /// Requests that are running at old versions, over all routers.
    pub old_in_flight: u32,
}

impl RolloutStatus {
    /// Creates the status from a router's summary.
    pub(super) fn new(summary: &RolloutSummary) -> Self {
        Self {
            service: summary.service.to_string(),
            target: summary.target.to_string(),
            phase: summary.phase.map(|phase| phase.as_str().to_owned()),
            state: summary.phase.map(|phase| phase.state().as_str().to_owned()),
            reason: summary.reason.as_str().to_owned(),
            verdict: summary.verdict.as_str().to_owned(),
            leader: summary.leader.as_ref().map(ToString::to_string),
            elapsed_ms: summary.elapsed.as_millis() as u64,
            own_sent: summary.own_sent,
            sent: summary.sent,
            answered: summary.answered,
            bad: summary.bad,
            old_answered: summary.old_answered,
            old_bad: summary.old_bad,
            old_in_flight: summary.old_in_flight,
        }
    }
}
