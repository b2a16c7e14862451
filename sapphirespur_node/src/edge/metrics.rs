//! Metrics of the router in the OpenMetrics text format.
//!
//! Counters and histograms are updated as events happen, gauges when the metrics are encoded.
//! `cadence` pushes to a collector and cannot serve text, so `prometheus-client` is used here.

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

use super::buffers::BufferKind;
use super::retry_metrics::RetryMetrics;
use super::rollout_metrics::RolloutMetrics;
use super::shared::Shared;

/// Workspaces with histograms of their own; all others share one, which bounds the label values.
const MAX_LABELLED_WORKSPACES: usize = 64;

/// Label value of workspaces beyond [`MAX_LABELLED_WORKSPACES`] and of requests without a
/// workspace.
const OTHER_WORKSPACES: &str = "other";

/// Kind of a counted event as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

impl KindLabel {
    /// Creates the label of a call by its result.
    fn result(is_success: bool) -> Self {
        Self { kind: if is_success { "good" } else { "failed" } }
    }
}

/// Name of a workspace, or [`OTHER_WORKSPACES`], as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WorkspaceLabel {
    workspace: String,
}

/// Name of a route as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabel {
    route: String,
}

/// Service and condition of upstreams as labels.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct UpstreamLabels {
    service: String,
    condition: &'static str,
}

/// Registry of the router's metrics, with a handle to each.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    responses: Family<KindLabel, Counter>,
    declines: Family<KindLabel, Counter>,
    failed_sends: Family<KindLabel, Counter>,
    registry_calls: Family<KindLabel, Counter>,
    relay_calls: Family<KindLabel, Counter>,
    rollouts: RolloutMetrics,
    listing_gaps: Counter,
    ignored_entries: Counter,
    resumed_streams: Counter,
    taken_up_streams: Family<KindLabel, Counter>,
    unrecorded_streams: Counter,
    record_wait: Histogram,
    suppressed_log_lines: Counter,
    labelled_workspaces: RefCell<HashSet<String>>,
    first_event: Family<WorkspaceLabel, Histogram>,
    total: Family<WorkspaceLabel, Histogram>,
    event_gap: Histogram,
    upstreams: Family<UpstreamLabels, Gauge>,
    config_version: Gauge,
    registry_age: Gauge<f64, AtomicU64>,
    peers: Gauge,
    in_flight: Gauge,
    connections: Gauge,
    buffered_bytes: Gauge,
    held_bytes: Family<KindLabel, Gauge>,
    highest_held_bytes: Family<KindLabel, Gauge>,
    unread_bytes: Gauge,
    unread_responses: Family<KindLabel, Counter>,
    retries: RetryMetrics,
    cached_segments: Gauge,
    quarantined_segments: Gauge,
    quarantined_requests: Gauge,
    limited_upstreams: Gauge,
    reporting_upstreams: Gauge,
    full_upstreams: Gauge,
    malformed_loads: Counter,
    malformed_hints: Counter,
    cost_errors: Family<RouteLabel, Histogram>,
}

impl Metrics {
    /// Creates and registers all metrics, at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sapphirespur");
        let metrics = Self {
            responses: Family::default(),
            declines: Family::default(),
            failed_sends: Family::default(),
            registry_calls: Family::default(),
            relay_calls: Family::default(),
            rollouts: RolloutMetrics::default(),
            listing_gaps: Counter::default(),
            ignored_entries: Counter::default(),
            resumed_streams: Counter::default(),
            taken_up_streams: Family::default(),
            unrecorded_streams: Counter::default(),
            record_wait: duration_histogram(),
            suppressed_log_lines: Counter::default(),
            labelled_workspaces: RefCell::default(),
            first_event: Family::new_with_constructor(duration_histogram),
            total: Family::new_with_constructor(duration_histogram),
            event_gap: duration_histogram(),
            upstreams: Family::default(),
            config_version: Gauge::default(),
            registry_age: Gauge::default(),
            peers: Gauge::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            buffered_bytes: Gauge::default(),
            held_bytes: Family::default(),
            highest_held_bytes: Family::default(),
            unread_bytes: Gauge::default(),
            unread_responses: Family::default(),
            retries: RetryMetrics::default(),
            cached_segments: Gauge::default(),
            quarantined_segments: Gauge::default(),
            quarantined_requests: Gauge::default(),
            limited_upstreams: Gauge::default(),
            reporting_upstreams: Gauge::default(),
            full_upstreams: Gauge::default(),
            malformed_loads: Counter::default(),
            malformed_hints: Counter::default(),
            cost_errors: Family::new_with_constructor(ratio_histogram),
            registry: Registry::default(),
        };

