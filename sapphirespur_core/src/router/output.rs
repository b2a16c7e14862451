//! Outputs of the router's state machine.

use crate::event::Event;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal, RequestId, RequestMeta};

/// Instruction to send a request to a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Identifier of the request within this router.
    pub id: RequestId,
    /// Identifier of the attempt, unique over all router processes.
    pub attempt: AttemptId,
    /// Identifier of the permit that the attempt uses, unique within the sidecar's incarnation.
    pub permit: u64,
    /// Upstream that issued the permit.
    pub upstream: Name,
    /// Address of the upstream's sidecar for requests.
    pub address: Name,
    /// Queue, cost and repeatability of the admitted request.
    pub meta: RequestMeta,
}

/// Action that the process carries out for the router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterOutput {
    /// Sends a message on a control link.
    Send {
        /// Name of the receiving process.
        to: Name,
        /// Message to send.
        message: Message,
    },
    /// Opens a control link and keeps it open.
    Connect {
        /// Name of the process at the other end.
        peer: Name,
        /// Control address of that process.
        address: Name,
    },
    /// Closes a control link without reopening it.
    Disconnect {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// Closes an unresponsive control link; the process that opened it opens a new one.
    Reconnect {
        /// Name of the process at the other end.
        peer: Name,
    },
    /// Sends a request to a sidecar.
    Dispatch(Dispatch),
    /// Ends a request with a refusal.
    Refuse {
        /// Identifier of the request within this router.
        id: RequestId,
        /// Reason and outcome for the caller.
        refusal: Refusal,
    },
    /// Starts (`true`) or stops (`false`) watching the platform's configuration.
    SetWatching(bool),
    /// Emits an event for metrics and logs.
    Event(Event),
    /// The router is draining and its last request has ended.
    Drained,
}
