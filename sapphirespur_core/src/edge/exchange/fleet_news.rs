//! News that routers pass on to all others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::edge::{LimitReport, LoadReport, SuspectReport};

/// What a router knows of requests, prompt segments and upstreams that every router has to know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetNews {
    /// Prompt segments under which upstreams were lost.
    pub segments: Vec<SuspectReport>,
    /// Limits that upstreams have named.
    pub limits: Vec<LimitReport>,
    /// Requests under which upstreams were lost; encoded after the rest, as builds before don't know
    /// them.
    #[serde(skip)]
    pub requests: Vec<SuspectReport>,
    /// Loads that upstreams have reported; encoded after the rest, as builds before don't know them.
    #[serde(skip)]
    pub loads: Vec<LoadReport>,
}

impl FleetNews {
    /// Returns the news as they are `elapsed` later.
    pub(super) fn aged(&self, elapsed: Duration) -> Self {
        // Loads change too fast for the time between a tick and a message to be left out.
        let loads = self.loads.iter().map(|load| load.aged(elapsed)).collect();
        Self { loads, ..self.clone() }
    }

    /// Time for which a change is part of every message; several messages may be lost.
    pub(crate) const CHANGE_TIME: Duration = Duration::from_secs(2);

    /// Difference up to which two times may be the same moment, told by different routers: it reaches a
    /// router by several ways.
    pub(crate) const SAME_MOMENT: Duration = Duration::from_millis(100);
}
