//! Processor time of the decisions of an edge router.

#![allow(missing_docs)]

mod scene;

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sapphirespur_core::edge::{DeclineReason, PeerMessage};

use crate::scene::Scene;

/// Upstreams of a service on one of today's large sites, and of all its services.
const UPSTREAMS: [u16; 2] = [55, 180];

/// Placing a request, with the state between requests kept up outside of the measured time.
fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide");
    for upstreams in UPSTREAMS {
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            let mut scene = Scene::new(upstreams, scene::CALM_TOKENS);
            b.iter_custom(|count| time_decisions(&mut scene, count));
        });
        group.bench_function(BenchmarkId::new("work estimates", upstreams), |b| {
            let mut scene = Scene::new(upstreams, scene::CALM_TOKENS);
            scene.estimate_work();
            b.iter_custom(|count| time_decisions(&mut scene, count));
        });
    }
    group.finish();
}

fn time_decisions(scene: &mut Scene, count: u64) -> Duration {
    let mut total = Duration::ZERO;
    for _ in 0..count {
        let call = scene.next_call();
        let start = Instant::now();
        let admission = black_box(scene.admit(&call));
        total += start.elapsed();
        scene.keep(admission.expect("the upstreams are not busy"));
    }
    total
}

/// Declining a request of a workspace far above its share while upstreams are busy.
fn refuse(c: &mut Criterion) {
    let mut group = c.benchmark_group("refuse");
    for upstreams in UPSTREAMS {
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            let mut scene = Scene::new(upstreams, scene::BUSY_TOKENS);
            b.iter_custom(|count| {
                let mut total = Duration::ZERO;
                for _ in 0..count {
                    let call = scene.next_flood_call();
                    let start = Instant::now();
                    let admission = black_box(scene.admit(&call));
                    total += start.elapsed();
                    let reason = admission.err().map(|decline| decline.reason);
                    assert_eq!(reason, Some(DeclineReason::OverShare));
                }
                total
            });
        });
    }
    group.finish();
}

/// Work that does not belong to a single request.
fn control(c: &mut Criterion) {
    let mut group = c.benchmark_group("control");
    group.bench_function("decode a message", |b| {
        let bytes = scene::encoded_message(180);
        b.iter(|| postcard::from_bytes::<PeerMessage>(black_box(&bytes)));
    });
    group.bench_function("apply a report", |b| {
        let mut scene = Scene::new(180, scene::CALM_TOKENS);
        b.iter_custom(|count| {
            let mut total = Duration::ZERO;
            for _ in 0..count {
                let report = scene.next_report();
                let start = Instant::now();
                scene.apply(report);
                total += start.elapsed();
            }
            total
        });
    });
    group.bench_function("answer a member", |b| {
        let mut relay = scene::Relay::new(180);
        b.iter(|| relay.answer_member());
    });
    group.bench_function("tick", |b| {
        let mut scene = Scene::new(180, scene::CALM_TOKENS);
        b.iter(|| scene.tick());
    });
    group.finish();
}

criterion_group!(benches, decide, refuse, control);
criterion_main!(benches);
