//! Inputs of a router.

use crate::config::Config;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal, RequestHead, RequestId};
use crate::vm::Vm;

/// What happened to an attempt, as the traffic side of the router saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The sidecar refused the attempt.
    Refused(Refusal),
    /// The first frame of the answer reached the caller's connection.
    Delivering,
    /// The whole answer was passed on.
    Finished,
    /// The answer was lost and could not be resumed.
    AnswerLost,
    /// The sidecar was asked after the attempt and barred it before it began.
    NeverStarted,
}

/// Input of a router.
#[derive(Clone, Debug)]
pub enum RouterInput {
    /// The time of the next deadline has come.
    Tick,
    /// The platform told the configuration.
    ConfigUpdated(Config),
    /// The platform told the list of VMs.
    MembersUpdated(Vec<Vm>),
    /// A link came up.
    LinkUp {
        /// Process at the other end.
        peer: Name,
    },
    /// A link ended.
    LinkDown {
        /// Process at the other end.
        peer: Name,
    },
    /// A message came.
    Message {
        /// Sender.
        from: Name,
        /// Message.
        message: Message,
    },
    /// A caller's request came.
    Request {
        /// Number of the request.
        id: RequestId,
        /// What the filters need of it.
        head: RequestHead,
    },
    /// The caller hung up.
    Cancelled {
        /// Number of the request.
        id: RequestId,
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
    /// The process is asked to shut down.
    Drain,
}