        let r = &mut registry;
        r.register("answers", "Answers to clients by status", metrics.responses.clone());
        r.register("declines", "Requests not placed, by reason", metrics.declines.clone());
        r.register("failed_sends", "Sends without an answer", metrics.failed_sends.clone());
        r.register("record_calls", "Calls to the record by result", metrics.registry_calls.clone());
        r.register(
            "relay_calls",
            "Changes read at the relay, by result",
            metrics.relay_calls.clone(),
        );
        metrics.rollouts.register(r);
        r.register(
            "listing_gaps",
            "Ranges of keys that listings of the registry may lack",
            metrics.listing_gaps.clone(),
        );
        r.register(
            "ignored_entries",
            "Entries of the registry that were ignored",
            metrics.ignored_entries.clone(),
        );
        r.register("resumed", "Streams that went on elsewhere", metrics.resumed_streams.clone());
        r.register("taken_up", "Streams taken up, by source", metrics.taken_up_streams.clone());
        r.register("unrecorded", "Streams without a record", metrics.unrecorded_streams.clone());
        r.register("record_wait_seconds", "Wait for the record", metrics.record_wait.clone());
        r.register("log_left_out", "Log lines left out", metrics.suppressed_log_lines.clone());
        r.register("first_event_seconds", "Time to the head", metrics.first_event.clone());
        r.register("total_seconds", "Time to the end of answers", metrics.total.clone());
        r.register("pause_seconds", "Time between events", metrics.event_gap.clone());
        r.register("upstreams", "Upstreams by condition", metrics.upstreams.clone());
        r.register("config_version", "Configuration in force", metrics.config_version.clone());
        r.register("record_age_seconds", "Time since the record", metrics.registry_age.clone());
        r.register("peers", "Other routers heard of", metrics.peers.clone());
        r.register("in_flight", "Requests being served", metrics.in_flight.clone());
        r.register("connections", "Connections of clients", metrics.connections.clone());
        r.register("buffered_bytes", "Bodies in memory", metrics.buffered_bytes.clone());
        r.register("held_bytes", "Bytes held for messages", metrics.held_bytes.clone());
        r.register(
            "highest_held_bytes",
            "Most bytes held for messages so far",
            metrics.highest_held_bytes.clone(),
        );
        r.register("unread_bytes", "Bytes that wait for clients", metrics.unread_bytes.clone());
        r.register("unread", "Answers that were not read", metrics.unread_responses.clone());
        metrics.retries.register(r);
        r.register("kept_parts", "Prompt parts taken for kept", metrics.cached_segments.clone());
        r.register(
            "quarantined_parts",
            "Prompt parts refused",
            metrics.quarantined_segments.clone(),
        );
        r.register(
            "quarantined_requests",
            "Requests refused that crashed upstreams",
            metrics.quarantined_requests.clone(),
        );
        r.register(
            "limited_upstreams",
            "Upstreams that name a limit",
            metrics.limited_upstreams.clone(),
        );
        r.register(
            "reporting_upstreams",
            "Upstreams whose load is known",
            metrics.reporting_upstreams.clone(),
        );
        r.register(
            "full_upstreams",
            "Upstreams that are known to be full",
            metrics.full_upstreams.clone(),
        );
        r.register(
            "malformed_loads",
            "Reported loads that were ignored",
            metrics.malformed_loads.clone(),
        );
        r.register(
            "malformed_hints",
            "Hints of output lengths that were ignored",
            metrics.malformed_hints.clone(),
        );
        r.register(
            "cost_error",
            "Actual cost of a request relative to the predicted one",
            metrics.cost_errors.clone(),
        );
        Self { registry, ..metrics }
    }

    /// Counts a stream that a client takes up, by where its version is known from.
    pub fn record_taken_up(&self, source: &'static str) {
        self.taken_up_streams.get_or_create(&KindLabel { kind: source }).inc();
    }

    /// Counts a stream that begins without the record that it needs.
    pub fn record_unrecorded_stream(&self) {
        self.unrecorded_streams.inc();
    }

    /// Records the time for which the first event of a stream waited for its record.
    pub fn record_stream_recorded(&self, wait: Duration) {
        self.record_wait.observe(wait.as_secs_f64());
    }

    /// Counts a response to a client by its status code.
    pub fn record_response(&self, status: u16) {
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
        self.responses.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request that was not admitted, by reason.
    pub fn record_decline(&self, kind: &'static str) {
        self.declines.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a hint of an output length that is malformed.
    pub fn record_malformed_hint(&self) {
        self.malformed_hints.inc();
    }

    /// Records the ratio of the actual cost of a request to the predicted one.
    pub fn record_cost_error(&self, route: &str, ratio: f64) {
        let label = RouteLabel { route: route.to_owned() };
        self.cost_errors.get_or_create(&label).observe(ratio);
    }

    /// Counts a reported load that is malformed.
    pub fn record_malformed_load(&self) {
        self.malformed_loads.inc();
    }

    /// Counts a failed send, by outcome.
    pub fn record_failed_send(&self, kind: &'static str) {
        self.failed_sends.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a call to the platform's registry.
    pub fn record_registry_call(&self, is_success: bool) {
        self.registry_calls.get_or_create(&KindLabel::result(is_success)).inc();
    }

    /// Counts a call to the relay for changes of the registry.
    pub fn record_relay_call(&self, is_success: bool) {
        self.relay_calls.get_or_create(&KindLabel::result(is_success)).inc();
    }

    /// Counts a call to the platform's store for roll-outs.
    pub fn record_rollout_call(&self, is_success: bool) {
        self.rollouts.record_call(is_success);
    }

    /// Counts ranges of keys that a listing of the registry may lack.
    pub fn record_listing_gaps(&self, count: usize) {
        self.listing_gaps.inc_by(count as u64);
    }

    /// Counts an entry of the registry that is ignored, since it cannot be decoded.
    pub fn record_ignored_entry(&self) {
        self.ignored_entries.inc();
    }

    /// Counts a stream that was resumed at another upstream.
    pub fn record_resumed_stream(&self) {
        self.resumed_streams.inc();
    }

    /// Counts a response that was ended since its client did not read it, by reason.
    pub fn record_unread_response(&self, kind: &'static str) {
        self.unread_responses.get_or_create(&KindLabel { kind }).inc();
    }

    /// Returns the metrics of the retry budgets.
    pub fn retries(&self) -> &RetryMetrics {
        &self.retries
    }

    /// Counts suppressed log lines.
    pub fn record_suppressed_log_lines(&self, lines: u64) {
        self.suppressed_log_lines.inc_by(lines);
    }

    /// Records the time to the head of a response, which arrives with the first event of a stream.
    pub fn record_first_event(&self, workspace: Option<&str>, span: Duration) {
        let label = self.label(workspace);
        self.first_event.get_or_create(&label).observe(span.as_secs_f64());
    }

    /// Records the time to the end of a response.
    pub fn record_total(&self, workspace: Option<&str>, span: Duration) {
        let label = self.label(workspace);
        self.total.get_or_create(&label).observe(span.as_secs_f64());
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&self, span: Duration) {
        self.event_gap.observe(span.as_secs_f64());
    }

    /// Updates the gauges and encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode(&self, cx: &Shared) -> Result<String, fmt::Error> {
        self.update_gauges(cx);

        let mut buf = String::new();
        encode(&mut buf, &self.registry)?;
        Ok(buf)
    }

    /// Returns the label of a workspace, or the shared label when there are too many.
    fn label(&self, workspace: Option<&str>) -> WorkspaceLabel {
        let name = workspace.unwrap_or(OTHER_WORKSPACES);
        let mut labelled = self.labelled_workspaces.borrow_mut();
        let has_own_label = labelled.contains(name) || labelled.len() < MAX_LABELLED_WORKSPACES;
        let name = if has_own_label { name } else { OTHER_WORKSPACES };
        if !labelled.contains(name) {
            labelled.insert(name.to_owned());
        }

        WorkspaceLabel { workspace: name.to_owned() }
    }

    fn update_gauges(&self, cx: &Shared) {
        let now = cx.now();
        let mut router = cx.router.borrow_mut();
        self.upstreams.clear();
        for upstream in router.registry().upstreams().iter() {
            let condition = upstream.condition(now).as_str();
            let service = upstream.entry.service.to_string();
            self.upstreams.get_or_create(&UpstreamLabels { service, condition }).inc();
        }

        let cached = router.registry().upstreams().iter().map(|upstream| upstream.cache.len());
        self.cached_segments.set(cached.sum::<usize>() as i64);
        let limited = router.registry().upstreams().iter().filter(|u| u.limit.is_some()).count();
        self.limited_upstreams.set(limited as i64);
        let known = || router.registry().upstreams().iter().map(|upstream| &upstream.known);
        self.reporting_upstreams.set(known().filter(|k| k.told(now).is_some()).count() as i64);
        self.full_upstreams.set(known().filter(|known| known.is_full(now)).count() as i64);
        let quarantined = router.quarantine().quarantined();
        let requests = quarantined.iter().filter(|key| key.is_request()).count();
        self.quarantined_requests.set(requests as i64);
        self.quarantined_segments.set((quarantined.len() - requests) as i64);
        self.rollouts.update(&router.rollouts().summaries(now));
        router.retry_statuses(now).iter().for_each(|status| self.retries.set(status));

        self.config_version.set(router.registry().table().map_or(0, |table| table.version as i64));
        let age =
            cx.last_registry_response.get().map_or(f64::INFINITY, |at| now.since(at).as_secs_f64());
        self.registry_age.set(age);
        self.peers.set(router.peers().count(now) as i64);
        self.in_flight.set(cx.in_flight.get() as i64);
        self.connections.set(cx.connections.get() as i64);
        self.buffered_bytes.set(cx.buffers.account(BufferKind::Request).held() as i64);
        for kind in BufferKind::ALL {
            let account = cx.buffers.account(kind);
            let label = KindLabel { kind: kind.as_str() };
            self.held_bytes.get_or_create(&label).set(account.held() as i64);
            self.highest_held_bytes.get_or_create(&label).set(account.highest() as i64);
        }
        self.unread_bytes.set(cx.deliveries.bytes() as i64);
    }
}

/// Creates a histogram of durations, with buckets from 5 ms to 20 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

/// Returns a histogram of ratios around one.
fn ratio_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0625, 2.0_f64.sqrt(), 17))
}
