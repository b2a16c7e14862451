//! Metrics of roll-outs.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sapphirespur_core::edge::{RolloutPhase, RolloutSummary};

/// Result of a call as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabel {
    kind: &'static str,
}

/// Service and target as labels.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RolloutLabels {
    service: String,
    target: String,
}

/// Service, target and version as labels.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct VersionLabels {
    service: String,
    target: String,
    /// `target` or `old`.
    role: &'static str,
}

/// Handles of the metrics of roll-outs.
#[derive(Clone, Debug, Default)]
pub(super) struct RolloutMetrics {
    calls: Family<CallLabel, Counter>,
    phase: Family<RolloutLabels, Gauge>,
    target_requests: Family<RolloutLabels, Gauge>,
    answered: Family<VersionLabels, Gauge>,
    bad: Family<VersionLabels, Gauge>,
}

impl RolloutMetrics {
    /// Registers all metrics.
    pub fn register(&self, r: &mut Registry) {
        r.register("rollout_calls", "Calls to the store for roll-outs", self.calls.clone());
        r.register("rollout_phase", "Phase of the roll-out", self.phase.clone());
        r.register(
            "rollout_target_requests",
            "Requests that this router sent to the target",
            self.target_requests.clone(),
        );
        r.register("rollout_responses", "Responses that were judged", self.answered.clone());
        r.register("rollout_bad_responses", "Bad responses of them", self.bad.clone());
    }

    /// Counts a call to the store.
    pub fn record_call(&self, is_success: bool) {
        let kind = if is_success { "good" } else { "failed" };
        self.calls.get_or_create(&CallLabel { kind }).inc();
    }

    /// Sets the gauges; those of roll-outs that are no more are removed.
    pub fn update(&self, rollouts: &[RolloutSummary]) {
        self.phase.clear();
        self.target_requests.clear();
        self.answered.clear();
        self.bad.clear();
        for rollout in rollouts {
            let (service, target) = (rollout.service.to_string(), rollout.target.to_string());
            let labels = RolloutLabels { service, target };
            self.phase.get_or_create(&labels).set(phase_value(rollout.phase));
            self.target_requests.get_or_create(&labels).set(rollout.own_sent.into());
            self.set_responses(&labels, "target", rollout.answered, rollout.bad);
            self.set_responses(&labels, "old", rollout.old_answered, rollout.old_bad);
        }
    }

    fn set_responses(&self, labels: &RolloutLabels, role: &'static str, answered: u32, bad: u32) {
        let RolloutLabels { service, target } = labels.clone();
        let labels = VersionLabels { service, target, role };
        self.answered.get_or_create(&labels).set(answered.into());
        self.bad.get_or_create(&labels).set(bad.into());
    }
}

/// Returns the value of the metric for a phase; zero before there is a record.
fn phase_value(phase: Option<RolloutPhase>) -> i64 {
    match phase {
        None => 0,
        Some(RolloutPhase::Canary) => 1,
        Some(RolloutPhase::Shifting) => 2,
        Some(RolloutPhase::Completed) => 3,
        Some(RolloutPhase::Reverted) => 4,
    }
}
