//! Run of a deployment in virtual time.

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

/// Pause between two reports of a router.
const REPORT_US: u64 = 150_000;

/// Deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Figures of the engines.
    pub model: EngineModel,
    /// Factors on the time of steps, in turn.
    pub speeds: Vec<f64>,
    /// Tokens that all engines are said to give in a second.
    pub tokens_per_s: u64,
    /// Kinds of request.
    pub request_kinds: Vec<RequestKind>,
}

impl Deployment {
    /// Returns the deployment with so many times as many routers and engines, and as much load.
    pub fn scaled(&self, factor: usize) -> Self {
        let kinds = self.request_kinds.iter().map(|kind| RequestKind {
            requests_per_s: kind.requests_per_s * factor as f64,
            ..*kind
        });

        Self {
            routers: self.routers * factor,
            engines: self.engines * factor,
            tokens_per_s: self.tokens_per_s * factor as u64,
            request_kinds: kinds.collect(),
            ..self.clone()
        }
    }

    /// Returns a deployment of the Agenzia's size, with its sheet's figures.
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
                memory_tokens: 402_395,
                step_us: 2_600.0,
                step_us_per_request: 120.0,
                tokens_per_us: 0.0482,
                chunk_tokens: 2_048,
                tokens_per_event: 8,
                token_bytes: 18_432,
                link_mbps: 740_000.0,
            },
            speeds: vec![1.0, 1.0, 1.3],
            tokens_per_s: 320_000,
            request_kinds: vec![
                kind("dossier", 48.5, [512, 4_870], [3, 76], 6_610, (384, 1_120), 1_200, 12_000),
                kind("tuning-note", 86.3, [119, 79], [20, 305], 628, (288, 952), 1_000, 10_000),
                kind("label-check", 74.1, [341, 227], [20, 262], 1_800, (24, 88), 2_000, 3_000),
            ],
        }
    }

    fn table(&self) -> RouteTable {
        let mut table = RouteTable {
            version: 1,
            tokens_per_s: Some(self.tokens_per_s),
            ..RouteTable::default()
        };
        let engine = EngineSpec {
            slots: self.model.slots as u32,
            cache_tokens: self.model.memory_tokens,
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
                splits: vec![Split { service: Name::new("pool"), weight: 1 }],
                attempts: 1,
                is_open: false,
            };
            table.add_route("host", route);
        }
        table
    }

    fn entries(&self) -> Vec<UpstreamEntry> {
        let entry = |index: usize| UpstreamEntry {
            id: Name::new(&format!("u{index}")),
            service: Name::new("pool"),
            address: ([10, 0, 0, 1], index as u16 + 1).into(),
            data_centre: Name::new("milano"),
            slots: self.model.slots as u32,
            state: UpstreamState::Ready,
            cold: Duration::ZERO,
            started_ms: Some(1),
        };
        (0..self.engines).map(entry).collect()
    }

    fn settings(&self, index: usize) -> RouterSettings {
        RouterSettings {
            name: Name::new(&format!("r{index}")),
            data_centre: Name::new("milano"),
            started_ms: 1,
            retries: RetryLimits { ratio: 0.2, allowance: 52, window: Duration::from_secs(10) },
            cold_overshoot: 1.5,
            cold_allowance: 5.0,
            share_window: Duration::from_secs(4),
        }
    }
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Step(usize),
    Report,
    GiveUp(usize),
}

/// Request on its way.
#[derive(Clone, Debug)]
struct Flight {
    engine: usize,
    ticket: Option<InFlightRequest>,
    first_us: Option<u64>,
    is_over: bool,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    workload: &'a Workload,
    policy: Policy,
    requests: Vec<Request>,
    flights: Vec<Option<Flight>>,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    is_stepping: Vec<bool>,
    in_flight: Vec<u32>,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    summary: RunSummary,
    turn: usize,
}

/// Runs a load on a deployment.
pub fn run(deployment: &Deployment, workload: &Workload, policy: Policy, seed: u64) -> RunSummary {
    let requests = workload.generate(deployment.routers, &mut Rng::new(seed));
    let table = deployment.table();
    let entries = deployment.entries();
    let speed = |index: usize| deployment.speeds[index % deployment.speeds.len()];
    let simulation = Simulation {
        deployment,
        workload,
        policy,
        flights: vec![None; requests.len()],
        routers: (0..deployment.routers)
            .map(|index| Policy::router(deployment.settings(index), &table, &entries))
            .collect(),
        engines: (0..deployment.engines)
            .map(|index| Engine::new(deployment.model, speed(index)))
            .collect(),
        is_stepping: vec![false; deployment.engines],
        in_flight: vec![0; deployment.engines],
        queue: BinaryHeap::new(),
        summary: RunSummary::new(workload.workspaces, workload.duration),
        turn: 0,
        requests,
    };
    simulation.run()
}

