//! Request that has passed the filters.

use crate::request::{QueueKey, Repeatability};

/// Properties of an admitted request, derived by the filters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMeta {
    /// Queue in which the request waits.
    pub queue: QueueKey,
    /// Expected cost in cost units.
    pub cost: u64,
    /// Whether and how the request may be repeated.
    pub repeatability: Repeatability,
}
