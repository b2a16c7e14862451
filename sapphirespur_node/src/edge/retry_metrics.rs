//! Metrics of the retry budgets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sapphirespur_core::edge::RetryStatus;

/// Name of a service as a label.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabel {
    service: String,
}

impl ServiceLabel {
    fn new(status: &RetryStatus) -> Self {
        Self { service: status.service.to_string() }
    }
}

/// Handles of the metrics of the retry budgets.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryMetrics {
    spent: Family<ServiceLabel, Counter>,
    refused: Family<ServiceLabel, Counter>,
    left: Family<ServiceLabel, Gauge>,
    others: Family<ServiceLabel, Gauge>,
}

impl RetryMetrics {
    /// Registers all metrics.
    pub fn register(&self, r: &mut Registry) {
        r.register("repeats", "Repeats", self.spent.clone());
        r.register("refused_repeats", "Repeats that the budget refused", self.refused.clone());
        r.register("repeats_left", "Repeats this router has left", self.left.clone());
        r.register(
            "others_repeats",
            "Recent repeats of the other routers, as they report",
            self.others.clone(),
        );
    }

    /// Counts the retries of a service that were spent and refused.
    pub fn count(&self, status: &RetryStatus) {
        let label = ServiceLabel::new(status);
        self.spent.get_or_create(&label).inc_by(status.spent);
        self.refused.get_or_create(&label).inc_by(status.refused);
    }

    /// Sets the state of the budget of a service.
    pub fn set(&self, status: &RetryStatus) {
        let label = ServiceLabel::new(status);
        self.left.get_or_create(&label).set(status.left as i64);
        self.others.get_or_create(&label).set(i64::from(status.others_retries));
    }
}
