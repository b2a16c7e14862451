//! Whether a request may run more than once.

/// Whether and how a request may be repeated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Repeatability {
    /// The request is safe to repeat.
    Idempotent,
    /// The request must not be repeated; the caller sent no key that would identify a repeat.
    NonIdempotent,
    /// The request must run at most once; a repeat is identified by its key.
    Once {
        /// Digest of workspace, service and idempotency key.
        key: String,
        /// Digest of method, path and body.
        fingerprint: String,
    },
}
