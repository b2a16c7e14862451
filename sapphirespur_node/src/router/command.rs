//! Messages between the traffic threads and the control thread.

use sapphirespur_core::request::{AttemptId, Refusal, RequestHead, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch, RouterStatus};
use tokio::sync::{mpsc, oneshot};

/// Decision of the control thread on a request.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// Send the request to a sidecar.
    Dispatch(Dispatch),
    /// End the request with a refusal.
    Refuse(Refusal),
}

/// Message of a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// A request was received.
    Request {
        /// Number of the request within this router.
        id: RequestId,
        /// Properties of the request that the filters use.
        head: RequestHead,
        /// Channel for the decisions on the request.
        reply: mpsc::UnboundedSender<Reply>,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// Number of the request within this router.
        id: RequestId,
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Progress or result of the attempt.
        event: AttemptEvent,
    },
    /// The caller disconnected.
    Cancelled {
        /// Number of the request within this router.
        id: RequestId,
    },
    /// An operator requests the status.
    Status {
        /// Channel for the status.
        reply: oneshot::Sender<RouterStatus>,
    },
    /// A caller requests the list of models.
    Models {
        /// Digest of the caller's bearer key; `None` without a key.
        key_digest: Option<String>,
        /// Channel for the models' names; it receives `None` when the key is unknown.
        reply: oneshot::Sender<Option<Vec<String>>>,
    },
}
