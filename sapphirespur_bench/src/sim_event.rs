//! Things that happen at a time.

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError, LedgerResult};
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::AttemptStart;

use crate::fleet::Fleet;

/// Word of a sidecar on the connection of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptReply {
    /// The first content.
    FirstContent,
    /// The whole answer to a request.
    End {
        /// Request that the answer belongs to.
        answered_request: u64,
    },
    /// A refusal.
    Refused(Refusal),
    /// The attempt never started and never will.
    NeverStarted,
    /// The attempt may have run and its answer is gone.
    Lost,
}

/// Something that a scenario does to the fleet.
pub type Action = Box<dyn FnOnce(&mut Fleet)>;

/// Something that happens at a time.
pub enum SimEvent {
    /// A node's deadline comes.
    Wake(Name),
    /// A message arrives.
    Deliver {
        /// Sender.
        from: Name,
        /// Receiver.
        to: Name,
        /// Epoch of the link.
        epoch: u64,
        /// Message.
        message: Message,
    },
    /// A node tries to open a link.
    Dial {
        /// Node that opens.
        from: Name,
        /// Node at the other end.
        to: Name,
    },
    /// An attempt arrives at its sidecar.
    StartAttempt {
        /// Sidecar.
        sidecar: Name,
        /// Attempt.
        start: AttemptStart,
    },
    /// A word arrives at the router.
    Reply {
        /// Attempt.
        attempt: AttemptId,
        /// Word.
        reply: AttemptReply,
    },
    /// A router looks whether the connection of an attempt is silent.
    IdleCheck(AttemptId),
    /// A sidecar looks whether anybody reads an attempt's answer.
    ReaderCheck(AttemptId),
    /// An upstream produces the next tokens of a call.
    EngineStep {
        /// Sidecar beside the upstream.
        sidecar: Name,
        /// Attempt.
        attempt: AttemptId,
    },
    /// A ledger batch arrives at the platform.
    Commit {
        /// Sidecar that sent it.
        sidecar: Name,
        /// Incarnation of the sidecar.
        incarnation: u64,
        /// Batch.
        batch: LedgerBatch,
    },
    /// The platform's answer to a ledger batch arrives.
    CommitResult {
        /// Sidecar that sent the batch.
        sidecar: Name,
        /// Incarnation of the sidecar.
        incarnation: u64,
        /// Number of the batch.
        batch: u64,
        /// Answer.
        result: Result<Vec<LedgerResult>, LedgerError>,
    },
    /// An upstream takes stock for its next load report.
    SampleLoad(Name),
    /// A load report arrives.
    LoadReport {
        /// Sidecar beside the upstream.
        sidecar: Name,
        /// Whether the upstream was cold when it took stock.
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
    /// The scenario acts.
    Action(Action),
}
