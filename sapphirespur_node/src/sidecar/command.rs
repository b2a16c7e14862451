//! Messages between the traffic threads and the control thread.

use sapphirespur_core::at_most_once::RecordedResponse;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::{AttemptStart, AttemptStatus, SidecarSelfStatus, UpstreamEvent};
use tokio::sync::{mpsc, oneshot};

/// Decision of the control thread on an attempt.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// Send the call to the upstream.
    Call,
    /// Answer with the recorded response of an earlier attempt.
    Replay(RecordedResponse),
    /// Refuse the attempt.
    Refuse(Refusal),
    /// Abort the call to the upstream.
    Abort,
}

/// Message of a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// A router starts an attempt.
    Start {
        /// Attempt and the permit that it uses.
        start: AttemptStart,
        /// Channel for the decisions on the attempt.
        reply: mpsc::UnboundedSender<Reply>,
    },
    /// A call made progress, finished or failed.
    Upstream {
        /// Attempt that the call belongs to.
        attempt: AttemptId,
        /// Progress or result of the call.
        event: UpstreamEvent,
    },
    /// A router queries the status of an attempt.
    Query {
        /// Attempt that is queried.
        attempt: AttemptId,
        /// Number of the permit that was issued for it.
        permit: u64,
        /// Channel for the status of the attempt.
        reply: oneshot::Sender<AttemptStatus>,
    },
    /// The caller of an attempt disconnected, or its answer is abandoned.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// An operator requests the status.
    Status {
        /// Channel for the status of the sidecar.
        reply: oneshot::Sender<SidecarSelfStatus>,
    },
}
