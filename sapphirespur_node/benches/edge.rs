//! Benchmarks of those parts of a request that need neither a socket nor the platform's wire format.

#![allow(missing_docs)]

use std::hint::black_box;
use std::io::{Write, sink};

use criterion::{Criterion, criterion_group, criterion_main};
use hyper::HeaderMap;
use hyper::header::{ACCEPT, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue};
use log::LevelFilter;
use sapphirespur_core::edge::{
    Contact, HeardContact, PeerMessage, PeerReport, ReportScope, UpstreamLoad, WorkspaceUsage,
};
use sapphirespur_node::edge::event_buffer::EventBuffer;
use sapphirespur_node::edge::hop_headers;
use sapphirespur_node::edge::log_budget::{LogBudget, LogClass};
use sapphirespur_node::edge::peer_link::{decode_datagram, encode_datagram};
use sapphirespur_node::logging;
use sapphirespur_node::settings::LogSettings;

/// Event as an upstream sends it.
const EVENT: &[u8] = b"id: 17\ndata: {\"token\":\" hello\",\"index\":17}\n\n";

/// Rows of a peer message: upstreams of a data centre in use, and backlogged workspaces.
const UPSTREAM_ROWS: u32 = 55;
const WORKSPACE_ROWS: u32 = 40;

fn bench_events(c: &mut Criterion) {
    c.bench_function("split one event", |b| {
        let mut events = EventBuffer::default();
        b.iter(|| {
            events.push(black_box(EVENT));
            events.next_event()
        })
    });
}

fn bench_headers(c: &mut Criterion) {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("host.example"));
    headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from_static("512"));
    headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
    c.bench_function("remove hop-by-hop headers", |b| {
        b.iter(|| {
            let mut headers = black_box(&headers).clone();
            hop_headers::remove_hop_by_hop(&mut headers);
            headers
        })
    });
}

fn bench_log(c: &mut Criterion) {
    let settings = LogSettings { level: LevelFilter::Info, file: None };
    let out = Box::new(sink()) as Box<dyn Write + Send>;
    logging::json_lines(&settings, "edge-torino-1").chain(out).apply().expect("the only logger");
    c.bench_function("log one line", |b| {
        b.iter(|| {
            log::info!(
                request = black_box("9f1351d49d62c184"),
                service = "pool",
                workspace = "wuzi740",
                reason = "over_share",
                share_percent = black_box(140_u64),
                pressure_percent = 97_u64,
                leeway_percent = 100_u64,
                version = 12_u64,
                expected_ms = 1_800_u64,
                target_ms = 1_000_u64,
                retry_after_ms = 350_u64;
                "request refused"
            );
        })
    });
    c.bench_function("leave one line out", |b| {
        let budget = LogBudget::default();
        while budget.try_acquire(LogClass::Failure) {}
        b.iter(|| budget.try_acquire(black_box(LogClass::Failure)))
    });
}

fn message() -> PeerMessage {
    let contact =
        Contact { router: 7, address: ([10, 0, 0, 1], 7_400).into(), data_centre: 0x51c1_e07a };
    let upstreams = (0..UPSTREAM_ROWS).map(|index| UpstreamLoad {
        upstream: index.wrapping_mul(0x9e37_79b1),
        in_flight: 3,
        pending_tokens: 900,
        event_ms: 41,
        unshared_tokens: 120,
        ..UpstreamLoad::default()
    });
    let workspaces = (0..WORKSPACE_ROWS).map(|index| WorkspaceUsage {
        workspace: index.wrapping_mul(0x85eb_ca6b),
        asked: 12_000,
        admitted: 9_000,
    });
    let report = PeerReport {
        router: 7,
        upstreams: upstreams.collect(),
        workspaces: workspaces.collect(),
        ..PeerReport::default()
    };
    PeerMessage {
        sender: contact,
        contacts: vec![HeardContact { contact, age_ms: 120 }; 16],
        wants_sums: true,
        seen: 9,
        report: Some((ReportScope::Router, report)),
        news: Default::default(),
    }
}

fn bench_peers(c: &mut Criterion) {
    let message = message();
    let bytes = encode_datagram(&message).expect("it is a message");
    c.bench_function("encode one peer message", |b| {
        b.iter(|| encode_datagram(black_box(&message)))
    });
    c.bench_function("decode one peer message", |b| b.iter(|| decode_datagram(black_box(&bytes))));
}

criterion_group!(benches, bench_events, bench_headers, bench_log, bench_peers);
criterion_main!(benches);
