//! Names of HTTP headers.

use actix_http::header::HeaderMap;

/// Names of the headers between routers and sidecars, and between callers and routers.
pub mod header {
    /// Identifier of a request, passed on from process to process.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Class of the request, chosen by the caller.
    pub const CLASS: &str = "x-sapphirespur-class";
    /// Identifier of the permit that an attempt uses up.
    pub const PERMIT: &str = "x-sapphirespur-permit";
    /// Expected cost of the request, in cost units.
    pub const COST: &str = "x-sapphirespur-cost";
    /// Whether the call may be repeated: `idempotent`, `single` or `once`.
    pub const CALL: &str = "x-sapphirespur-call";
    /// Digest that identifies an at-most-once call in the ledger.
    pub const ONCE_KEY: &str = "x-sapphirespur-once-key";
    /// Digest of the method, path and body of an at-most-once call.
    pub const FINGERPRINT: &str = "x-sapphirespur-fingerprint";
    /// HTTP method of the call to the upstream.
    pub const METHOD: &str = "x-sapphirespur-method";
    /// Path of the call to the upstream.
    pub const PATH: &str = "x-sapphirespur-path";
    /// Unit in which the cost is counted: `tokens` or `calls`.
    pub const UNIT: &str = "x-sapphirespur-unit";
    /// Key, chosen by the caller, that is the same for all repeats of a request.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// Returns the value of a header; `None` when it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
