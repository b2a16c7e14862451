//! Whether and how a call may be repeated.

/// Repeatability of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Repeatability {
    /// May be repeated.
    Idempotent,
    /// May not be repeated; the caller sent no key that would identify a repeat.
    NonIdempotent,
    /// May not be repeated; a repeat is known by its key.
    Once {
        /// Digest of workspace, service and idempotency key.
        key: String,
        /// Digest of method, path and body.
        fingerprint: String,
    },
}
