//! What callers, upstreams and operators saw.

use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Outcome, Refusal};
use sapphirespur_core::time::Time;

/// Final answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinalAnswer {
    /// The whole answer to request `answers` came.
    Complete {
        /// Request that the answer belongs to.
        answered_request: u64,
    },
    /// The request was refused.
    Refused(Refusal),
    /// The answer was cut off openly.
    Interrupted,
}

impl FinalAnswer {
    /// Tells whether the caller was told that its request did not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.outcome == Outcome::NotRun)
    }
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A caller sent a request.
    Submitted {
        /// Request.
        request: u64,
        /// Workspace.
        workspace: Name,
        /// Idempotency key.
        key: Option<String>,
        /// Whether the call may be repeated.
        is_idempotent: bool,
    },
    /// An upstream began to run a request.
    RunStarted {
        /// Request.
        request: u64,
        /// Upstream.
        upstream: Name,
        /// Calls that it ran at once with this one.
        concurrency: u32,
        /// Calls that it bore at once.
        capacity: u32,
    },
    /// An upstream produced tokens.
    Served {
        /// Request.
        request: u64,
        /// Workspace.
        workspace: Name,
        /// Tokens.
        tokens: u32,
    },
    /// A caller got its final answer.
    Answered {
        /// Request.
        request: u64,
        /// Answer.
        answer: FinalAnswer,
    },
    /// The platform accepted a configuration.
    ConfigAccepted {
        /// Revision.
        revision: u64,
    },
    /// A configuration came into force at a node.
    ConfigInForce {
        /// Node.
        node: Name,
        /// Revision.
        revision: u64,
    },
    /// A node stopped or started empty.
    NodeRestarted {
        /// Node.
        node: Name,
    },
    /// Operators or the platform said that an upstream takes no new work.
    Closed {
        /// Upstream.
        upstream: Name,
    },
    /// Operators said that an upstream takes work again.
    Opened {
        /// Upstream.
        upstream: Name,
    },
}

/// What was seen, in order.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Entries with their times.
    pub entries: Vec<(Time, HistoryEvent)>,
}

impl History {
    /// Appends an entry.
    pub fn push(&mut self, now: Time, event: HistoryEvent) {
        self.entries.push((now, event));
    }
}
