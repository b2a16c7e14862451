//! At-most-once execution of calls with an idempotency key.
//!
//! The ledger is stored in the platform's key-value service, one entry per key. No process owns it:
//! the sidecar that runs a call changes the entry by compare-and-swap. The operations of many calls
//! are batched into one transaction, as in "KIP-1163: Diskless Core", where the batches of many
//! writers share one commit.

mod entry;
mod ledger;
mod operation;

pub use entry::{LedgerEntry, LedgerState, RecordedResponse};
pub use ledger::{AtMostOnceLedger, AttemptDecision, Decision};
pub use operation::{LedgerBatch, LedgerError, LedgerOperation, LedgerResult, Precondition};
