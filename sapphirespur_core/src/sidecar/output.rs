//! Outputs of a sidecar.

use crate::at_most_once::{LedgerBatch, RecordedResponse};
use crate::event::Event;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal};
use crate::sidecar::AttemptStatus;

/// Output of a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub enum SidecarOutput {
    /// Sends a message.
    Send {
        /// Receiver.
        to: Name,
        /// Message.
        message: Message,
    },
    /// Sends the call of an attempt to the upstream.
    Call {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Answers an attempt with a recorded response.
    Replay {
        /// Attempt.
        attempt: AttemptId,
        /// Answer.
        response: RecordedResponse,
    },
    /// Refuses an attempt.
    Refuse {
        /// Attempt.
        attempt: AttemptId,
        /// Answer.
        refusal: Refusal,
    },
    /// Breaks off the call of an attempt.
    Abort {
        /// Attempt.
        attempt: AttemptId,
    },
    /// Answers the question after an attempt.
    AttemptStatus {
        /// Attempt.
        attempt: AttemptId,
        /// What the sidecar can say of it.
        status: AttemptStatus,
    },
    /// Sends operations to the platform as one transaction.
    Commit(LedgerBatch),
    /// Closes a link that went silent.
    Reconnect {
        /// Router at the other end.
        peer: Name,
    },
    /// Reports an event.
    Event(Event),
    /// Every attempt has ended and every outcome is recorded after a drain.
    Drained,
}
