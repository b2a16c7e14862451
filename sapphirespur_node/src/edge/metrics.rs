//! Metrics of the router as text.
//!
//! Counters and histograms are kept; gauges are read when asked for. `cadence` sends to a collector
//! and cannot serve text, so `prometheus-client` takes its place here.

use std::cell::RefCell;
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use sapphirespur_core::collections::HashSet;

use super::shared::Shared;

/// Workspaces with histograms of their own; more share one.
const MAX_WORKSPACES: usize = 64;

/// Label of workspaces beyond that, and of requests without one.
const OTHER: &str = "other";

/// One label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Kind {
    kind: &'static str,
}

/// Workspace as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Workspace {
    workspace: String,
}

/// Service as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Service {
    service: String,
}

/// Upstreams of one service in one condition.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct UpstreamKind {
    service: String,
    condition: &'static str,
}

/// Metrics of the router.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    answers: Family<Kind, Counter>,
    declines: Family<Kind, Counter>,
    failed_sends: Family<Kind, Counter>,
    record_calls: Family<Kind, Counter>,
    resumed: Counter,
    log_left_out: Counter,
    labelled: RefCell<HashSet<String>>,
    first_event: Family<Workspace, Histogram>,
    total: Family<Workspace, Histogram>,
    pause: Histogram,
    upstreams: Family<UpstreamKind, Gauge>,
    version: Gauge,
    record_age: Gauge<f64, AtomicU64>,
    peers: Gauge,
    in_flight: Gauge,
    connections: Gauge,
    buffered: Gauge,
    repeats_left: Family<Service, Gauge>,
    kept_parts: Gauge,
}

impl Metrics {
    /// Creates metrics that count from zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sapphirespur");
        let metrics = Self {
            answers: Family::default(),
            declines: Family::default(),
            failed_sends: Family::default(),
            record_calls: Family::default(),
            resumed: Counter::default(),
            log_left_out: Counter::default(),
            labelled: RefCell::default(),
            first_event: Family::new_with_constructor(seconds),
            total: Family::new_with_constructor(seconds),
            pause: seconds(),
            upstreams: Family::default(),
            version: Gauge::default(),
            record_age: Gauge::default(),
            peers: Gauge::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            buffered: Gauge::default(),
            repeats_left: Family::default(),
            kept_parts: Gauge::default(),
            registry: Registry::default(),
        };

        let r = &mut registry;
        r.register("answers", "Answers to clients by status", metrics.answers.clone());
        r.register("declines", "Requests not placed, by reason", metrics.declines.clone());
        r.register("failed_sends", "Sends without an answer", metrics.failed_sends.clone());
        r.register("record_calls", "Calls to the record by result", metrics.record_calls.clone());
        r.register("resumed", "Streams that went on elsewhere", metrics.resumed.clone());
        r.register("log_left_out", "Log lines left out", metrics.log_left_out.clone());
        r.register("first_event_seconds", "Time to the head", metrics.first_event.clone());
        r.register("total_seconds", "Time to the end of answers", metrics.total.clone());
        r.register("pause_seconds", "Time between events", metrics.pause.clone());
        r.register("upstreams", "Upstreams by condition", metrics.upstreams.clone());
        r.register("config_version", "Configuration in force", metrics.version.clone());
        r.register("record_age_seconds", "Time since the record", metrics.record_age.clone());
        r.register("peers", "Other routers heard of", metrics.peers.clone());
        r.register("in_flight", "Requests being served", metrics.in_flight.clone());
        r.register("connections", "Connections of clients", metrics.connections.clone());
        r.register("buffered_bytes", "Bodies in memory", metrics.buffered.clone());
        r.register("repeats_left", "Repeats this router has left", metrics.repeats_left.clone());
        r.register("kept_parts", "Prompt parts taken for kept", metrics.kept_parts.clone());
        Self { registry, ..metrics }
    }

    /// Counts an answer to a client.
    pub fn answer(&self, status: u16) {
        let kind = match status {
            200..300 => "success",
            401 => "unknown_key",
            404 => "no_route",
            408 => "body_timed_out",
            400..500 => "bad_request",
            502 => "outcome_unknown",
            503 => "not_run",
            504 => "timed_out",
            _ => "upstream_failure",
        };
        self.answers.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a request that is not placed.
    pub fn decline(&self, kind: &'static str) {
        self.declines.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a send without an answer.
    pub fn failed_send(&self, kind: &'static str) {
        self.failed_sends.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a call to the platform's record.
    pub fn record_call(&self, is_good: bool) {
        let kind = if is_good { "good" } else { "failed" };
        self.record_calls.get_or_create(&Kind { kind }).inc();
    }

    /// Counts a stream that goes on elsewhere.
    pub fn resume(&self) {
        self.resumed.inc();
    }

    /// Counts log lines that were left out.
    pub fn leave_out(&self, lines: u64) {
        self.log_left_out.inc_by(lines);
    }

    /// Notes the time to the head of an answer, which comes with the first event of a stream.
    pub fn first_event(&self, workspace: Option<&str>, span: Duration) {
        let label = self.label(workspace);
        self.first_event.get_or_create(&label).observe(span.as_secs_f64());
    }

    /// Notes the time to the end of an answer.
    pub fn total(&self, workspace: Option<&str>, span: Duration) {
        let label = self.label(workspace);
        self.total.get_or_create(&label).observe(span.as_secs_f64());
    }

    /// Notes the time between two events of a stream.
    pub fn pause(&self, span: Duration) {
        self.pause.observe(span.as_secs_f64());
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be written.
    pub fn text(&self, cx: &Shared) -> Result<String, fmt::Error> {
        self.read_gauges(cx);

        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    /// Returns the label of a workspace, or the shared one when there are too many.
    fn label(&self, workspace: Option<&str>) -> Workspace {
        let name = workspace.unwrap_or(OTHER);
        let mut labelled = self.labelled.borrow_mut();
        let has_room = labelled.contains(name) || labelled.len() < MAX_WORKSPACES;
        let name = if has_room { name } else { OTHER };
        if !labelled.contains(name) {
            labelled.insert(name.to_owned());
        }

        Workspace { workspace: name.to_owned() }
    }

    fn read_gauges(&self, cx: &Shared) {
        let now = cx.now();
        let mut router = cx.router.borrow_mut();
        self.upstreams.clear();
        for upstream in router.registry().upstreams().iter() {
            let condition = upstream.condition(now).as_str();
            let service = upstream.entry.service.to_string();
            self.upstreams.get_or_create(&UpstreamKind { service, condition }).inc();
        }

        let kept = router.registry().upstreams().iter().map(|upstream| upstream.cache.len());
        self.kept_parts.set(kept.sum::<usize>() as i64);
        for (service, left) in router.retries_left(now) {
            let service = service.to_string();
            self.repeats_left.get_or_create(&Service { service }).set(left as i64);
        }

        self.version.set(router.registry().table().map_or(0, |table| table.version as i64));
        let age = cx.record_heard.get().map_or(f64::INFINITY, |at| now.since(at).as_secs_f64());
        self.record_age.set(age);
        self.peers.set(router.peers().count(now) as i64);
        self.in_flight.set(cx.in_flight.get() as i64);
        self.connections.set(cx.connections.get() as i64);
        self.buffered.set(cx.buffered.get() as i64);
    }
}

/// Times from 5 ms to 20 s.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}
