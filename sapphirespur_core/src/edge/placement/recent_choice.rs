//! Pressure at recent choices, from which requests are refused without another choice.

use std::time::Duration;

use crate::collections::HashMap;
use crate::name::Name;
use crate::time::Time;

/// What was found at the last choice among all upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct RecentChoice {
    /// When the choice was made.
    pub at: Time,
    /// Target latency of the request, by which pressures differ.
    pub target: Duration,
    /// Pressure on the upstreams as measured by this router.
    pub own_pressure: f64,
    /// Expected time to the first event at the best upstream.
    pub expected_delay: Duration,
    /// Whether the connections of an upstream had reached their limit.
    pub is_any_full: bool,
}

impl RecentChoice {
    /// Age at which a choice is outdated: one tick.
    const MAX_AGE: Duration = Duration::from_millis(100);

    /// Factor by which the pressure must exceed the accepted one to refuse a request without a choice;
    /// the pressure may have changed by less since the last one.
    const MARGIN: f64 = 1.1;

    /// Returns whether a choice now would find each upstream too busy, where `correction` converts this
    /// router's pressure to that of all routers and upstreams are busy above `max_pressure`.
    pub fn rules_out_all(&self, correction: f64, max_pressure: f64) -> bool {
        !self.is_any_full && self.own_pressure * correction > max_pressure * Self::MARGIN
    }
}

/// Last choices by service and target latency.
#[derive(Clone, Debug, Default)]
pub(in crate::edge) struct RecentChoices {
    by_service: HashMap<Name, Vec<RecentChoice>>,
}

impl RecentChoices {
    /// Largest number of target latencies that are remembered for a service.
    const MAX_TARGETS: usize = 8;

    /// Records a choice.
    pub fn record(&mut self, service: &Name, choice: RecentChoice) {
        let Some(choices) = self.by_service.get_mut(service) else {
            self.by_service.insert(service.clone(), vec![choice]);
            return;
        };
        match choices.iter_mut().find(|known| known.target == choice.target) {
            Some(known) => *known = choice,
            None => {
                choices.truncate(Self::MAX_TARGETS - 1);
                choices.push(choice);
            }
        }
    }

    /// Returns the last choice for a service and target latency, unless it is outdated.
    pub fn get(&self, now: Time, service: &Name, target: Duration) -> Option<RecentChoice> {
        let choices = self.by_service.get(service)?;
        let choice = choices.iter().find(|choice| choice.target == target)?;
        (now.since(choice.at) < RecentChoice::MAX_AGE).then_some(*choice)
    }
}
