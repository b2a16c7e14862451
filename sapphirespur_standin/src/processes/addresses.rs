//! Addresses on which a router or sidecar listens.

/// Addresses of a router or sidecar, as `ip:port`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Callers' requests at a router, routers' attempts at a sidecar.
    pub traffic: String,
    /// Control links between routers and sidecars.
    pub control: String,
    /// Status and other requests of operators.
    pub admin: String,
}
