//! Inputs of a sidecar.

use crate::at_most_once::{LedgerError, LedgerResult, RecordedResponse};
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Repeatability};

/// Attempt that a router starts with a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptStart {
    /// Attempt.
    pub attempt: AttemptId,
    /// Permit that it spends.
    pub permit: u64,
    /// Expected cost in cost units.
    pub cost: u64,
    /// Whether and how the call may be repeated.
    pub repeatability: Repeatability,
    /// Wall-clock time, in seconds since the Unix epoch.
    pub wall_s: u64,
}

/// Way in which a call to the upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFailure {
    /// No connection could be opened, so the call was not sent.
    NotSent,
    /// The upstream refused the call as overloaded.
    Overloaded,
    /// The call was sent and its answer did not come whole.
    Incomplete,
}

/// What happened to a call to the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamEvent {
    /// Tokens came.
    Tokens(u32),
    /// The whole answer came.
    Finished {
        /// Cost that the upstream tells, in tokens.
        cost: Option<u64>,
        /// Answer to keep for repeats, when it is small enough.
        response: Option<RecordedResponse>,
    },
    /// The call failed.
    Failed(UpstreamFailure),
}

/// Input of a sidecar.
#[derive(Clone, Debug)]
pub enum SidecarInput {
    /// The time of the next deadline has come.
    Tick,
    /// A router opened a link.
    LinkUp {
        /// Router at the other end.
        peer: Name,
    },
    /// A link ended.
    LinkDown {
        /// Router at the other end.
        peer: Name,
    },
    /// A message came.
    Message {
        /// Sender.
        from: Name,
        /// Message.
        message: Message,
    },
    /// A router starts an attempt.
    Start(AttemptStart),
    /// A router asks after an attempt; one that has not started never will.
    QueryAttempt {
        /// Attempt.
        attempt: AttemptId,
        /// Permit that it spent.
        permit: u64,
    },
    /// The caller of an attempt has gone.
    Cancel {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Something happened to a call.
    Upstream {
        /// Attempt.
        attempt: AttemptId,
        /// What happened.
        event: UpstreamEvent,
    },
    /// The platform answered a ledger batch.
    Ledger {
        /// Number of the batch.
        batch: u64,
        /// Answer.
        result: Result<Vec<LedgerResult>, LedgerError>,
    },
    /// The upstream reported its load; the report may be stale.
    Load {
        /// Whether the upstream says that it is cold.
        cold: bool,
    },
    /// The process is asked to shut down.
    Drain,
}
