//! Compare-and-swap operations on the ledger.

use thiserror::Error;

use crate::at_most_once::LedgerEntry;
use crate::request::AttemptId;

/// State of the key under which an operation takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The key has no entry on the operation's day, the day before or the day after.
    Absent,
    /// The entry of the operation's day was last changed at a platform revision.
    Unchanged {
        /// Platform revision of the last change.
        revision: u64,
    },
}

/// Conditional write of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerOperation {
    /// Attempt on whose behalf the entry is written.
    pub attempt: AttemptId,
    /// Digest that identifies the call.
    pub key: String,
    /// Day, counted from the Unix epoch, under which the entry is stored.
    pub day: u64,
    /// State under which the operation takes effect.
    pub precondition: Precondition,
    /// Entry to write.
    pub entry: LedgerEntry,
}

/// Result of one operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerResult {
    /// The entry was written.
    Written {
        /// Platform revision of the write.
        revision: u64,
    },
    /// The expectation did not hold.
    Conflict {
        /// Day under which the entry is stored.
        day: u64,
        /// Platform revision of its last change.
        revision: u64,
        /// Entry as it is.
        entry: LedgerEntry,
    },
    /// The expectation did not hold, for the expected entry is gone.
    Missing,
}

/// Operations that go to the platform as one transaction; each takes effect or not on its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerBatch {
    /// Number of the batch.
    pub id: u64,
    /// Operations, each on another key.
    pub operations: Vec<LedgerOperation>,
}

/// Failure of a whole batch.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The batch may have taken effect, now or later.
    #[error("the platform gave no answer")]
    OutcomeUnknown,
}
