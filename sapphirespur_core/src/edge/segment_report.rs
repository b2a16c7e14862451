//! What routers tell each other of prompt segments under which upstreams were lost.

use serde::{Deserialize, Serialize};

/// State of one prompt segment at a router. Times are ages, because routers share no clock.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentReport {
    /// Identity of the segment.
    pub segment: u64,
    /// Suspicion from upstreams lost under the segment since its last whole response.
    pub suspicion: u32,
    /// Whether a request with the segment has ever been answered whole.
    pub is_proven: bool,
    /// Time since the last of these losses, in milliseconds.
    pub lost_age_ms: u32,
    /// Time since the last whole response after a loss, in milliseconds; none without one.
    pub answered_age_ms: Option<u32>,
    /// Time since the last trial, in milliseconds; none without one.
    pub tried_age_ms: Option<u32>,
}
