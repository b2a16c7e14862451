//! What routers tell each other of requests and prompt segments under which upstreams were lost.

use serde::{Deserialize, Serialize};

/// State of one request or prompt segment at a router. Times are ages, because routers share no clock.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// Identity of the request or segment.
    pub id: u64,
    /// Suspicion from upstreams lost under it since its last whole response.
    pub suspicion: u32,
    /// Whether such a request has ever been answered whole.
    pub is_proven: bool,
    /// Time since the last of these losses, in milliseconds.
    pub lost_age_ms: u32,
    /// Time since the last whole response after a loss, in milliseconds; none without one.
    pub answered_age_ms: Option<u32>,
    /// Time since the last trial, in milliseconds; none without one.
    pub tried_age_ms: Option<u32>,
}
