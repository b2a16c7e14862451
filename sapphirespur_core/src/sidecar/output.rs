//! Outputs of the sidecar state machine.

use crate::at_most_once::{LedgerBatch, RecordedResponse};
use crate::event::Event;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal};
use crate::sidecar::AttemptStatus;

/// Action that the process carries out for the sidecar.
#[derive(Clone, Debug, PartialEq)]
pub enum SidecarOutput {
    /// Sends a message to a router.
    Send {
        /// Router that receives it.
        to: Name,
        /// Content of the message.
        message: Message,
    },
    /// Sends the call of an attempt to the upstream.
    Call {
        /// Attempt whose call is sent.
        attempt: AttemptId,
    },
    /// Answers an attempt with the recorded response of an earlier attempt.
    Replay {
        /// Attempt to answer.
        attempt: AttemptId,
        /// Response that was recorded for the earlier attempt.
        response: RecordedResponse,
    },
    /// Refuses an attempt.
    Refuse {
        /// Attempt to refuse.
        attempt: AttemptId,
        /// Reason, and whether the call may have run.
        refusal: Refusal,
    },
    /// Aborts the call of an attempt.
    Abort {
        /// Attempt whose call is aborted.
        attempt: AttemptId,
    },
    /// Answers a query of an attempt's status.
    AttemptStatus {
        /// Attempt that was queried.
        attempt: AttemptId,
        /// Status of the attempt at this sidecar.
        status: AttemptStatus,
    },
    /// Sends ledger operations to the platform as one transaction.
    Commit(LedgerBatch),
    /// Closes an unresponsive control link; the router that opened it opens a new one.
    Reconnect {
        /// Router at the other end.
        peer: Name,
    },
    /// Emits an event for metrics and logs.
    Event(Event),
    /// The drain is complete: no attempt or permit is left and every outcome is recorded.
    Drained,
}
