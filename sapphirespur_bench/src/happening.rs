//! Things that happen at a time.

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerError, LedgerResult};
use sapphirespur_core::message::Message;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::AttemptStart;

use crate::fleet::Fleet;

/// Word of a sidecar on the connection of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    /// The first content.
    First,
    /// The whole answer to a request.
    End {
        /// Request that the answer belongs to.
        answers: u64,
    },
    /// A refusal.
    Refused(Refusal),
    /// The attempt never started and never will.
    NeverStarted,
    /// The attempt may have run and its answer is gone.
    Gone,
}

/// Something that a scenario does to the fleet.
pub type Action = Box<dyn FnOnce(&mut Fleet)>;

/// Something that happens at a time.
pub enum Happening {
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
    Start {
        /// Sidecar.
        sidecar: Name,
        /// Attempt.
        start: AttemptStart,
    },
    /// A word arrives at the router.
    Word {
        /// Attempt.
        attempt: AttemptId,
        /// Word.
        word: Word,
    },
    /// A router looks whether the connection of an attempt is silent.
    SilenceCheck(AttemptId),
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
    Committed {
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
    TakeStock(Name),
    /// A load report arrives.
    Load {
        /// Sidecar beside the upstream.
        sidecar: Name,
        /// Whether the upstream was cold when it took stock.
        cold: bool,
    },
    /// A router reads the configuration.
    ReadConfig(Name),
    /// A router reads the VM list.
    ReadMembers(Name),
    /// A client sends its next request.
    Submit {
        /// Index of the client.
        client: usize,
    },
    /// The scenario acts.
    Act(Action),
}