impl Simulation<'_> {
    fn run(mut self) -> RunSummary {
        for index in 0..self.requests.len() {
            self.push(self.requests[index].at_us, Event::Arrive(index));
        }
        self.push(REPORT_US, Event::Report);
        while let Some(Reverse((now_us, event))) = self.queue.pop() {
            match event {
                Event::Arrive(request) => self.arrive(now_us, request),
                Event::Step(engine) => self.step(now_us, engine),
                Event::Report => self.report(now_us),
                Event::GiveUp(request) => self.give_up(now_us, request),
            }
        }

        for engine in &self.engines {
            self.summary.shared.0 += engine.shared_tokens;
            self.summary.shared.1 += engine.shared_read_tokens;
        }
        self.summary
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.queue.push(Reverse((at_us, event)));
    }

    fn kind(&self, request: usize) -> &RequestKind {
        &self.deployment.request_kinds[self.requests[request].kind]
    }

    fn arrive(&mut self, now_us: u64, index: usize) {
        let request = self.requests[index].clone();
        let kind = *self.kind(index);
        let call = CallInfo {
            route: Name::new(kind.route),
            service: Name::new("pool"),
            workspace: Some(Name::new(&format!("w{}", request.workspace))),
            prompt: Some(request.prompt.clone()),
            target: kind.target_latency,
            remaining: kind.timeout,
            is_client_retry: false,
        };
        self.turn += 1;
        let router = &mut self.routers[request.router];
        let placed = self.policy.place(time(now_us), router, &call, &self.in_flight, self.turn);
        let Some((engine, placement)) = placed else {
            self.end(index, Outcome::Refused);
            return;
        };

        let source = placement.as_ref().and_then(|placement| placement.fetch_from);
        if let Some(source) = source {
            // A hand-over takes much less time than a step.
            let parts = self.engines[usize::from(source.port()) - 1].kept_parts(&request.prompt);
            self.engines[engine].take_over(&parts);
        }
        self.in_flight[engine] += 1;
        self.flights[index] = Some(Flight {
            engine,
            ticket: placement.map(|placement: Placement| placement.request),
            first_us: None,
            is_over: false,
        });
        self.engines[engine].take(index, request.prompt, request.output_tokens);
        self.push(now_us + kind.timeout.as_micros() as u64, Event::GiveUp(index));
        self.wake(now_us, engine);
    }

    fn wake(&mut self, now_us: u64, engine: usize) {
        if !self.is_stepping[engine] && !self.engines[engine].is_idle() {
            self.is_stepping[engine] = true;
            self.push(now_us, Event::Step(engine));
        }
    }

    /// Runs one step; what it brings comes at its end.
    fn step(&mut self, now_us: u64, engine: usize) {
        let (span_us, progress) = self.engines[engine].step();
        let end_us = now_us + span_us;
        for Progress::Event { request, is_last } in progress {
            self.on_event(end_us, request, is_last);
        }
        if self.engines[engine].is_idle() {
            self.is_stepping[engine] = false;
        } else {
            self.push(end_us, Event::Step(engine));
        }
    }

    fn on_event(&mut self, now_us: u64, index: usize, is_last: bool) {
        let router = self.requests[index].router;
        let Some(flight) = self.flights[index].as_mut().filter(|flight| !flight.is_over) else {
            return;
        };
        if let Some(ticket) = &mut flight.ticket {
            self.routers[router].on_first_event(time(now_us), ticket);
            self.routers[router].on_events(time(now_us), ticket, 1);
        }
        let first_us = *flight.first_us.get_or_insert(now_us);
        if !is_last {
            return;
        }

        let waited = Duration::from_micros(first_us - self.requests[index].at_us);
        self.summary.first_events.push(waited);
        let is_in_time = waited <= self.kind(index).target_latency;
        self.leave(now_us, index, SendOutcome::Answered);
        self.end(index, if is_in_time { Outcome::InTime } else { Outcome::Late });
    }

    fn give_up(&mut self, now_us: u64, index: usize) {
        if self.flights[index].as_ref().is_some_and(|flight| !flight.is_over) {
            self.leave(now_us, index, SendOutcome::Abandoned);
            self.end(index, Outcome::Failed);
        }
    }

    fn leave(&mut self, now_us: u64, index: usize, outcome: SendOutcome) {
        let router = self.requests[index].router;
        let Some(flight) = &mut self.flights[index] else { return };
        flight.is_over = true;
        self.in_flight[flight.engine] -= 1;
        self.engines[flight.engine].drop_request(index);
        if let Some(ticket) = &flight.ticket {
            self.routers[router].finish(time(now_us), ticket, outcome);
        }
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let request = &self.requests[index];
        let tokens = u64::from(request.prompt.input_tokens) + 2 * u64::from(request.output_tokens);
        self.summary.record(request.workspace, tokens, outcome);
    }

    fn report(&mut self, now_us: u64) {
        let now = time(now_us);
        let reports: Vec<_> = self.routers.iter_mut().map(|router| router.report(now)).collect();
        for report in &reports {
            self.summary.reports.0 += 1;
            // A report always has an encoding.
            self.summary.reports.1 += postcard::to_stdvec(report).map_or(0, |b| b.len() as u64);
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
            self.push(now_us + REPORT_US, Event::Report);
        }
    }
}

/// Returns the time on the routers' clock, which does not start at zero.
fn time(us: u64) -> Time {
    Time::from_micros(1_000_000 + us)
}
