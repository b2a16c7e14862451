//! Upstream as operators configure it.

use serde::{Deserialize, Serialize};

use crate::config::Target;
use crate::name::Name;

/// Whether operators let an upstream take new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Takes new work.
    Active,
    /// Takes no new work.
    Leaving,
}

/// Upstream and the sidecar beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Model or service that the upstream serves.
    pub target: Target,
    /// Data centre of the upstream.
    pub data_centre: Name,
    /// Address of the sidecar for attempts, as `ip:port`.
    pub address: Name,
    /// Address of the sidecar for control messages, as `ip:port`.
    pub control: Name,
    /// Most requests at once when warm.
    pub slots: u32,
    /// Requests at once that the upstream bears in cold start.
    pub cold_slots: u32,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
}
