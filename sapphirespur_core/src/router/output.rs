//! Outputs of a router.

use crate::event::Event;
use crate::message::Message;
use crate::name::Name;
use crate::request::{AttemptId, Refusal, RequestId, RequestMeta};

/// Order to send a request to a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Number of the request.
    pub id: RequestId,
    /// Attempt to make.
    pub attempt: AttemptId,
    /// Permit to spend.
    pub permit: u64,
    /// Upstream that issued the permit.
    pub upstream: Name,
    /// Address of its sidecar.
    pub address: Name,
    /// Admitted request.
    pub meta: RequestMeta,
}

/// Output of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterOutput {
    /// Sends a message.
    Send {
        /// Receiver.
        to: Name,
        /// Message.
        message: Message,
    },
    /// Opens a link and keeps it open.
    Connect {
        /// Process at the other end.
        peer: Name,
        /// Its control address.
        address: Name,
    },
    /// Closes a link and does not open it again.
    Disconnect {
        /// Process at the other end.
        peer: Name,
    },
    /// Closes a link that went silent, to open it anew.
    Reconnect {
        /// Process at the other end.
        peer: Name,
    },
    /// Sends a request to a sidecar.
    Dispatch(Dispatch),
    /// Gives a request its final answer.
    Refuse {
        /// Number of the request.
        id: RequestId,
        /// Answer.
        refusal: Refusal,
    },
    /// Starts or stops watching the platform's configuration.
    SetWatching(bool),
    /// Reports an event.
    Event(Event),
    /// Every request has ended after a drain.
    Drained,
}
