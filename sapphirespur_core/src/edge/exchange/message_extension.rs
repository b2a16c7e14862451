//! Part of a message that older builds pass over.

use serde::{Deserialize, Serialize};

use crate::edge::{FleetNews, RolloutEvidence, ServiceDemand};

/// What is encoded after a message. Builds that don't know it end their reading before it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MessageExtension {
    /// News for every router.
    pub news: FleetNews,
    /// Requests by service, over the routers of the report.
    pub demands: Vec<ServiceDemand>,
    /// Responses by version, over the routers of the report; encoded after the requests in the news, as
    /// builds before don't know them.
    #[serde(skip)]
    pub rollouts: Vec<RolloutEvidence>,
}
