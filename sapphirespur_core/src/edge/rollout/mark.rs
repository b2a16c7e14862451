//! Link from a request to the roll-out during which it was placed.

/// Roll-out that was running when a request was placed, and the request's number in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutMark {
    /// Hash of the roll-out; zero without one.
    pub rollout: u32,
    /// Number of the request among those that this router has sent to the target.
    pub number: u32,
    /// Time that its prompt and those before it are expected to take, in milliseconds.
    pub prefill_ms: f64,
}
