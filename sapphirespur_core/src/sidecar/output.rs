//! Outputs of a sidecar.

use crate::event::Event;
use crate::message::Message;
use crate::name::Name;
use crate::once::{LedgerBatch, RecordedAnswer};
use crate::request::{AttemptId, Refusal};
use crate::sidecar::AttemptFate;

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
    /// Answers an attempt with a recorded answer.
    Replay {
        /// Attempt.
        attempt: AttemptId,
        /// Answer.
        answer: RecordedAnswer,
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
    Asked {
        /// Attempt.
        attempt: AttemptId,
        /// What the sidecar can say of it.
        fate: AttemptFate,
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
