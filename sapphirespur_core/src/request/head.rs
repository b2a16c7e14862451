//! Request as it comes from a caller.

use crate::config::Target;

/// What the filters need to know of a request; its body stays with the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// SHA-256 digest of the bearer key, in lower-case hexadecimal.
    pub key_digest: Option<String>,
    /// Model or service that is asked for.
    pub target: Target,
    /// Method in upper case.
    pub method: String,
    /// Path below the service's name, or of the model call.
    pub path: String,
    /// Class that the caller names.
    pub class: Option<String>,
    /// Cost that the caller expects, in tokens for models and calls for services.
    pub cost_hint: Option<u64>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Digest of method, path and body.
    pub fingerprint: String,
}
