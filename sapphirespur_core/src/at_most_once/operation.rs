//! Compare-and-swap operations on the ledger.

use thiserror::Error;

use crate::at_most_once::LedgerEntry;
use crate::request::AttemptId;

/// Condition on the stored entry under which an operation takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The key has no entry on the operation's day, the day before or the day after.
    Absent,
    /// The entry of the operation's day has not changed since a platform revision.
    Unchanged {
        /// Platform revision of the entry's last change.
        revision: u64,
    },
}

/// Conditional write of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerOperation {
    /// Attempt on whose behalf the entry is written.
    pub attempt: AttemptId,
    /// Digest of workspace, service and idempotency key.
    pub key: String,
    /// Day, counted from the Unix epoch, under which the entry is stored.
    pub day: u64,
    /// Condition under which the entry is written.
    pub precondition: Precondition,
    /// New content of the entry.
    pub entry: LedgerEntry,
}

/// Result of one operation in a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerResult {
    /// The entry was written.
    Written {
        /// Platform revision of the write.
        revision: u64,
    },
    /// The precondition failed; nothing was written.
    Conflict {
        /// Day under which the entry is stored.
        day: u64,
        /// Platform revision of the entry's last change.
        revision: u64,
        /// Entry as it was stored when the precondition was checked.
        entry: LedgerEntry,
    },
    /// The precondition failed because the entry no longer exists; nothing was written.
    Missing,
}

/// Operations sent to the platform as one transaction, in which each succeeds or fails on its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerBatch {
    /// Sequence number of the batch at its sidecar.
    pub id: u64,
    /// Operations; no two have the same key.
    pub operations: Vec<LedgerOperation>,
}

/// Error that affects a whole batch.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LedgerError {
    /// The outcome is unknown; the batch may have taken effect or may still do so.
    #[error("the platform did not respond")]
    OutcomeUnknown,
}
