//! State of a router as operators see it.

use std::time::Duration;

use sapphirespur_core::edge::Upstream;
use sapphirespur_core::time::Time;
use serde::{Deserialize, Serialize};

use super::shared::Shared;

/// Path on which a router tells its state.
pub const STATUS_PATH: &str = "/status";

/// State of a router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EdgeStatus {
    /// Name.
    pub name: String,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Time since the platform's record was heard, in milliseconds.
    pub record_age_ms: Option<u64>,
    /// Other routers that were heard of lately.
    pub peers: usize,
    /// Requests being served.
    pub in_flight: usize,
    /// Connections of clients.
    pub connections: usize,
    /// Data centres that are out.
    pub out: Vec<String>,
    /// Upstreams by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// State of an upstream as a router sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct UpstreamStatus {
    /// Name.
    pub id: String,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it may get work: `warm`, `cold` or `closed`.
    pub condition: String,
    /// Requests of this router.
    pub in_flight: u32,
    /// Requests of all routers.
    pub fleet_in_flight: u32,
    /// Prompt tokens of this router's requests without a first event.
    pub pending_tokens: u64,
    /// Prompt tokens read in a millisecond, once known.
    pub tokens_per_ms: Option<f64>,
    /// Time between two events of a stream, in milliseconds.
    pub event_ms: f64,
    /// Part of the latest requests that failed.
    pub failure_rate: f64,
}

/// Returns the state.
pub(super) fn status(cx: &Shared) -> EdgeStatus {
    let now = cx.now();
    let router = cx.router.borrow();
    let registry = router.registry();
    let mut upstreams: Vec<UpstreamStatus> = registry
        .upstreams()
        .iter()
        .map(|upstream| {
            let peers_in_flight = router.peers().load(now, upstream.key).in_flight;
            upstream_status(now, upstream, peers_in_flight)
        })
        .collect();
    upstreams.sort_by(|a, b| a.id.cmp(&b.id));
    let mut out: Vec<String> =
        registry.upstreams().data_centres_out().iter().map(ToString::to_string).collect();
    out.sort();

    EdgeStatus {
        name: cx.settings().node.name.to_string(),
        version: registry.table().map(|table| table.version),
        record_age_ms: cx.registry_last_received.get().map(|at| millis(now.since(at))),
        peers: router.peers().count(now),
        in_flight: cx.in_flight.get(),
        connections: cx.connections.get(),
        out,
        upstreams,
    }
}

fn upstream_status(now: Time, upstream: &Upstream, peers_in_flight: u32) -> UpstreamStatus {
    UpstreamStatus {
        id: upstream.entry.id.to_string(),
        service: upstream.entry.service.to_string(),
        data_centre: upstream.entry.data_centre.to_string(),
        condition: upstream.condition(now).as_str().to_owned(),
        in_flight: upstream.load.in_flight,
        fleet_in_flight: upstream.load.in_flight + peers_in_flight,
        pending_tokens: upstream.load.pending_tokens,
        tokens_per_ms: upstream.load.prefill_tokens_per_ms,
        event_ms: upstream.load.event_interval_ms,
        failure_rate: upstream.load.failure_rate,
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
