//! What the traffic threads and the control thread tell each other.

use sapphirespur_core::request::{AttemptId, Refusal, RequestHead, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch, RouterStatus};
use tokio::sync::{mpsc, oneshot};

/// Decision on a request.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    /// Make an attempt.
    Dispatch(Dispatch),
    /// Give the final answer.
    Refuse(Refusal),
}

/// Word of a traffic thread to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// A request came.
    Request {
        /// Number of the request.
        id: RequestId,
        /// What the filters need of it.
        head: RequestHead,
        /// Where decisions go.
        reply: mpsc::UnboundedSender<Reply>,
    },
    /// Something happened to an attempt.
    Attempt {
        /// Number of the request.
        id: RequestId,
        /// Attempt.
        attempt: AttemptId,
        /// What happened.
        event: AttemptEvent,
    },
    /// The caller hung up.
    Cancelled {
        /// Number of the request.
        id: RequestId,
    },
    /// An operator asks for the state.
    Status {
        /// Where the state goes.
        reply: oneshot::Sender<RouterStatus>,
    },
    /// A caller asks for the models of its workspace.
    Models {
        /// Digest of the bearer key.
        key_digest: Option<String>,
        /// Where their names go; none when the key is unknown.
        reply: oneshot::Sender<Option<Vec<String>>>,
    },
}
