//! Where a process listens.

/// Addresses of a router or sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Callers' requests or routers' attempts.
    pub traffic: String,
    /// Control links.
    pub control: String,
    /// Operators' requests.
    pub admin: String,
}
