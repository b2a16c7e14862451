//! Discrete-event simulation of a deployment, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sapphirespur_core::edge::{
    CallInfo, EngineSpec, InFlightRequest, Placement, RetryLimits, Route, RouteKind, RouteTable,
    Router, RouterSettings, SendOutcome, ServiceSpec, Split, UpstreamEntry, UpstreamState,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::placement::engine::{Engine, EngineModel, Progress};
use crate::placement::outcome::{Outcome, RunSummary};
use crate::placement::policy::Policy;
use crate::placement::workload::{Request, RequestKind, Workload};
use crate::rng::Rng;

/// Interval between two reports of a router, in microseconds.
const REPORT_INTERVAL_US: u64 = 150_000;

/// Routers, engines and usual traffic of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Parameters of the engines.
    pub model: EngineModel,
    /// Factors on the time of a step, which the engines get in turn.
    pub step_time_factors: Vec<f64>,
    /// Configured throughput of all engines together, in tokens per second.
    pub tokens_per_s: u64,
    /// Whether the routers estimate the work of requests.
    pub uses_work_estimates: bool,
    /// Longest time between two events of a stream, beyond which it counts as late.
    pub gap_limit: Duration,
    /// Kinds of request, at the usual rates.
    pub request_kinds: Vec<RequestKind>,
}

impl Deployment {
    /// Returns the deployment with `factor` times the routers, engines and load.
    pub fn scaled(&self, factor: usize) -> Self {
        let request_kinds = self.request_kinds.iter().map(|kind| RequestKind {
            requests_per_s: kind.requests_per_s * factor as f64,
            ..*kind
        });

        Self {
            routers: self.routers * factor,
            engines: self.engines * factor,
            tokens_per_s: self.tokens_per_s * factor as u64,
            request_kinds: request_kinds.collect(),
            ..self.clone()
        }
    }

    /// Returns a deployment of the Agenzia's size, with the figures of its data sheet.
    pub fn agenzia() -> Self {
        let kind = |route,
                    requests_per_s,
                    shared_tokens,
                    shared_variants,
                    own_tokens,
                    output_tokens,
                    target_ms,
                    timeout_ms| RequestKind {
            route,
            requests_per_s,
            shared_tokens,
            shared_variants,
            own_tokens,
            output_tokens,
            target_latency: Duration::from_millis(target_ms),
            timeout: Duration::from_millis(timeout_ms),
        };
        Self {
            routers: 4,
            engines: 18,
            model: EngineModel {
                slots: 64,
                cache_tokens: 402_395,
                step_us: 2_600.0,
                step_us_per_request: 120.0,
                prefill_tokens_per_us: 0.0482,
                chunk_tokens: 2_048,
                tokens_per_event: 8,
                token_bytes: 18_432,
                link_mbps: 740_000.0,
            },
            step_time_factors: vec![1.0, 1.0, 1.3],
            tokens_per_s: 320_000,
            uses_work_estimates: false,
            gap_limit: Duration::from_millis(200),
            request_kinds: vec![
                kind("dossier", 48.5, [512, 4_870], [3, 76], 6_610, (384, 1_120), 1_200, 12_000),
                kind("tuning-note", 86.3, [119, 79], [20, 305], 628, (288, 952), 1_000, 10_000),
                kind("label-check", 74.1, [341, 227], [20, 262], 1_800, (24, 88), 2_000, 3_000),
            ],
        }
    }

