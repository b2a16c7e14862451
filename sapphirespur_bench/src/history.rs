//! History of a run, as clients, upstreams and operators observe it.

use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Outcome, Refusal};
use sapphirespur_core::time::Time;

/// Final answer that a client received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// A complete answer was received.
    Complete {
        /// Request that the answer belongs to.
        answered_request: u64,
    },
    /// The request was refused.
    Refused(Refusal),
    /// The answer was interrupted, visibly to the client.
    Interrupted,
}

impl FinalAnswer {
    /// Returns whether the answer states that the request did not run.
    pub fn reports_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.outcome == Outcome::NotRun)
    }
}

/// Event that clients, upstreams or operators observe.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A client sent a request.
    Submitted {
        /// Number of the request.
        request: u64,
        /// Workspace of the client.
        workspace: Name,
        /// Idempotency key, if the client sent one.
        key: Option<String>,
        /// Whether the call may run more than once.
        is_idempotent: bool,
    },
    /// An upstream started to run a request, or crashed on it.
    RunStarted {
        /// Number of the request.
        request: u64,
        /// Upstream that runs it.
        upstream: Name,
        /// Calls that run at the upstream, including this one.
        concurrency: u32,
        /// Calls that the upstream can run at this time.
        capacity: u32,
    },
    /// An upstream produced tokens.
    Served {
        /// Number of the request.
        request: u64,
        /// Workspace of the client.
        workspace: Name,
        /// Number of tokens.
        tokens: u32,
    },
    /// A client received its final answer.
    Answered {
        /// Number of the request.
        request: u64,
        /// Final answer to the request.
        answer: FinalAnswer,
    },
    /// The platform accepted a configuration.
    ConfigAccepted {
        /// Revision of the configuration.
        revision: u64,
    },
    /// A configuration came into force at a node.
    ConfigInForce {
        /// Node that applied it.
        node: Name,
        /// Revision of the configuration.
        revision: u64,
    },
    /// A node stopped or started, and so has no state from before.
    NodeStateLost {
        /// Node that stopped or started.
        node: Name,
    },
    /// An upstream must get no new work: operators closed it, or its node was asked to drain.
    Closed {
        /// Name of the upstream, or of the node that drains.
        upstream: Name,
    },
    /// Operators opened an upstream for work.
    Opened {
        /// Upstream that may get work.
        upstream: Name,
    },
}

/// Observed events of a run, in order.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Events with the times at which they happened.
    pub entries: Vec<(Time, HistoryEvent)>,
}

impl History {
    /// Appends an event that happens at `now`.
    pub fn push(&mut self, now: Time, event: HistoryEvent) {
        self.entries.push((now, event));
    }
}
