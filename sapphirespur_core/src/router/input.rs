//! Inputs of the router's state machine.

use crate::config::Config;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal, RequestHead, RequestId};
use crate::vm::Vm;

/// Progress or result of an attempt, reported by the router's traffic layer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The sidecar refused the attempt.
    Refused(Refusal),
    /// The first frame of the answer was written to the caller's connection.
    Delivering,
    /// The whole answer was forwarded to the caller.
    Finished,
    /// The answer was lost and could not be resumed.
    AnswerLost,
    /// The sidecar, asked about the attempt, confirmed that it had not started and blocked it from
    /// starting later.
    NeverStarted,
}

/// Input of [`Router::handle`](crate::router::Router::handle).
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// The time of `Router::next_deadline` was reached.
    Tick,
    /// The platform provided a configuration; ignored unless its revision is newer.
    ConfigUpdated(Config),
    /// The platform provided the current list of VMs.
    MembersUpdated(Vec<Vm>),
    /// A control link was established.
    LinkUp {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// A control link was closed.
    LinkDown {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// A message was received on a control link.
    Message {
        /// Process that sent the message.
        from: Name,
        /// Decoded message.
        message: Message,
    },
    /// A caller sent a request.
    Request {
        /// Identifier of the request within this router.
        id: RequestId,
        /// Parts of the request that the filters need.
        head: RequestHead,
    },
    /// The caller disconnected before the end of its answer.
    Cancelled {
        /// Identifier of the request within this router.
        id: RequestId,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// Identifier of the request within this router.
        id: RequestId,
        /// Attempt that the event belongs to; events of superseded attempts are ignored.
        attempt: AttemptId,
        /// Progress or result.
        event: AttemptEvent,
    },
    /// The process was asked to shut down: no new requests are accepted.
    Drain,
}
