//! Names of headers.

use actix_http::header::HeaderMap;

/// Headers between a router and a sidecar, and towards callers.
pub mod header {
    /// Identifier that follows a request across processes.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Class of work that a caller names.
    pub const CLASS: &str = "x-sapphirespur-class";
    /// Permit that an attempt spends.
    pub const PERMIT: &str = "x-sapphirespur-permit";
    /// Expected cost in cost units.
    pub const COST: &str = "x-sapphirespur-cost";
    /// Repeatability: `idempotent`, `single` or `once`.
    pub const CALL: &str = "x-sapphirespur-call";
    /// Digest that identifies a call that runs once.
    pub const ONCE_KEY: &str = "x-sapphirespur-once-key";
    /// Digest of a call that runs once.
    pub const FINGERPRINT: &str = "x-sapphirespur-fingerprint";
    /// Method of the call to the upstream.
    pub const METHOD: &str = "x-sapphirespur-method";
    /// Path of the call to the upstream.
    pub const PATH: &str = "x-sapphirespur-path";
    /// Whether the answer is counted in tokens: `tokens` or `calls`.
    pub const UNIT: &str = "x-sapphirespur-unit";
    /// Key by which the caller identifies repeats.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// Returns the text of a header, when it is present and readable.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
