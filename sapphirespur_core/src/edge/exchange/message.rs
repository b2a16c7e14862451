//! Messages between routers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::edge::exchange::{Contact, HeardContact};
use crate::edge::{FleetNews, MessageExtension, PeerReport, WorkValues};

/// Routers over which a report sums.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportScope {
    /// The sender alone.
    Router,
    /// All routers of the sender's data centre.
    DataCentre,
    /// All routers of the fleet but the receiver.
    Fleet,
}

/// Message from one router to another. It holds absolute values, so a lost one does no harm.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Router that sends the message.
    pub sender: Contact,
    /// Some of the routers that it knows.
    pub contacts: Vec<HeardContact>,
    /// Whether it asks for the sums over the fleet.
    pub wants_sums: bool,
    /// Sequence number of the last report of the relay whose sums the sender uses; zero without one.
    pub seen: u64,
    /// Report and its scope; none when only contacts are sent.
    pub report: Option<(ReportScope, PeerReport)>,
    /// News for every router, whatever its part in the exchange.
    #[serde(skip)]
    pub news: FleetNews,
}

impl PeerMessage {
    /// Returns what is encoded after the message.
    pub fn extension(&self) -> MessageExtension {
        let report = self.report.as_ref().map(|(_, report)| report);

        MessageExtension {
            news: self.news.clone(),
            demands: report.map(|report| report.demands.clone()).unwrap_or_default(),
            rollouts: report.map(|report| report.rollouts.clone()).unwrap_or_default(),
        }
    }

    /// Returns the remaining work at the upstreams of the report, which is encoded at the end; empty
    /// when the senders count none.
    pub fn work_values(&self) -> Vec<WorkValues> {
        let loads = self.report.as_ref().map_or(&[][..], |(_, report)| &report.upstreams);
        if loads.iter().all(|load| load.decode_tokens == 0 && load.memory_tokens == 0) {
            return Vec::new();
        }
        loads.iter().map(WorkValues::new).collect()
    }

    /// Adds the remaining work that was encoded at the end.
    pub fn apply_work_values(&mut self, values: Vec<WorkValues>) {
        let Some((_, report)) = &mut self.report else { return };
        if values.len() == report.upstreams.len() {
            for (load, values) in report.upstreams.iter_mut().zip(values) {
                values.apply(load);
            }
        }
    }

    /// Adds what was encoded after the message.
    pub fn apply_extension(&mut self, extension: MessageExtension) {
        self.news = extension.news;
        if let Some((_, report)) = &mut self.report {
            report.demands = extension.demands;
            report.rollouts = extension.rollouts;
        }
    }
}

/// Message with the address to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: PeerMessage,
}
