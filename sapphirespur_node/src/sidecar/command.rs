//! What the traffic threads and the control thread tell each other.

use sapphirespur_core::at_most_once::RecordedResponse;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::{AttemptStart, AttemptStatus, SidecarSelfStatus, UpstreamEvent};
use tokio::sync::{mpsc, oneshot};

/// Decision on an attempt.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// Send the call to the upstream.
    Call,
    /// Answer with a recorded answer.
    Replay(RecordedResponse),
    /// Refuse the attempt.
    Refuse(Refusal),
    /// Break the call off.
    Abort,
}

/// Word of a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// A router starts an attempt.
    Start {
        /// Attempt.
        start: AttemptStart,
        /// Where decisions go.
        reply: mpsc::UnboundedSender<Reply>,
    },
    /// Something happened to a call.
    Upstream {
        /// Attempt.
        attempt: AttemptId,
        /// What happened.
        event: UpstreamEvent,
    },
    /// A router asks after an attempt.
    Query {
        /// Attempt.
        attempt: AttemptId,
        /// Permit that it spent.
        permit: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<AttemptStatus>,
    },
    /// Nobody waits for an attempt's answer any more.
    Cancel {
        /// Attempt.
        attempt: AttemptId,
    },
    /// An operator asks for the state.
    Status {
        /// Where the state goes.
        reply: oneshot::Sender<SidecarSelfStatus>,
    },
}