    /// Returns the route table: one route for each kind of request, all to one service.
    fn route_table(&self) -> RouteTable {
        let mut table = RouteTable {
            version: 1,
            tokens_per_s: Some(self.tokens_per_s),
            ..RouteTable::default()
        };
        let engine = EngineSpec {
            slots: self.model.slots as u32,
            cache_tokens: self.model.cache_tokens,
            tokens_per_event: self.model.tokens_per_event,
            token_bytes: self.model.token_bytes,
            link_mbps: self.model.link_mbps,
        };
        let spec = ServiceSpec {
            connection_limit: 360,
            cold_start: Duration::from_secs(3),
            cold_per_s: Some(8.9),
            engine: Some(engine),
        };
        table.services.insert(Name::new("pool"), spec);
        for kind in &self.request_kinds {
            let route = Route {
                name: Name::new(kind.route),
                path_prefix: format!("/{}/", kind.route),
                kind: RouteKind::Stream { resumable: false },
                timeout: kind.timeout,
                target: kind.target_latency,
                gap_limit: Some(self.gap_limit),
                splits: vec![Split { service: Name::new("pool"), weight: 1 }],
                attempts: 1,
                is_open: false,
            };
            table.add_route("host", route);
        }
        table
    }

    /// Returns the upstream entries of all engines; the port of entry `index` is `index + 1`.
    fn upstream_entries(&self) -> Vec<UpstreamEntry> {
        let entry = |index: usize| UpstreamEntry {
            id: Name::new(&format!("u{index}")),
            service: Name::new("pool"),
            address: ([10, 0, 0, 1], index as u16 + 1).into(),
            data_centre: Name::new("milano"),
            version: Name::new("v1"),
            slots: self.model.slots as u32,
            state: UpstreamState::Ready,
            cold: Duration::ZERO,
            started_ms: Some(1),
            sequence: None,
        };
        (0..self.engines).map(entry).collect()
    }

    /// Returns the settings of the router with an index.
    fn router_settings(&self, index: usize) -> RouterSettings {
        RouterSettings {
            name: Name::new(&format!("r{index}")),
            data_centre: Name::new("milano"),
            started_ms: 1,
            retries: RetryLimits { ratio: 0.2, allowance: 52.0, window: Duration::from_secs(10) },
            cold_overshoot: 1.5,
            cold_allowance: 5.0,
            share_window: Duration::from_secs(4),
            uses_work_estimates: self.uses_work_estimates,
            rollouts: None,
        }
    }
}

/// Event of the simulation. Events at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request, given by its index, arrives.
    Arrival(usize),
    /// An engine, given by its index, starts its next step.
    Step(usize),
    /// All routers exchange reports.
    Report,
    /// The timeout of a request, given by its index, has passed.
    Timeout(usize),
}

/// Request that was placed on an engine.
#[derive(Clone, Debug)]
struct PlacedRequest {
    /// Index of the engine.
    engine: usize,
    /// The edge router's record of the request; absent with the baseline policies.
    in_flight: Option<InFlightRequest>,
    /// Time of the first event, when there was one.
    first_event_us: Option<u64>,
    /// Time of the latest event, and the longest time between two.
    last_event_us: u64,
    longest_pause_us: u64,
    /// Whether the request has completed or timed out.
    is_finished: bool,
}

/// State of a run; requests, routers and engines are referred to by index.
struct Simulation<'a> {
    deployment: &'a Deployment,
    workload: &'a Workload,
    policy: Policy,
    requests: Vec<Request>,
    /// By request; absent before its arrival and when it was declined.
    placed: Vec<Option<PlacedRequest>>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    /// By engine: whether its next step is in the queue.
    is_stepping: Vec<bool>,
    /// By engine: requests in flight from all routers.
    in_flight: Vec<u32>,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    summary: RunSummary,
    /// Number of arrivals so far.
    arrivals: usize,
}

