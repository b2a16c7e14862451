//! State of a router as reported to operators.

use std::time::Duration;

use sapphirespur_core::edge::{BaseVersion, KnownLoad, QuarantineKey, ToldLoad, Upstream};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;
use serde::{Deserialize, Serialize};

use super::rollout_status::RolloutStatus;
use super::shared::Shared;

/// Path on which a router serves its state.
pub const STATUS_PATH: &str = "/status";

/// State of a router, served as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EdgeStatus {
    /// Name of the router.
    pub name: String,
    /// Version of the configuration in force; absent before the first one.
    pub version: Option<u64>,
    /// Time since the last response from the registry, in milliseconds; absent before the first
    /// one.
    pub record_age_ms: Option<u64>,
    /// Era and revision of the last change of the registry that was applied.
    pub record_version: String,
    /// Number of other routers that were heard recently, directly or through others.
    pub peers: usize,
    /// Part in the exchange of reports: `mesh`, `member`, `standby` or `relay`.
    pub role: String,
    /// Address of the relay whose sums this router uses; absent in a mesh and at the relay.
    pub relay: Option<String>,
    /// Time since these sums arrived, in milliseconds.
    pub relay_age_ms: Option<u64>,
    /// Whether the router refuses requests because it is short of processor time.
    pub is_short_of_time: bool,
    /// Number of requests being served.
    pub in_flight: usize,
    /// Number of open client connections.
    pub connections: usize,
    /// Names of the data centres that are out of service, sorted.
    pub out: Vec<String>,
    /// Prompt segments that are refused because upstreams ended under them, in hexadecimal.
    #[serde(default)]
    pub quarantined: Vec<String>,
    /// Identities of requests that are refused because upstreams ended under them, in hexadecimal.
    #[serde(default)]
    pub quarantined_requests: Vec<String>,
    /// Versions at which streams without a record began, sorted by service.
    #[serde(default)]
    pub base_versions: Vec<BaseVersion>,
    /// Streams of which this router knows the version that began them.
    #[serde(default)]
    pub known_streams: usize,
    /// Accuracy of predicted costs by route, sorted by route.
    #[serde(default)]
    pub predictions: Vec<PredictionStatus>,
    /// Roll-outs, sorted by service.
    #[serde(default)]
    pub rollouts: Vec<RolloutStatus>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Accuracy of the predicted costs of a route's requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PredictionStatus {
    /// Name of the route.
    pub route: String,
    /// Percentage of the recent requests whose cost was within a factor of two of the prediction.
    pub within_two_percent: f64,
}

/// State of an upstream as observed by one router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub id: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Version of its software.
    #[serde(default)]
    pub version: String,
    /// Data centre of the upstream.
    pub data_centre: String,
    /// Whether it accepts requests: `warm`, `cold` or `closed`.
    pub condition: String,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Requests in flight from all routers.
    pub fleet_in_flight: u32,
    /// Prompt tokens of this router's requests whose first event has not arrived.
    pub pending_tokens: u64,
    /// Estimated prefill speed in prompt tokens per millisecond; absent without an estimate.
    pub tokens_per_ms: Option<f64>,
    /// Estimated time between two events of a stream, in milliseconds.
    pub event_ms: f64,
    /// Fraction of recent requests that failed.
    pub failure_rate: f64,
    /// Requests per second that it takes from all routers together; absent without a limit.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
    /// Load that it reported last; absent without a recent report.
    #[serde(default)]
    pub reported_load: Option<ReportedLoad>,
}

/// Load that an upstream reported, to this router or another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedLoad {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Pace with which the router reckons now, in percent of the usual time.
    pub pace_percent: f64,
    /// Time since the response that reported it, in milliseconds.
    pub age_ms: u64,
    /// Whether another router received that response.
    pub is_from_other: bool,
    /// Whether the upstream is known to be full.
    pub is_full: bool,
}

