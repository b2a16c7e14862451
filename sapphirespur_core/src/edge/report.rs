//! Reports that routers exchange several times per second.

use serde::{Deserialize, Serialize};

use crate::edge::{PromptSegment, RegistryVersion};

/// Work of one router at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Requests that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not received their first event.
    pub pending_tokens: u64,
    /// Interval between events of a stream, in milliseconds; zero before the first sample.
    pub event_ms: u32,
    /// Tokens of unshared prompt segments sent since the previous report.
    pub unshared_tokens: u32,
}

/// Token usage of one workspace at one router, over the share window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Tokens of all requests, declined ones included.
    pub asked: u64,
    /// Tokens of admitted requests.
    pub admitted: u64,
}

/// Pressure on the upstreams of one service as measured by one router.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePressure {
    /// Hash of the service's name.
    pub service: u32,
    /// Mean pressure in thousandths: zero when idle, 1,000 when responses are just in time.
    pub per_mille: u16,
    /// Over-share factor in hundredths; zero when no request is being declined for its workspace's
    /// share.
    pub leeway_percent: u16,
}

/// Shared prompt segments that one router has sent to an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefilledSegments {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Segments that the upstream has prefilled or will prefill.
    pub parts: Vec<PromptSegment>,
}

/// Report of one router; it replaces the router's previous report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// Hash of the router's name.
    pub router: u64,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the report since the start of the process.
    pub sequence: u64,
    /// Registry version that the router has applied.
    pub version: RegistryVersion,
    /// Work at each upstream with requests in flight or unshared tokens to report.
    pub upstreams: Vec<UpstreamLoad>,
    /// Usage of each workspace.
    pub workspaces: Vec<WorkspaceUsage>,
    /// Pressure by service, for services with a recent decision.
    pub pressures: Vec<ServicePressure>,
    /// Shared prompt segments sent since the previous report; not repeated when a report is lost.
    pub reads: Vec<PrefilledSegments>,
}
