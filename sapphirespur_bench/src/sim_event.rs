//! Events of the simulation.

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError, LedgerResult};
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::AttemptStart;

use crate::fleet::Fleet;

/// Message of a sidecar to the router on the connection of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptReply {
    /// The first content of the answer.
    FirstContent,
    /// The end of a complete answer.
    End {
        /// Request that the answer belongs to.
        answered_request: u64,
    },
    /// The sidecar refused the attempt.
    Refused(Refusal),
    /// The attempt never started and never will.
    NeverStarted,
    /// The attempt may have run and its answer is lost.
    Lost,
}

/// Action of a scenario on the fleet, such as the injection of a fault.
pub type Action = Box<dyn FnOnce(&mut Fleet)>;

/// Event that the scheduler processes at its time.
pub enum SimEvent {
    /// A node's next deadline is due.
    Wake(Name),
    /// A message arrives.
    Deliver {
        /// Node that sent it.
        from: Name,
        /// Node that receives it.
        to: Name,
        /// Epoch of the link on which it was sent; it is dropped if the link has a newer one.
        epoch: u64,
        /// Content of the message.
        message: Message,
    },
    /// A node tries to open a link.
    Dial {
        /// Node that opens it.
        from: Name,
        /// Node at the other end.
        to: Name,
    },
    /// An attempt arrives at its sidecar.
    StartAttempt {
        /// Sidecar that the router chose.
        sidecar: Name,
        /// Attempt with its permit, cost and repeatability.
        start: AttemptStart,
    },
    /// A reply of a sidecar arrives at the router.
    Reply {
        /// Attempt that it belongs to.
        attempt: AttemptId,
        /// Content of the reply.
        reply: AttemptReply,
    },
    /// A router checks whether the connection of an attempt is unresponsive.
    IdleCheck(AttemptId),
    /// A sidecar checks whether the router still reads the answer of an attempt.
    ReaderCheck(AttemptId),
    /// An upstream produces the next tokens of a call.
    EngineStep {
        /// Sidecar of the upstream.
        sidecar: Name,
        /// Attempt that the upstream runs.
        attempt: AttemptId,
    },
    /// A ledger batch arrives at the platform.
    Commit {
        /// Sidecar that sent it.
        sidecar: Name,
        /// Incarnation of the sidecar.
        incarnation: u64,
        /// Ledger operations of the batch.
        batch: LedgerBatch,
    },
    /// The result of a ledger batch arrives at its sidecar.
    CommitResult {
        /// Sidecar that sent the batch.
        sidecar: Name,
        /// Incarnation of the sidecar; the result is dropped if the sidecar has restarted since.
        incarnation: u64,
        /// Number of the batch.
        batch: u64,
        /// Result of each operation, or the reason for which the results are unknown.
        result: Result<Vec<LedgerResult>, LedgerError>,
    },
    /// An upstream samples its state for its next load report.
    SampleLoad(Name),
    /// A load report arrives at the sidecar.
    LoadReport {
        /// Sidecar of the upstream.
        sidecar: Name,
        /// Whether the upstream was cold when it sampled its state.
        cold: bool,
    },
    /// A router reads the configuration.
    ReadConfig(Name),
    /// A router reads the VM list.
    ReadVmList(Name),
    /// A client sends its next request.
    Submit {
        /// Index of the client.
        client: usize,
    },
    /// An action of the scenario is due.
    Action(Action),
}
