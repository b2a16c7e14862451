//! Request to the target that has no response yet.

use crate::time::Time;

/// Request that waits for its first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// Hash of the route's name.
    pub route: u32,
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// When the request was placed.
    pub placed_at: Time,
    /// Time that its prompt and those before it are expected to take, in milliseconds.
    pub prefill_ms: f64,
    /// Whether it was counted as slow.
    pub is_slow: bool,
}