/// Returns the current state of the router.
pub(super) fn status(cx: &Shared) -> EdgeStatus {
    let now = cx.now();
    let router = cx.router.borrow();
    let registry = router.registry();
    let mut upstreams: Vec<UpstreamStatus> = registry
        .upstreams()
        .iter()
        .map(|upstream| {
            let peers_in_flight = router.peers().load(now, upstream.key).in_flight;
            let pace = registry.upstreams().pace(now, upstream);
            upstream_status(now, upstream, peers_in_flight, pace)
        })
        .collect();
    upstreams.sort_by(|a, b| a.id.cmp(&b.id));
    let mut out: Vec<String> =
        registry.upstreams().data_centres_out().iter().map(ToString::to_string).collect();
    out.sort();

    let (requests, segments): (Vec<_>, Vec<_>) =
        router.quarantine().quarantined().into_iter().partition(QuarantineKey::is_request);
    let to_text = |keys: Vec<QuarantineKey>| keys.iter().map(ToString::to_string).collect();
    let relay = router.exchange().sums_source(now);
    let mut base_versions: Vec<_> = router.streams().bases.iter().cloned().collect();
    base_versions.sort_by(|a, b| a.service.cmp(&b.service));
    let prediction = |(route, fraction): (&Name, f64)| PredictionStatus {
        route: route.to_string(),
        within_two_percent: fraction * 100.0,
    };
    let mut predictions: Vec<_> = router.work().errors.within_two().map(prediction).collect();
    predictions.sort_by(|a, b| a.route.cmp(&b.route));
    let summaries = router.rollouts().summaries(now);
    let mut rollouts: Vec<RolloutStatus> = summaries.iter().map(RolloutStatus::new).collect();
    rollouts.sort_by(|a, b| a.service.cmp(&b.service));
    EdgeStatus {
        name: cx.settings().node.name.to_string(),
        version: registry.table().map(|table| table.version),
        record_age_ms: cx.last_registry_response.get().map(|at| millis(now.since(at))),
        record_version: registry.version().to_string(),
        peers: router.peers().count(now),
        role: router.exchange().role().as_str().to_owned(),
        relay: relay.map(|(contact, _)| contact.address.to_string()),
        relay_age_ms: relay.map(|(_, age)| millis(age)),
        is_short_of_time: cx.overload.borrow().is_refusing(),
        in_flight: cx.in_flight.get(),
        connections: cx.connections.get(),
        out,
        quarantined: to_text(segments),
        quarantined_requests: to_text(requests),
        base_versions,
        known_streams: router.streams().memory.len(),
        predictions,
        rollouts,
        upstreams,
    }
}

fn upstream_status(
    now: Time,
    upstream: &Upstream,
    peers_in_flight: u32,
    pace: f64,
) -> UpstreamStatus {
    UpstreamStatus {
        id: upstream.entry.id.to_string(),
        service: upstream.entry.service.to_string(),
        version: upstream.entry.version.to_string(),
        data_centre: upstream.entry.data_centre.to_string(),
        condition: upstream.condition(now).as_str().to_owned(),
        in_flight: upstream.load.in_flight,
        fleet_in_flight: upstream.load.in_flight + peers_in_flight,
        pending_tokens: upstream.load.pending_tokens,
        tokens_per_ms: upstream.load.prefill_tokens_per_ms,
        event_ms: upstream.load.event_interval_ms,
        failure_rate: upstream.load.failure_rate,
        limit_per_s: upstream.limit.as_ref().map(|limit| limit.per_s),
        reported_load: reported_load(now, &upstream.known, pace),
    }
}

fn reported_load(now: Time, known: &KnownLoad, pace: f64) -> Option<ReportedLoad> {
    let (ToldLoad { running, waiting, slots, .. }, age) = known.told(now)?;
    Some(ReportedLoad {
        running,
        waiting,
        slots,
        pace_percent: pace * 100.0,
        age_ms: millis(age),
        is_from_other: known.is_from_other(),
        is_full: known.is_full(now),
    })
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
