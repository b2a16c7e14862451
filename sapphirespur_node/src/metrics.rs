//! Metrics of routers and sidecars, sent to a StatsD collector.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use sapphirespur_core::event::{Event, EventListener};
use sapphirespur_core::message::Message;
use sapphirespur_core::request::QueueKey;
use thiserror::Error;

use crate::settings::MetricsSettings;

/// Prefix of the names of all metrics.
const PREFIX: &str = "sapphirespur";

/// Reason why metrics cannot be sent.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The UDP socket cannot be opened.
    #[error("failed to open a socket for metrics: {0}")]
    Socket(#[from] io::Error),
    /// The address of the collector cannot be used.
    #[error("invalid metrics collector: {0}")]
    Collector(#[from] cadence::MetricError),
}

/// Client that sends metrics, each tagged with the name of the process.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client for the collector in the settings; without one, metrics are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket cannot be opened or the collector cannot be used.
    pub fn start(settings: &MetricsSettings, node: &str) -> Result<Self, MetricsError> {
        let builder = match settings.statsd {
            Some(collector) => {
                let sink = UdpMetricSink::from(collector, open_socket(collector)?)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink))
            }
            None => StatsdClient::builder(PREFIX, NopMetricSink),
        };

        Ok(Self { client: builder.with_tag("node", node).build() })
    }

    /// Counts a control message that this process sent.
    pub fn on_message_sent(&self, message: &Message) {
        self.client.count_with_tags("messages_sent", 1).with_tag("kind", message.kind()).send();
    }

    /// Counts a request to the platform; `kind` is the called method.
    pub fn on_platform_call(&self, kind: &str) {
        self.client.count_with_tags("platform_calls", 1).with_tag("kind", kind).send();
    }

    /// Adds `value` to the histogram `name` with the tags of the queue.
    fn record_histogram(&self, name: &str, queue: &QueueKey, value: u128) {
        self.client
            .histogram_with_tags(name, value as u64)
            .with_tag("workspace", queue.workspace.as_str())
            .with_tag("class", queue.class.as_str())
            .with_tag("target", queue.target.name().as_str())
            .send();
    }
}

impl EventListener for Metrics {
    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Dispatched { queue, queue_time, .. } => {
                self.record_histogram("wait_us", queue, queue_time.as_micros());
            }
            Event::Completed { queue, service_time, .. } => {
                self.record_histogram("served_us", queue, service_time.as_micros());
            }
            Event::FirstToken { queue, latency } => {
                self.record_histogram("first_token_us", queue, latency.as_micros());
            }
            Event::Served { queue, cost, token_gap } => {
                self.record_histogram("cost_units", queue, u128::from(*cost));
                if let Some(gap) = token_gap {
                    self.record_histogram("token_gap_us", queue, gap.as_micros());
                }
            }
            Event::Refused { code, .. } => {
                self.client.count_with_tags("refused", 1).with_tag("code", code.as_str()).send();
            }
            Event::Retried { .. } => self.client.count_with_tags("retried", 1).send(),
            Event::PhaseChanged { .. } => self.client.count_with_tags("phase_changes", 1).send(),
            Event::ConfigApplied { revision } => {
                self.client.gauge_with_tags("config_revision", *revision).send();
            }
            Event::ConfigRejected { .. } => {
                self.client.count_with_tags("config_rejected", 1).send();
            }
        }
    }
}

/// Opens a non-blocking UDP socket of the collector's address family.
fn open_socket(collector: SocketAddr) -> io::Result<UdpSocket> {
    let any_address = if collector.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any_address)?;
    socket.set_nonblocking(true)?;

    Ok(socket)
}