/// Runs a workload on a deployment until all its requests have ended; the same seed leads to the
/// same run.
pub fn run(deployment: &Deployment, workload: &Workload, policy: Policy, seed: u64) -> RunSummary {
    let requests = workload.generate(deployment.routers, &mut Rng::new(seed));
    let table = deployment.route_table();
    let entries = deployment.upstream_entries();
    let step_time_factor =
        |index: usize| deployment.step_time_factors[index % deployment.step_time_factors.len()];
    let simulation = Simulation {
        deployment,
        workload,
        policy,
        placed: vec![None; requests.len()],
        routers: (0..deployment.routers)
            .map(|index| Policy::new_router(deployment.router_settings(index), &table, &entries))
            .collect(),
        engines: (0..deployment.engines)
            .map(|index| Engine::new(deployment.model, step_time_factor(index)))
            .collect(),
        is_stepping: vec![false; deployment.engines],
        in_flight: vec![0; deployment.engines],
        queue: BinaryHeap::new(),
        summary: RunSummary::new(workload.workspaces, workload.duration),
        arrivals: 0,
        requests,
    };
    simulation.run()
}

impl Simulation<'_> {
    /// Handles all events in the order of their time.
    fn run(mut self) -> RunSummary {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].arrival_us, Event::Arrival(index));
        }
        self.schedule(REPORT_INTERVAL_US, Event::Report);
        while let Some(Reverse((now_us, event))) = self.queue.pop() {
            match event {
                Event::Arrival(request) => self.on_arrival(now_us, request),
                Event::Step(engine) => self.on_step(now_us, engine),
                Event::Report => self.exchange_reports(now_us),
                Event::Timeout(request) => self.on_timeout(now_us, request),
            }
        }

        for engine in &self.engines {
            self.summary.shared_totals.0 += engine.shared_tokens;
            self.summary.shared_totals.1 += engine.shared_prefilled_tokens;
        }
        self.summary
    }

    /// Adds an event to the queue.
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.queue.push(Reverse((at_us, event)));
    }

    fn request_kind(&self, request: usize) -> &RequestKind {
        &self.deployment.request_kinds[self.requests[request].kind]
    }

    /// Places a request and hands it to its engine, or records that it was declined.
    fn on_arrival(&mut self, now_us: u64, index: usize) {
        let request = self.requests[index].clone();
        let kind = *self.request_kind(index);
        let call = CallInfo {
            route: Name::new(kind.route),
            service: Name::new("pool"),
            workspace: Some(Name::new(&format!("w{}", request.workspace))),
            version: None,
            goes_on: false,
            prompt: Some(request.prompt.clone()),
            identity: None,
            target: kind.target_latency,
            remaining: kind.timeout,
            is_client_retry: false,
        };
        self.arrivals += 1;
        let router = &mut self.routers[request.router];
        let placement =
            self.policy.place(router_time(now_us), router, &call, &self.in_flight, self.arrivals);
        let Some((engine, placement)) = placement else {
            self.record(index, Outcome::Declined);
            return;
        };

        let source = placement.as_ref().and_then(|placement| placement.fetch_from);
        if let Some(source) = source {
            // Modelled as immediate: a transfer takes much less time than a step.
            let segments =
                self.engines[usize::from(source.port()) - 1].cached_prefix(&request.prompt);
            self.engines[engine].insert_transferred(&segments);
        }
        self.in_flight[engine] += 1;
        self.placed[index] = Some(PlacedRequest {
            engine,
            in_flight: placement.map(|placement: Placement| placement.request),
            first_event_us: None,
            last_event_us: 0,
            longest_pause_us: 0,
            is_finished: false,
        });
        self.engines[engine].enqueue(index, request.prompt, request.output_tokens);
        self.schedule(now_us + kind.timeout.as_micros() as u64, Event::Timeout(index));
        self.start_stepping(now_us, engine);
    }

    /// Schedules the next step of an engine that has work and no step in the queue.
    fn start_stepping(&mut self, now_us: u64, engine: usize) {
        if !self.is_stepping[engine] && !self.engines[engine].is_idle() {
            self.is_stepping[engine] = true;
            self.schedule(now_us, Event::Step(engine));
        }
    }

    /// Runs one step of an engine; its events have the time of the end of the step.
    fn on_step(&mut self, now_us: u64, engine: usize) {
        let (step_us, progress) = self.engines[engine].step();
        let end_us = now_us + step_us;
        for Progress::Event { request, is_last } in progress {
            self.on_event(end_us, request, is_last);
        }
        if self.engines[engine].is_idle() {
            self.is_stepping[engine] = false;
        } else {
            self.schedule(end_us, Event::Step(engine));
        }
    }

    /// Reports an event of an answer to its router, and records the outcome with the last event.
    fn on_event(&mut self, now_us: u64, index: usize, is_last: bool) {
        let router = self.requests[index].router;
        let Some(placed) = self.placed[index].as_mut().filter(|placed| !placed.is_finished) else {
            return;
        };
        if let Some(in_flight) = &mut placed.in_flight {
            self.routers[router].on_first_event(router_time(now_us), in_flight);
            self.routers[router].on_events(router_time(now_us), in_flight, 1);
        }
        let first_event_us = *placed.first_event_us.get_or_insert(now_us);
        if first_event_us < now_us {
            let pause_us = now_us - placed.last_event_us;
            placed.longest_pause_us = placed.longest_pause_us.max(pause_us);
        }
        placed.last_event_us = now_us;
        let longest_pause = Duration::from_micros(placed.longest_pause_us);
        if !is_last {
            return;
        }

        let time_to_first_event =
            Duration::from_micros(first_event_us - self.requests[index].arrival_us);
        self.summary.first_events.push(time_to_first_event);
        let is_in_time = time_to_first_event <= self.request_kind(index).target_latency;
        let is_paused = longest_pause > self.deployment.gap_limit;
        self.summary.paused_streams += u32::from(is_in_time && is_paused);
        self.finish(now_us, index, SendOutcome::Answered);
        self.record(index, if is_in_time { Outcome::InTime } else { Outcome::Late });
    }

    /// Abandons a request that has not finished.
    fn on_timeout(&mut self, now_us: u64, index: usize) {
        if self.placed[index].as_ref().is_some_and(|placed| !placed.is_finished) {
            self.finish(now_us, index, SendOutcome::Abandoned);
            self.record(index, Outcome::Failed);
        }
    }

    /// Removes a placed request from its engine and reports its outcome to its router.
    fn finish(&mut self, now_us: u64, index: usize, outcome: SendOutcome) {
        let router = self.requests[index].router;
        let Some(placed) = &mut self.placed[index] else { return };
        placed.is_finished = true;
        self.in_flight[placed.engine] -= 1;
        self.engines[placed.engine].remove_request(index);
        if let Some(in_flight) = &placed.in_flight {
            self.routers[router].finish(router_time(now_us), in_flight, outcome);
        }
    }

    /// Records the outcome of a request. Its cost is its input tokens plus twice its output tokens.
    fn record(&mut self, index: usize, outcome: Outcome) {
        let request = &self.requests[index];
        let cost_tokens =
            u64::from(request.prompt.input_tokens) + 2 * u64::from(request.output_tokens);
        self.summary.record(request.workspace, cost_tokens, outcome);
    }

    /// Sends the report of each router to all others, and schedules the next exchange.
    fn exchange_reports(&mut self, now_us: u64) {
        let now = router_time(now_us);
        let reports: Vec<_> = self.routers.iter_mut().map(|router| router.report(now)).collect();
        for report in &reports {
            self.summary.report_totals.0 += 1;
            // Encoding a report cannot fail.
            self.summary.report_totals.1 +=
                postcard::to_stdvec(report).map_or(0, |b| b.len() as u64);
        }
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (other, report) in reports.iter().enumerate() {
                if other != index {
                    router.apply_report(now, report.clone());
                }
            }
            router.tick(now);
        }
        if now_us < self.workload.duration.as_micros() as u64 {
            self.schedule(now_us + REPORT_INTERVAL_US, Event::Report);
        }
    }
}

/// Returns the routers' time for a simulation time; the routers' clock does not start at zero.
fn router_time(us: u64) -> Time {
    Time::from_micros(1_000_000 + us)
}
