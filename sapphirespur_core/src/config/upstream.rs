//! Upstream in the operators' configuration.

use serde::{Deserialize, Serialize};

use crate::config::Target;
use crate::name::Name;

/// Whether an upstream accepts new work, set by operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The upstream accepts new work.
    Active,
    /// The upstream is leaving the fleet and accepts no new work.
    Leaving,
}

/// Upstream and the sidecar on its VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Model or service that the upstream serves.
    pub target: Target,
    /// Data centre in which the upstream runs.
    pub data_centre: Name,
    /// Address at which the sidecar accepts attempts, as `ip:port`.
    pub address: Name,
    /// Address at which the sidecar accepts control links, as `ip:port`; unique per upstream.
    pub control: Name,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Number of concurrent requests that the upstream sustains during a cold start.
    pub cold_slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
}
