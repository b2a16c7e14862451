//! Reports that routers exchange several times per second.

use serde::{Deserialize, Serialize};

use crate::edge::{PromptSegment, RegistryVersion, RolloutEvidence};

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
    /// Output tokens that the requests are expected to have yet; encoded after the message.
    #[serde(skip)]
    pub decode_tokens: u64,
    /// Memory that the requests are expected to need at their ends, in tokens; encoded after the
    /// message.
    #[serde(skip)]
    pub memory_tokens: u64,
}

/// Remaining work at one upstream as it is encoded after a message, in the order of the loads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkValues {
    /// Output tokens in units of 32.
    decode: u64,
    /// Memory in units of 128 tokens.
    memory: u64,
}

impl WorkValues {
    /// Units with which most values take one or two bytes. What they round off is less than an event
    /// of a few streams.
    const DECODE_UNIT: u64 = 32;
    const MEMORY_UNIT: u64 = 128;

    /// Creates the values of a load.
    pub fn new(load: &UpstreamLoad) -> Self {
        Self {
            decode: (load.decode_tokens + Self::DECODE_UNIT / 2) / Self::DECODE_UNIT,
            memory: (load.memory_tokens + Self::MEMORY_UNIT / 2) / Self::MEMORY_UNIT,
        }
    }

    /// Sets the values of a load.
    pub fn apply(self, load: &mut UpstreamLoad) {
        load.decode_tokens = self.decode.saturating_mul(Self::DECODE_UNIT);
        load.memory_tokens = self.memory.saturating_mul(Self::MEMORY_UNIT);
    }
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

/// Sums of the pressure on the upstreams of one service as measured by one or more routers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServicePressure {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of routers that have measured it.
    pub measured: u32,
    /// Sum of their mean pressures in thousandths: zero when idle, 1,000 when responses are just in
    /// time.
    pub per_mille: u64,
    /// Number of routers that are declining requests for their workspaces' shares.
    pub declining: u32,
    /// Sum of the mean pressures of these routers in thousandths.
    pub declining_per_mille: u64,
    /// Sum of the over-share factors of these routers in hundredths.
    pub leeway_percent: u64,
}

/// Requests for one service at one or more routers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests of clients in the window of the retry limits.
    pub requests: u32,
    /// Retries in that window.
    pub retries: u32,
}

/// Shared prompt segments that one router has sent to an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefilledSegments {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Segments that the upstream has prefilled or will prefill.
    pub parts: Vec<PromptSegment>,
}

/// Report of one router, or sums over several; it replaces the previous report of the same source.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// Hash of the name of the router that sends it.
    pub router: u64,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number of the report since the start of the process.
    pub sequence: u64,
    /// Number of routers over which it sums.
    pub routers: u32,
    /// Newest registry version that a router has applied.
    pub version: RegistryVersion,
    /// Hash of the name of that router.
    pub version_router: u64,
    /// Whether the registry answered the sender recently.
    pub is_registry_fresh: bool,
    /// Newest version of the configuration that a router has in force; zero before the first one.
    pub config_version: u64,
    /// Hash of the name of that router.
    pub config_router: u64,
    /// Work at each upstream with requests in flight or unshared tokens to report.
    pub upstreams: Vec<UpstreamLoad>,
    /// Usage of each workspace.
    pub workspaces: Vec<WorkspaceUsage>,
    /// Pressure by service, for services with a recent decision.
    pub pressures: Vec<ServicePressure>,
    /// Shared prompt segments sent since the previous report; not repeated when a report is lost.
    pub reads: Vec<PrefilledSegments>,
    /// Requests by service; part of the message's extension.
    #[serde(skip)]
    pub demands: Vec<ServiceDemand>,
    /// Responses by version, for services with a roll-out; part of the message's extension.
    #[serde(skip)]
    pub rollouts: Vec<RolloutEvidence>,
}

impl PeerReport {
    /// Largest number of requests at an upstream, and of routers, that a report may state.
    const MAX_COUNT: u32 = 1_000_000;

    /// Largest number of tokens, and of other summed values, that a report may state.
    const MAX_SUM: u64 = 1 << 50;

    /// Returns whether the values are in a range in which they can be added up.
    pub fn is_plausible(&self) -> bool {
        let is_load_plausible = |load: &UpstreamLoad| {
            load.in_flight <= Self::MAX_COUNT
                && load.pending_tokens <= Self::MAX_SUM
                && load.decode_tokens.max(load.memory_tokens) <= Self::MAX_SUM
        };
        let is_usage_plausible = |usage: &WorkspaceUsage| {
            usage.asked <= Self::MAX_SUM && usage.admitted <= Self::MAX_SUM
        };
        let is_pressure_plausible = |pressure: &ServicePressure| {
            pressure.measured.max(pressure.declining) <= Self::MAX_COUNT
                && pressure.per_mille.max(pressure.declining_per_mille) <= Self::MAX_SUM
                && pressure.leeway_percent <= Self::MAX_SUM
        };

        let is_demand_plausible =
            |demand: &ServiceDemand| demand.requests.max(demand.retries) <= Self::MAX_COUNT;

        self.routers <= Self::MAX_COUNT
            && self.upstreams.iter().all(is_load_plausible)
            && self.demands.iter().all(is_demand_plausible)
            && self.rollouts.iter().all(RolloutEvidence::is_plausible)
            && self.workspaces.iter().all(is_usage_plausible)
            && self.pressures.iter().all(is_pressure_plausible)
    }
}
