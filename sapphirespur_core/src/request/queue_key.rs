//! Key of a queue of waiting requests.

use crate::config::Target;
use crate::name::Name;

/// Requests with the same key wait in one queue of a router.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Model or service that is asked for.
    pub target: Target,
    /// Workspace that asks.
    pub workspace: Name,
    /// Class of work.
    pub class: Name,
}
