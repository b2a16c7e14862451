//! Ledger entry of an idempotency key.

use serde::{Deserialize, Serialize};

/// Response of a finished call, returned again to repeats of the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Response body, which is UTF-8; another body is not recorded.
    pub body: String,
}

/// Last recorded state of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerState {
    /// The call may be running or may have run; its outcome is not recorded yet.
    Intent,
    /// The attempt has not sent the call and never will; another attempt may run it.
    Abandoned,
    /// The call has run and returned this response.
    Finished(RecordedResponse),
    /// The call has run, but its response is not stored: it is too large or not UTF-8.
    FinishedUnrecorded,
    /// The call was sent; whether it ran is unknown.
    Unknown,
}

/// Stored state of the call with one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// Attempt that wrote the entry, in the display form of `AttemptId`.
    pub attempt: String,
    /// Digest of the request's method, path and body; detects a key reused for another request.
    pub fingerprint: String,
    /// Time at which the attempt began, in seconds since the Unix epoch.
    pub since_s: u64,
    /// Last recorded state of the call.
    pub state: LedgerState,
}
