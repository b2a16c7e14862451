//! Inputs of the sidecar state machine.

use crate::at_most_once::{LedgerError, LedgerResult, RecordedResponse};
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Repeatability};

/// Request of a router to start an attempt with a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptStart {
    /// Attempt to start.
    pub attempt: AttemptId,
    /// Identifier of the permit that it uses.
    pub permit: u64,
    /// Expected cost, in cost units.
    pub cost: u64,
    /// Whether and how the call may be repeated.
    pub repeatability: Repeatability,
    /// Wall-clock time of the start, in seconds since the Unix epoch.
    pub wall_s: u64,
}

/// Reason why a call to the upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFailure {
    /// The call was not sent, because no connection could be opened or the request is invalid.
    NotSent,
    /// The upstream refused the call because it is overloaded.
    Overloaded,
    /// The call was sent, but no complete response was received.
    Incomplete,
}

/// Progress of a call to the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamEvent {
    /// This many tokens were received.
    Tokens(u32),
    /// The complete response was received.
    Finished {
        /// Cost in tokens, when the upstream reports it.
        cost: Option<u64>,
        /// Response to record for repeats; `None` when it need not be recorded, is too large or is
        /// not UTF-8.
        response: Option<RecordedResponse>,
    },
    /// The call failed.
    Failed(UpstreamFailure),
}

/// Input of [`Sidecar::handle`](crate::sidecar::Sidecar::handle).
#[derive(Clone, Debug)]
pub enum SidecarInput {
    /// The time of `Sidecar::next_deadline` was reached.
    Tick,
    /// A router opened a control link.
    LinkUp {
        /// Router at the other end.
        peer: Name,
    },
    /// A control link was closed.
    LinkDown {
        /// Router at the other end.
        peer: Name,
    },
    /// A message was received on a control link.
    Message {
        /// Router that sent it.
        from: Name,
        /// Content of the message.
        message: Message,
    },
    /// A router starts an attempt.
    Start(AttemptStart),
    /// A router queries the status of an attempt; if it has not started, it never will.
    QueryAttempt {
        /// Attempt that is queried.
        attempt: AttemptId,
        /// Identifier of the permit that was issued for it.
        permit: u64,
    },
    /// The caller of an attempt has disconnected.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// The call of an attempt made progress, finished or failed.
    Upstream {
        /// Attempt that the call belongs to.
        attempt: AttemptId,
        /// Progress of the call.
        event: UpstreamEvent,
    },
    /// A ledger batch was completed or failed.
    Ledger {
        /// Sequence number of the batch.
        batch: u64,
        /// Result of each operation, in the order of the batch.
        result: Result<Vec<LedgerResult>, LedgerError>,
    },
    /// The upstream reported its load; the report may be stale.
    Load {
        /// Whether the upstream reports that it is cold.
        cold: bool,
    },
    /// The process must shut down gracefully: no new work, then `SidecarOutput::Drained`.
    Drain,
}
