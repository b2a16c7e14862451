//! Inputs of the score that are the same for all candidates of a request.

use crate::edge::placement::WorkContext;
use crate::edge::placement::prefix_sources::PrefixSources;
use crate::edge::{CallInfo, Peers, ServiceLoad, ServiceSpec};
use crate::name::Name;
use crate::time::Time;

/// Inputs of the score that are the same for all candidates of a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct ScoringContext<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Request to place.
    pub call: &'a CallInfo,
    /// Reports of the other routers.
    pub peers: &'a Peers,
    /// Data centre of this router.
    pub data_centre: &'a Name,
    /// Upstreams from which cached prompt segments can be fetched.
    pub sources: PrefixSources<'a>,
    /// Specification of the service; none when it is not configured.
    pub spec: Option<&'a ServiceSpec>,
    /// Key of the upstream that owns the prompt's last shared segment; none without shared
    /// segments.
    pub prefix_owner: Option<u32>,
    /// Expected number of events of the response.
    pub expected_events: f64,
    /// Expected work of the request and its effect on others; none where placement does not count
    /// it.
    pub work: Option<WorkContext>,
    /// Longest interval between events at which long responses finish in time, in milliseconds;
    /// zero when it cannot be estimated yet.
    pub max_event_interval_ms: f64,
    /// Prefill speed assumed for an upstream without an estimate of its own, in tokens per
    /// millisecond.
    pub mean_prefill_speed: f64,
    /// What was learned of the loads that the upstreams of the service report.
    pub service_load: ServiceLoad,
}

impl ScoringContext<'_> {
    /// Returns the target latency of the call in milliseconds.
    pub(super) fn target_ms(&self) -> f64 {
        self.call.target.as_secs_f64() * 1_000.0
    }
}
