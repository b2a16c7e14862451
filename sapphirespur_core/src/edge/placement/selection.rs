//! Upstreams of a service that may get a request.

use std::time::Duration;

use crate::edge::placement::Filter;
use crate::edge::placement::filter::Exclusion;
use crate::edge::{Condition, Load, PrefixTokens, Upstreams};
use crate::time::Time;

/// Upstream that may get a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selected {
    /// Position of the upstream.
    pub position: usize,
    /// Tokens of the prompt that it has cached.
    pub cached_tokens: u64,
}

/// Upstreams of a service that may get a request, and what is found out about all of its upstreams on
/// the way. It is filled anew for each request, and keeps its memory.
#[derive(Clone, Debug, Default)]
pub(in crate::edge) struct Selection {
    /// Upstreams that may get the request.
    pub(super) selected: Vec<Selected>,
    /// Positions of healthy upstreams that have prefilled the longest prefix of the prompt that any of
    /// them has, one of each data centre.
    pub(super) holders: Vec<usize>,
    /// Tokens of that prefix.
    pub(super) held_tokens: u64,
    /// Time until the first upstream with a named limit takes a request; none without one that takes
    /// none now.
    pub shortest_wait: Option<Duration>,
    /// Sum and number of the measured prefill speeds.
    speeds: (f64, u32),
}

impl Selection {
    /// Time without a response from which nothing is fetched from an upstream, because it may be gone.
    const MAX_UNRESPONSIVE: Duration = Duration::from_millis(500);

    /// Failure rate from which nothing is fetched from an upstream.
    const MAX_FAILURE_RATE: f64 = 0.3;

    /// Selects the upstreams that `filter` leaves of the request's service.
    pub fn fill(&mut self, filter: &Filter<'_>, upstreams: &mut Upstreams) {
        let (now, call) = (filter.now, filter.request.call);
        self.clear();
        upstreams.visit_mut(now, &call.service, |position, upstream, condition| {
            self.add_speed(&upstream.load);
            if !condition.accepts_requests() {
                return;
            }
            let prompt = call.prompt.as_ref();
            let tokens = prompt.map(|prompt| upstream.cache.prefix_tokens(now, prompt));
            let PrefixTokens { cached, prefilled } = tokens.unwrap_or_default();
            if Self::is_healthy(now, condition, &upstream.load) {
                self.add_holder(position, prefilled);
            }
            match filter.check(upstream, condition) {
                Ok(()) => self.selected.push(Selected { position, cached_tokens: cached }),
                Err(Exclusion::Limited(wait)) => self.add_wait(wait),
                Err(_) => {}
            }
        });
        self.keep_near_holders(upstreams);
    }

    /// Returns whether other upstreams may fetch cached segments from one.
    pub(super) fn is_healthy(now: Time, condition: Condition, load: &Load) -> bool {
        condition == Condition::Warm
            && load.unresponsive_for(now) < Self::MAX_UNRESPONSIVE
            && load.failure_rate < Self::MAX_FAILURE_RATE
    }

    /// Returns the mean measured prefill speed of the service's upstreams in tokens per millisecond;
    /// none without measurements.
    pub fn mean_prefill_speed(&self) -> Option<f64> {
        let (sum, count) = self.speeds;
        (count > 0).then(|| sum / f64::from(count))
    }

    fn clear(&mut self) {
        self.selected.clear();
        self.holders.clear();
        self.held_tokens = 0;
        self.shortest_wait = None;
        self.speeds = (0.0, 0);
    }

    fn add_speed(&mut self, load: &Load) {
        if let Some(speed) = load.prefill_tokens_per_ms {
            self.speeds.0 += speed;
            self.speeds.1 += 1;
        }
    }

    fn add_holder(&mut self, position: usize, tokens: u64) {
        if tokens > self.held_tokens {
            self.holders.clear();
            self.held_tokens = tokens;
        }
        if tokens > 0 && tokens == self.held_tokens {
            self.holders.push(position);
        }
    }

    /// Keeps the last holder of each data centre, the last one of all first.
    fn keep_near_holders(&mut self, upstreams: &Upstreams) {
        self.holders.reverse();
        let mut kept = 0;
        for index in 0..self.holders.len() {
            let position = self.holders[index];
            let data_centre = &upstreams.at(position).entry.data_centre;
            let is_near = |other: &usize| upstreams.at(*other).entry.data_centre == *data_centre;
            if !self.holders[..kept].iter().any(is_near) {
                self.holders[kept] = position;
                kept += 1;
            }
        }
        self.holders.truncate(kept);
    }

    fn add_wait(&mut self, wait: Duration) {
        self.shortest_wait = Some(self.shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
    }
}
