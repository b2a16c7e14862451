//! State of a router as operators see it.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Sidecar as a router sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SidecarStatus {
    /// Upstream beside the sidecar.
    pub upstream: Name,
    /// Whether the link is up.
    pub linked: bool,
    /// Whether the sidecar takes new work.
    pub serving: bool,
    /// Phase of the upstream, `cold` or `warm`.
    pub phase: String,
    /// Requests that the upstream bears at once now.
    pub limit: u32,
    /// Room that it seems to have.
    pub free: u32,
    /// Revision in force at the sidecar.
    pub revision: u64,
}

/// Router as it sees itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterStatus {
    /// Name of the router's VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether the router takes requests.
    pub ready: bool,
    /// Whether the router is shutting down.
    pub draining: bool,
    /// Revision in force.
    pub revision: u64,
    /// Whether the router watches the platform.
    pub watching: bool,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that are being served.
    pub serving: usize,
    /// Sidecars.
    pub sidecars: Vec<SidecarStatus>,
}
