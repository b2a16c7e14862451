//! Entry of the ledger.

use serde::{Deserialize, Serialize};

/// Answer that a repeat of a finished call gets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: String,
}

/// How far a call is known to be.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerState {
    /// May run or have run.
    Intent,
    /// Was not and will not be sent by the attempt; another attempt may run it.
    Abandoned,
    /// Has run.
    Finished(RecordedResponse),
    /// Has run, but its answer is too large to keep.
    FinishedUnrecorded,
    /// Was sent; whether it ran is not known.
    Unknown,
}

/// Entry of one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// Attempt that wrote the entry.
    pub attempt: String,
    /// Digest of method, path and body.
    pub fingerprint: String,
    /// Time of the intent, in seconds since the Unix epoch.
    pub since_s: u64,
    /// How far the call is.
    pub state: LedgerState,
}
