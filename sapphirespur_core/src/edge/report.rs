//! What routers tell each other many times a second.

use serde::{Deserialize, Serialize};

use crate::edge::PromptSegment;

/// Work of one router at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Requests that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not brought their first event.
    pub pending_tokens: u64,
    /// Time between two events of a stream, in milliseconds; zero when not known.
    pub event_ms: u32,
    /// Tokens of prompt parts that no other request shares, sent since the report before.
    pub unshared_tokens: u32,
}

/// Tokens of one workspace at one router, in the last window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Tokens that were asked for.
    pub asked: u64,
    /// Tokens of requests that were admitted.
    pub admitted: u64,
}

/// How busy the upstreams of one service are, as one router sees it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePressure {
    /// Hash of the service's name.
    pub service: u32,
    /// Pressure in thousandths: zero when idle, a thousand when answers are just in time.
    pub per_mille: u16,
    /// Leeway of workspaces beyond their share in hundredths; zero where none is refused for that.
    pub leeway_percent: u16,
}

/// Shared parts of prompts that one router has sent to an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefilledSegments {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Parts.
    pub parts: Vec<PromptSegment>,
}

/// Report of one router; each one replaces the report before.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// Hash of the router's name.
    pub router: u64,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the report since the start.
    pub sequence: u64,
    /// Revision of the platform's record up to which it is known.
    pub revision: u64,
    /// Work at upstreams.
    pub upstreams: Vec<UpstreamLoad>,
    /// Use by workspaces.
    pub workspaces: Vec<WorkspaceUsage>,
    /// Pressure by service, where decisions were made lately.
    pub pressures: Vec<ServicePressure>,
    /// Parts of prompts that were sent since the report before; lost with a lost report.
    pub reads: Vec<PrefilledSegments>,
}
