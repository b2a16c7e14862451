//! Events that the state machines emit for metrics and logs.

use std::time::Duration;

use crate::limiter::Phase;
use crate::name::Name;
use crate::request::{QueueKey, RefusalCode, RequestId};

/// Event that is counted or logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A request was sent to a sidecar.
    Dispatched {
        /// Identifier of the request.
        request: RequestId,
        /// Queue in which it waited.
        queue: QueueKey,
        /// Upstream that serves it.
        upstream: Name,
        /// Time from arrival to dispatch.
        queue_time: Duration,
    },
    /// The answer to a request was delivered in full.
    Completed {
        /// Identifier of the request.
        request: RequestId,
        /// Queue in which it waited.
        queue: QueueKey,
        /// Time from dispatch to the end of the answer.
        service_time: Duration,
    },
    /// A request was refused.
    Refused {
        /// Identifier of the request.
        request: RequestId,
        /// Reason of the refusal.
        code: RefusalCode,
    },
    /// A request is retried with a new attempt.
    Retried {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The upstream sent the first token of an answer.
    FirstToken {
        /// Queue in which the request waited.
        queue: QueueKey,
        /// Time from the call to the upstream.
        latency: Duration,
    },
    /// The upstream finished an answer.
    Served {
        /// Queue in which the request waited.
        queue: QueueKey,
        /// Cost units charged to the queue.
        cost: u64,
        /// Mean time between tokens; absent with fewer than two tokens.
        token_gap: Option<Duration>,
    },
    /// The phase of the upstream changed.
    PhaseChanged {
        /// Phase after the change.
        phase: Phase,
    },
    /// A configuration was applied.
    ConfigApplied {
        /// Revision of the configuration.
        revision: u64,
    },
    /// A configuration from a peer was rejected.
    ConfigRejected {
        /// Peer that sent the configuration.
        from: Name,
    },
}

/// Sink of events, implemented by the process around the state machines.
pub trait EventListener {
    /// Handles one event.
    fn on_event(&mut self, event: &Event);
}
