//! Messages that let a router dispatch.

use crate::name::Name;

/// Leave to dispatch one request of a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Number, unique within the sidecar's incarnation.
    pub id: u64,
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
}

/// Permit for which the router had no request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitReturn {
    /// Number of the permit.
    pub id: u64,
    /// Requests that the router still has in the queue.
    pub remaining: u32,
}
