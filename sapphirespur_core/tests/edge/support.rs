//! Fixtures: a service with upstreams, routers and calls.

use std::time::Duration;

use sapphirespur_core::edge::{
    CallInfo, EngineSpec, InFlightRequest, Placement, Prompt, RetryLimits, Route, RouteKind,
    RouteTable, Router, RouterSettings, SendOutcome, ServiceSpec, Split, UpstreamEntry,
    UpstreamState,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

pub const START: Time = Time::from_micros(1_000_000_000);
pub const TARGET: Duration = Duration::from_millis(1_000);
pub const TIMEOUT: Duration = Duration::from_secs(10);
pub const COLD_PER_S: f64 = 8.0;
pub const OVERSHOOT: f64 = 1.5;
pub const ALLOWANCE: f64 = 5.0;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn settings(name: &str) -> RouterSettings {
    RouterSettings {
        name: Name::new(name),
        data_centre: Name::new("milano"),
        started_ms: 1,
        retries: RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
        cold_overshoot: OVERSHOOT,
        cold_allowance: ALLOWANCE,
        share_window: Duration::from_secs(4),
        uses_work_estimates: false,
        rollouts: None,
    }
}

pub fn route(name: &str, path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: Name::new(name),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout: TIMEOUT,
        target: TARGET,
        gap_limit: None,
        splits: vec![Split { service: Name::new("pool"), weight: 1 }],
        attempts: 2,
        is_open: false,
    }
}

pub fn table(version: u64, tokens_per_s: u64) -> RouteTable {
    let mut table =
        RouteTable { version, tokens_per_s: Some(tokens_per_s), ..RouteTable::default() };
    let spec = ServiceSpec {
        connection_limit: 360,
        cold_start: Duration::from_secs(3),
        cold_per_s: Some(COLD_PER_S),
        engine: Some(EngineSpec {
            slots: 64,
            cache_tokens: 400_000,
            tokens_per_event: 8,
            token_bytes: 0,
            link_mbps: 0.0,
        }),
    };
    table.services.insert(Name::new("pool"), spec);
    table.add_route("host", route("notes", "/notes/", RouteKind::Stream { resumable: true }));
    table
}

pub fn entry(id: &str, port: u16) -> UpstreamEntry {
    UpstreamEntry {
        id: Name::new(id),
        service: Name::new("pool"),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: Name::new("milano"),
        version: Name::new("v1"),
        slots: 64,
        state: UpstreamState::Ready,
        cold: Duration::ZERO,
        started_ms: Some(1),
        sequence: None,
    }
}

/// Returns a router with `upstreams` warm upstreams, named `u0` and up.
pub fn router(name: &str, upstreams: u16) -> Router {
    let mut router = Router::new(settings(name));
    assert!(router.registry_mut().apply_table(table(1, 100_000)));
    for index in 0..upstreams {
        router.registry_mut().apply_upstream(START, entry(&format!("u{index}"), 8_000 + index));
    }
    router
}

/// Returns a call whose prompt has a shared and an unshared segment.
pub fn call(workspace: &str, shared: u64, shared_tokens: u32, own_tokens: u32) -> CallInfo {
    let segments = [(shared, shared_tokens), (u64::MAX, own_tokens)];
    CallInfo {
        route: Name::new("notes"),
        service: Name::new("pool"),
        workspace: Some(Name::new(workspace)),
        version: None,
        goes_on: false,
        prompt: Some(Prompt::new(&segments, shared_tokens + own_tokens, 100)),
        identity: None,
        target: TARGET,
        remaining: TIMEOUT,
        is_client_retry: false,
    }
}

/// Ends a request successfully with its first event `after` the placement.
pub fn answer(router: &mut Router, placement: &Placement, after: Duration) {
    let mut request: InFlightRequest = placement.request.clone();
    let now = request.placed_at + after;
    router.on_first_event(now, &mut request);
    router.on_events(now, &mut request, 1);
    router.finish(now, &request, SendOutcome::Answered);
}
