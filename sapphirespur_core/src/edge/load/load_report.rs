//! What routers tell each other of the load of upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::edge::ToldLoad;

/// Load of one upstream, as a response to some router told it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Pace in percent of the usual time; none when the upstream does not tell it.
    pub pace_percent: Option<u32>,
    /// Time since that response, in milliseconds.
    pub age_ms: u32,
}

impl LoadReport {
    /// Creates a report of figures that are `age` old.
    pub(super) fn new(upstream: u32, told: ToldLoad, age: Duration) -> Self {
        Self {
            upstream,
            running: told.running,
            waiting: told.waiting,
            slots: told.slots,
            pace_percent: told.pace.map(|pace| (pace * 100.0).round() as u32),
            age_ms: 0,
        }
        .aged(age)
    }

    /// Returns the report as it is `elapsed` later.
    pub(crate) fn aged(self, elapsed: Duration) -> Self {
        let elapsed = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        Self { age_ms: self.age_ms.saturating_add(elapsed), ..self }
    }

    /// Returns the figures; none when they are absurd.
    pub(super) fn told(&self) -> Option<ToldLoad> {
        let pace = self.pace_percent.map(f64::from);
        ToldLoad::new(self.running, self.waiting, self.slots, pace)
    }
}
