//! Request after it passed the filters.

use crate::request::{QueueKey, Repeatability};

/// Admitted request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMeta {
    /// Queue in which the request waits.
    pub queue: QueueKey,
    /// Expected cost in cost units.
    pub cost: u64,
    /// Whether and how the call may be repeated.
    pub repeatability: Repeatability,
}
