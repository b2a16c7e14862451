//! Placement compared with a plain computation of the scores in random states.

use std::net::SocketAddr;

use sapphirespur_core::edge::{
    CallInfo, Condition, EngineSpec, InFlightRequest, PeerReport, Placement, Prompt, Router,
    SendOutcome, Upstream, UpstreamEntry, UpstreamLoad, UpstreamState,
};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::support::{START, call, entry, ms, settings, table};

const UPSTREAMS: u64 = 12;
const STEPS: u64 = 400;
const SEEDS: u64 = 12;

/// Largest difference of two scores, in milliseconds, that may be due to rounding.
const ROUNDING_MS: f64 = 1e-6;

/// Numbers that depend on a seed only.
struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.count += 1;
        stable_hash(&[&self.seed.to_le_bytes(), &self.count.to_le_bytes()]) % bound
    }
}

/// Score of one upstream, and what is expected of it.
struct Reference {
    id: Name,
    score: f64,
    prefill_tokens: u64,
    fetch_from: Option<SocketAddr>,
    delay_ms: f64,
}

fn engine() -> EngineSpec {
    let table = table(2, 100_000);
    let spec = table.services[&Name::new("pool")];
    let engine = spec.engine.expect("it has one");
    EngineSpec {
        slots: 8,
        cache_tokens: 30_000,
        token_bytes: 20_000,
        link_mbps: 20_000.0,
        ..engine
    }
}

fn router() -> Router {
    let mut router = Router::new(settings("r"));
    let mut table = table(2, 100_000);
    for spec in table.services.values_mut() {
        spec.engine = Some(engine());
    }
    assert!(router.registry_mut().apply_table(table));
    for index in 0..UPSTREAMS {
        router.registry_mut().apply_upstream(START, upstream(index, UpstreamState::Ready));
    }
    router
}

fn upstream(index: u64, state: UpstreamState) -> UpstreamEntry {
    let data_centre = Name::new(["milano", "torino", "genova"][index as usize % 3]);
    let entry = entry(&format!("u{index}"), 8_000 + index as u16);
    UpstreamEntry { data_centre, state, ..entry }
}

fn random_call(draws: &mut Draws) -> CallInfo {
    let (first, second) = (draws.below(4), 10 + draws.below(12));
    let segments = [(first, 1_500), (second, 800), (u64::MAX - draws.below(1_000), 100)];
    let prompt = Prompt::new(&segments, 2_400, 100);
    CallInfo { workspace: None, prompt: Some(prompt), target: ms(10_000), ..call("w", 0, 0, 0) }
}

/// Returns the scores of all upstreams that may get a call, each computed from the state alone.
fn references(now: Time, router: &Router, call: &CallInfo) -> Vec<Reference> {
    let upstreams = router.registry().upstreams();
    let known: Vec<&Upstream> = upstreams.iter().collect();
    let measured: Vec<f64> =
        known.iter().filter_map(|upstream| upstream.load.prefill_tokens_per_ms).collect();
    let mean_speed = if measured.is_empty() {
        router.registry().expected_prefill_speed(&call.service)
    } else {
        measured.iter().sum::<f64>() / measured.len() as f64
    };
    let available = known.iter().filter(|upstream| upstreams.accepts_requests(now, upstream));
    available.map(|upstream| reference(now, router, call, &known, upstream, mean_speed)).collect()
}

fn is_source(now: Time, upstream: &Upstream) -> bool {
    upstream.condition(now) == Condition::Warm
        && upstream.load.unresponsive_for(now) < ms(500)
        && upstream.load.failure_rate < 0.3
}

