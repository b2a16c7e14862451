//! Key of a queue of waiting requests.

use crate::config::Target;
use crate::name::Name;

/// Key of a router's queue; requests with equal keys wait in the same queue.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Requested model or service.
    pub target: Target,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Class of the requests.
    pub class: Name,
}
