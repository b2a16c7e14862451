//! Router status for operators.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A router's view of one sidecar.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SidecarStatus {
    /// Name of the sidecar's upstream.
    pub upstream: Name,
    /// Whether the control link is up.
    pub linked: bool,
    /// Whether the sidecar is linked, responsive and accepts new work.
    pub serving: bool,
    /// Phase of the upstream: `cold`, `warm`, or `unknown` without a reported state.
    pub phase: String,
    /// Current concurrency limit of the upstream, in requests; zero during a pause and without a
    /// reported state.
    pub limit: u32,
    /// Estimated number of free slots; zero without a reported state.
    pub free: u32,
    /// Configuration revision in force at the sidecar; zero before its first heartbeat.
    pub revision: u64,
}

/// Status that a router reports about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouterStatus {
    /// Name of the router's VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Whether the router accepts requests.
    pub ready: bool,
    /// Whether the router is shutting down.
    pub draining: bool,
    /// Configuration revision in force; zero before the first one.
    pub revision: u64,
    /// Whether the router watches the platform's configuration.
    pub watching: bool,
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of dispatched requests without a final answer.
    pub serving: usize,
    /// Sidecars of all configured upstreams, in order of name.
    pub sidecars: Vec<SidecarStatus>,
}
