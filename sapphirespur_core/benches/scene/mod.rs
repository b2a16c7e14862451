//! State of a router in a fleet of 30 that serves three routes.

mod relay;

use std::collections::VecDeque;
use std::time::Duration;

use sapphirespur_core::edge::{
    Admission, CallInfo, EngineSpec, ExchangeRole, PeerMessage, PeerReport, Placement,
    PrefilledSegments, Prompt, ReportScope, RetryLimits, Route, RouteKind, RouteTable, Router,
    RouterSettings, SendOutcome, ServiceDemand, ServicePressure, ServiceSpec, Shares, Split,
    Upstream, UpstreamEntry, UpstreamLoad, UpstreamState, WorkspaceUsage,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

pub use self::relay::{Relay, encoded_message};
use self::relay::{contact, message};

/// Prompt tokens that other routers have waiting at each upstream.
pub const CALM_TOKENS: u64 = 2_000;
pub const BUSY_TOKENS: u64 = 120_000;

const ROUTERS: u32 = 30;
const WORKSPACES: u64 = 30;
const ROUTES: [&str; 3] = ["notes", "chat", "search"];
const TOKENS_PER_S: u64 = 1_800_000;

/// Prompts of each route, and shared segments of a prompt after the one of its route.
const PROMPTS: u64 = 120;
const PROMPT_SEGMENTS: u64 = 3;
const SEGMENT_TOKENS: u32 = 400;

/// Segments that each upstream has cached at the start.
const CACHED_PROMPTS: u64 = 90;

/// Requests that this router has running.
const RUNNING: usize = 60;

const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Router with its upstreams and the reports of the other routers.
pub struct Scene {
    router: Router,
    upstreams: Vec<u32>,
    pending_tokens: u64,
    now: Time,
    ticked_at: Time,
    reported_at: Time,
    sequence: u64,
    calls: u64,
    running: VecDeque<Placement>,
}

impl Scene {
    pub fn new(upstreams: u16, pending_tokens: u64) -> Self {
        let now = Time::from_micros(1_000_000_000);
        let mut router = member(now);
        assert!(router.registry_mut().apply_table(table()));
        let entries: Vec<UpstreamEntry> = (0..upstreams).map(entry).collect();
        let upstreams = entries.iter().map(|entry| Upstream::hash_id(&entry.id)).collect();
        for entry in entries {
            router.registry_mut().apply_upstream(now, entry);
        }
        let mut scene = Self {
            router,
            upstreams,
            pending_tokens,
            now,
            ticked_at: now,
            reported_at: now,
            sequence: 0,
            calls: 0,
            running: VecDeque::new(),
        };
        scene.fill_caches();
        scene.apply_next_report();
        scene
    }

    /// Lets placement count the expected work of requests, and the streams' pauses.
    pub fn estimate_work(&mut self) {
        let settings = RouterSettings { uses_work_estimates: true, ..settings("any") };
        self.router.update_settings(&settings);
        let mut table = RouteTable { version: 2, ..table() };
        for route in table.hosts.values_mut().flatten() {
            route.gap_limit = Some(Duration::from_millis(300));
        }
        assert!(self.router.registry_mut().apply_table(table));
    }

    /// Returns a call of an ordinary workspace.
    pub fn next_call(&mut self) -> CallInfo {
        self.calls += 1;
        self.advance();
        let workspace = format!("w{}", self.calls % WORKSPACES);
        call(&workspace, self.calls)
    }

    /// Returns a call of the workspace that asks for most of the capacity.
    pub fn next_flood_call(&mut self) -> CallInfo {
        self.calls += 1;
        self.advance();
        call("flood", self.calls)
    }

    pub fn admit(&mut self, call: &CallInfo) -> Admission {
        self.router.admit(self.now, call)
    }

    /// Lets a placed request run, and ends the oldest one.
    pub fn keep(&mut self, placement: Placement) {
        self.running.push_back(placement);
        if self.running.len() <= RUNNING {
            return;
        }
        let Some(Placement { mut request, .. }) = self.running.pop_front() else { return };
        self.router.on_first_event(self.now, &mut request);
        self.router.on_events(self.now, &mut request, 1);
        self.router.on_events(self.now, &mut request, 4);
        self.router.finish(self.now, &request, SendOutcome::Answered);
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        self.router.tick(self.now);
    }

    /// Returns the next report of the relay.
    pub fn next_report(&mut self) -> PeerMessage {
        self.sequence += 1;
        let reads = self.reads(self.sequence);
        let report = sums(&self.upstreams, self.pending_tokens, self.sequence, reads);
        message(contact(1), ReportScope::Fleet, report)
    }

    pub fn apply(&mut self, message: PeerMessage) {
        let from = message.sender.address;
        assert!(self.router.on_peer_message(self.now, from, message).is_none());
    }

    fn apply_next_report(&mut self) {
        let report = self.next_report();
        self.apply(report);
        self.reported_at = self.now;
    }

    fn advance(&mut self) {
        self.now = self.now + REQUEST_INTERVAL;
        if self.now.since(self.ticked_at) >= TICK_INTERVAL {
            self.router.tick(self.now);
            self.ticked_at = self.now;
        }
        if self.now.since(self.reported_at) >= REPORT_INTERVAL {
            self.router.exchange_messages(self.now);
            self.apply_next_report();
        }
    }

    /// Returns the prompts that the other routers have sent to some upstreams since the last report.
    fn reads(&self, sequence: u64) -> Vec<PrefilledSegments> {
        let count = self.upstreams.len() as u64;
        let read = |index: u64| PrefilledSegments {
            upstream: self.upstreams[((sequence * 7 + index * 11) % count) as usize],
            parts: prompt(sequence * 5 + index).shared_segments().to_vec(),
        };
        (0..20).map(read).collect()
    }

    fn fill_caches(&mut self) {
        for (upstream, key) in self.upstreams.iter().enumerate() {
            for index in 0..CACHED_PROMPTS {
                let parts = prompt(upstream as u64 * 13 + index * 7).shared_segments().to_vec();
                let prefilled = PrefilledSegments { upstream: *key, parts };
                self.router.registry_mut().record_prefill(self.now, &prefilled);
            }
        }
    }
}

/// Returns a router that gets sums from the relay of its data centre.
fn member(now: Time) -> Router {
    for number in 0.. {
        let mut router = Router::new(settings(&format!("router-{number}")));
        router.start_exchange(contact(ROUTERS).address, &[]);
        for index in 0..ROUTERS - 1 {
            let greeting = PeerMessage {
                report: None,
                ..message(contact(index), ReportScope::Router, PeerReport::default())
            };
            router.on_peer_message(now, contact(index).address, greeting);
        }
        router.exchange_messages(now);
        if router.exchange().role() == ExchangeRole::Member {
            return router;
        }
    }
    unreachable!("one of them is not the relay")
}

/// Returns the sums over the reports of the other routers.
fn sums(
    upstreams: &[u32],
    pending_tokens: u64,
    sequence: u64,
    reads: Vec<PrefilledSegments>,
) -> PeerReport {
    let load = |(index, upstream): (usize, &u32)| UpstreamLoad {
        upstream: *upstream,
        in_flight: 8 + (index as u32 * 7 + sequence as u32) % 12,
        pending_tokens: pending_tokens + (index as u64 * 131 + sequence * 37) % 1_500,
        event_ms: 30 + (index as u32 * 5 + sequence as u32) % 10,
        unshared_tokens: 200,
        decode_tokens: 2_000 + u64::from(sequence as u32 % 1_000),
        memory_tokens: 20_000,
    };
    let window_tokens = TOKENS_PER_S * 4 / WORKSPACES;
    let usage = |index: u64| WorkspaceUsage {
        workspace: Shares::name_hash(&Name::new(&format!("w{index}"))),
        asked: window_tokens * (60 + index) / 100,
        admitted: window_tokens * (60 + index) / 200,
    };
    let flood = WorkspaceUsage {
        workspace: Shares::name_hash(&Name::new("flood")),
        asked: TOKENS_PER_S * 8,
        admitted: window_tokens * 12,
    };
    let service = Shares::name_hash(&Name::new("pool"));
    PeerReport {
        router: 1,
        started_ms: 1,
        sequence,
        routers: ROUTERS - 1,
        upstreams: upstreams.iter().enumerate().map(load).collect(),
        workspaces: (0..WORKSPACES).map(usage).chain([flood]).collect(),
        pressures: vec![ServicePressure {
            service,
            measured: ROUTERS - 1,
            per_mille: u64::from(ROUTERS - 1) * pending_tokens / 40,
            ..ServicePressure::default()
        }],
        reads,
        demands: vec![ServiceDemand { service, requests: 60_000, retries: 100 }],
        ..PeerReport::default()
    }
}

/// Returns the prompt number `index`: a segment of its route, ones that some prompts share, and an own
/// one.
fn prompt(index: u64) -> Prompt {
    let (route, number) = (index % ROUTES.len() as u64, index % PROMPTS);
    let mut segments = vec![(route, 900)];
    for depth in 0..PROMPT_SEGMENTS {
        segments.push((1_000 + (number >> (PROMPT_SEGMENTS - 1 - depth)), SEGMENT_TOKENS));
    }
    segments.push((1_000_000 + index, 150));
    let tokens = segments.iter().map(|(_, tokens)| tokens).sum();
    // Half of the prompts come with a hint.
    let output_hint = index.is_multiple_of(2).then_some(200);
    Prompt { output_hint, ..Prompt::new(&segments, tokens, 400) }
}

fn call(workspace: &str, index: u64) -> CallInfo {
    CallInfo {
        route: Name::new(ROUTES[(index % ROUTES.len() as u64) as usize]),
        service: Name::new("pool"),
        workspace: Some(Name::new(workspace)),
        version: None,
        goes_on: false,
        prompt: Some(prompt(index * 17)),
        identity: None,
        target: Duration::from_millis(1_400),
        remaining: Duration::from_secs(20),
        is_client_retry: false,
    }
}

fn settings(name: &str) -> RouterSettings {
    RouterSettings {
        name: Name::new(name),
        data_centre: Name::new("milano"),
        started_ms: 1,
        retries: RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
        cold_overshoot: 1.5,
        cold_allowance: 5.0,
        share_window: Duration::from_secs(4),
        uses_work_estimates: false,
        rollouts: None,
    }
}

fn table() -> RouteTable {
    let mut table =
        RouteTable { version: 1, tokens_per_s: Some(TOKENS_PER_S), ..RouteTable::default() };
    let engine = EngineSpec {
        slots: 64,
        cache_tokens: 400_000,
        tokens_per_event: 8,
        token_bytes: 20_000,
        link_mbps: 100_000.0,
    };
    let spec = ServiceSpec {
        connection_limit: 360,
        cold_start: Duration::from_secs(3),
        cold_per_s: Some(8.0),
        engine: Some(engine),
    };
    table.services.insert(Name::new("pool"), spec);
    for name in ROUTES {
        table.add_route("host", route(name));
    }
    table
}

fn route(name: &str) -> Route {
    Route {
        name: Name::new(name),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(20),
        target: Duration::from_millis(1_400),
        gap_limit: None,
        splits: vec![Split { service: Name::new("pool"), weight: 1 }],
        attempts: 2,
        is_open: false,
    }
}

fn entry(index: u16) -> UpstreamEntry {
    UpstreamEntry {
        id: Name::new(&format!("pool-{index}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, 1], 8_000 + index).into(),
        data_centre: Name::new(["milano", "torino", "genova", "verona"][usize::from(index) % 4]),
        version: Name::new("v1"),
        slots: 64,
        state: UpstreamState::Ready,
        cold: Duration::ZERO,
        started_ms: Some(1),
        sequence: None,
    }
}