fn reference(
    now: Time,
    router: &Router,
    call: &CallInfo,
    known: &[&Upstream],
    upstream: &Upstream,
    mean_speed: f64,
) -> Reference {
    let prompt = call.prompt.as_ref().expect("it has one");
    let last = *prompt.shared_segments().last().expect("it has one");
    let weight = |upstream: &&&Upstream| {
        stable_hash(&[&last.chain.to_le_bytes(), &upstream.key.to_le_bytes()])
    };
    let owner = known.iter().max_by_key(weight).expect("there are some");
    let peers = router.peers().load(now, upstream.key);
    let load = &upstream.load;
    let in_flight = load.in_flight + peers.in_flight;
    let speed = load.prefill_tokens_per_ms.unwrap_or(mean_speed);

    let local = upstream.cache.cached_prefix_tokens(prompt);
    let sources = known.iter().filter(|source| is_source(now, source));
    let held = |source: &Upstream| source.cache.prefix_tokens(now, prompt).prefilled;
    let is_near = |source: &Upstream| source.entry.data_centre == upstream.entry.data_centre;
    let best = sources
        .max_by_key(|source| (held(source), is_near(source), source.key))
        .filter(|source| held(source) > local);
    let is_faster = |missing: u64| {
        engine().fetch_ms(missing).filter(|fetch_ms| *fetch_ms < missing as f64 / speed)
    };
    let is_owner_useful = owner.key != upstream.key
        && is_source(now, owner)
        && router.peers().load(now, owner.key).in_flight > 0
        && owner.cache.cached_prefix_tokens(prompt) == 0
        && is_faster(u64::from(prompt.shared_tokens()).saturating_sub(local)).is_some();
    let fetched = best.and_then(|source| Some((source, is_faster(held(source) - local)?)));
    let (cached, fetch_ms, fetch_from) = match fetched {
        Some((source, fetch_ms)) => (held(source), fetch_ms, Some(source.entry.address)),
        None => (local, 0.0, is_owner_useful.then_some(owner.entry.address)),
    };

    let prefill_tokens = u64::from(prompt.input_tokens) - cached;
    let queued_tokens = load.pending_tokens + peers.pending_tokens + prefill_tokens;
    let excess = (in_flight + 1).saturating_sub(engine().slots);
    let slot_wait_ms = f64::from(excess) * load.service_ms / f64::from(engine().slots);
    let delay_ms = queued_tokens as f64 / speed + slot_wait_ms + f64::from(in_flight) + fetch_ms;
    let (own_ms, peers_ms) = (load.event_interval_ms, f64::from(peers.event_ms));
    let interval_ms = if own_ms == 0.0 || peers_ms == 0.0 {
        own_ms.max(peers_ms)
    } else {
        let sum = own_ms * f64::from(load.in_flight) + peers_ms * f64::from(peers.in_flight);
        sum / f64::from(in_flight).max(1.0)
    };
    let events = f64::from(prompt.max_output_tokens) * 0.25 / 8.0;
    let is_unresponsive = load.unresponsive_for(now) > ms(1_500);
    let failures = load.failure_rate + f64::from(u8::from(is_unresponsive));
    let is_remote = upstream.entry.data_centre != Name::new("milano");
    let avoidance = failures * 4.0 + f64::from(u8::from(is_remote)) * 0.02;
    let redundant = u64::from(prompt.shared_tokens()).saturating_sub(cached) as f64 * 2.0;
    let is_first = owner.key == upstream.key && !upstream.cache.contains(last);
    let saved = f64::from(u8::from(is_first)) * f64::from(last.tokens) * 0.5;
    let score = delay_ms
        + events * interval_ms * 0.1
        + f64::from(in_flight) * prefill_tokens as f64 / speed * 0.05
        + (redundant - saved) / speed
        + avoidance * call.target.as_secs_f64() * 1_000.0;
    Reference { id: upstream.entry.id.clone(), score, prefill_tokens, fetch_from, delay_ms }
}

fn check(placement: &Placement, references: &[Reference], seed: u64, step: u64) {
    let chosen = references.iter().find(|reference| reference.id == placement.instance);
    let chosen = chosen.expect("it is available");
    let least = references.iter().map(|reference| reference.score).fold(f64::INFINITY, f64::min);
    assert!(chosen.score <= least + ROUNDING_MS, "{seed} {step}: {} {least}", chosen.score);
    assert_eq!(placement.fetch_from, chosen.fetch_from, "{seed} {step}");
    assert_eq!(placement.request.prefill_tokens, chosen.prefill_tokens, "{seed} {step}");
    let delay_ms = placement.expected_delay.as_secs_f64() * 1_000.0;
    assert!((delay_ms - chosen.delay_ms).abs() < 1e-3, "{seed} {step}");
}

/// Returns a report of another router with random work at each upstream.
fn random_report(draws: &mut Draws, sequence: u64) -> PeerReport {
    let mut load = |index: u64| UpstreamLoad {
        upstream: Upstream::hash_id(&Name::new(&format!("u{index}"))),
        in_flight: draws.below(12) as u32,
        pending_tokens: draws.below(4_000),
        event_ms: draws.below(60) as u32,
        unshared_tokens: draws.below(3_000) as u32,
        ..UpstreamLoad::default()
    };
    let upstreams = (0..UPSTREAMS).map(&mut load).collect();
    PeerReport {
        router: 7,
        started_ms: 1,
        sequence,
        routers: 1,
        upstreams,
        ..PeerReport::default()
    }
}

/// Changes the state in a random way.
fn change(
    draws: &mut Draws,
    now: Time,
    step: u64,
    router: &mut Router,
    running: &mut Vec<InFlightRequest>,
) {
    if step.is_multiple_of(20) {
        let report = random_report(draws, step + 1);
        assert!(router.apply_report(now, report));
        router.tick(now);
    }
    if step.is_multiple_of(50) {
        let states = [UpstreamState::Ready, UpstreamState::Draining];
        let state = states[draws.below(2) as usize];
        router.registry_mut().apply_upstream(now, upstream(draws.below(3), state));
    }
    if running.len() < 20 {
        return;
    }
    let mut request = running.swap_remove(draws.below(20) as usize);
    router.on_first_event(now, &mut request);
    router.on_events(now, &mut request, 1);
    router.on_events(now + ms(draws.below(200)), &mut request, 2);
    let outcomes = [SendOutcome::Abandoned, SendOutcome::Abandoned, SendOutcome::Failed];
    router.finish(now, &request, outcomes[draws.below(3) as usize]);
}

// Guards against a faster way of scoring, selecting or finding sources of segments that decides
// differently.
#[test]
fn requests_are_placed_at_the_least_score() {
    for seed in 0..SEEDS {
        let (mut draws, mut router, mut running) = (Draws { seed, count: 0 }, router(), Vec::new());
        let mut now = START;
        for step in 0..STEPS {
            now = now + ms(draws.below(30));
            change(&mut draws, now, step, &mut router, &mut running);
            let call = random_call(&mut draws);
            let references = references(now, &router, &call);
            let placement = router.admit(now, &call).expect("the target is far");
            check(&placement, &references, seed, step);
            running.push(placement.request);
        }
    }
}
