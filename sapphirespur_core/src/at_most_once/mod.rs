//! Ledger that lets a call with an idempotency key run at most once.
//!
//! The ledger has no owner: each key is one entry of the platform's service, changed under
//! compare-and-swap by whichever sidecar runs the call. Operations of many calls share one
//! transaction, an idea of "KIP-1163: Diskless Core" (many writers' batches, one commit).

mod entry;
mod ledger;
mod operation;

pub use entry::{LedgerEntry, LedgerState, RecordedResponse};
pub use ledger::{AtMostOnceLedger, AttemptDecision, Decision};
pub use operation::{LedgerBatch, LedgerError, LedgerOperation, LedgerResult, Precondition};
