//! Messages that grant and return permits to dispatch.

use crate::name::Name;

/// Permission to dispatch one request of a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Identifier, unique within the sidecar's incarnation.
    pub id: u64,
    /// Workspace of the queue.
    pub workspace: Name,
    /// Class of the queue.
    pub class: Name,
}

/// Return of a permit for which the router had no request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitReturn {
    /// Identifier that the sidecar gave the permit.
    pub id: u64,
    /// Number of requests that still wait in the router's queue.
    pub remaining: u32,
}
