//! Events that the decisions report to metrics and logs.

use std::time::Duration;

use crate::limiter::Phase;
use crate::name::Name;
use crate::request::{QueueKey, RefusalCode, RequestId};

/// Something worth counting or logging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A request was sent to a sidecar.
    Dispatched {
        /// Request.
        request: RequestId,
        /// Queue in which it waited.
        queue: QueueKey,
        /// Upstream that serves it.
        upstream: Name,
        /// Time that it waited.
        queue_time: Duration,
    },
    /// A request got its whole answer.
    Completed {
        /// Request.
        request: RequestId,
        /// Queue in which it waited.
        queue: QueueKey,
        /// Time from dispatch to the end of the answer.
        service_time: Duration,
    },
    /// A request was refused.
    Refused {
        /// Request.
        request: RequestId,
        /// Reason.
        code: RefusalCode,
    },
    /// A request is tried again.
    Retried {
        /// Request.
        request: RequestId,
    },
    /// The first token of an answer came from the upstream.
    FirstToken {
        /// Queue of the request.
        queue: QueueKey,
        /// Time from the call.
        latency: Duration,
    },
    /// An answer came from the upstream.
    Served {
        /// Queue of the request.
        queue: QueueKey,
        /// Cost units charged.
        cost: u64,
        /// Mean time between tokens.
        token_gap: Option<Duration>,
    },
    /// The phase of the upstream changed.
    PhaseChanged {
        /// New phase.
        phase: Phase,
    },
    /// A configuration came into force.
    ConfigApplied {
        /// Its revision.
        revision: u64,
    },
    /// A configuration from a peer was refused.
    ConfigRejected {
        /// Peer.
        from: Name,
    },
}

/// Receiver of events at the edge of a process.
pub trait EventListener {
    /// Takes one event.
    fn on_event(&mut self, event: &Event);
}
