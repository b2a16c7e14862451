//! Request as received from a caller.

use crate::config::Target;

/// Properties of a request that the filters use; the body stays with the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// SHA-256 digest of the bearer key, in lower-case hexadecimal; absent without a key.
    pub key_digest: Option<String>,
    /// Requested model or service.
    pub target: Target,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path after the service's name, or the path of the model call.
    pub path: String,
    /// Class named by the caller; absent for the default class.
    pub class: Option<String>,
    /// Cost expected by the caller, in tokens for models and calls for services, if given.
    pub cost_hint: Option<u64>,
    /// Value of the `Idempotency-Key` header, if present.
    pub idempotency_key: Option<String>,
    /// Digest of method, path and body.
    pub fingerprint: String,
}
