//! Estimates of response lengths by route.

use crate::collections::HashMap;
use crate::edge::work::{LengthOutlook, LogHistogram, WorkEstimate};
use crate::edge::{CallInfo, Prompt, ServiceRoutes, ServiceSpec};
use crate::name::Name;

/// Moving average and distribution of the tokens per response, by route.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    by_route: HashMap<Name, f64>,
    /// Lengths of whole responses.
    distributions: HashMap<Name, LogHistogram>,
}

impl OutputLengths {
    /// Smoothing factor of the exponentially weighted moving average.
    const SMOOTHING_FACTOR: f64 = 0.05;

    /// Fraction of the maximum output assumed as the response length before the first sample of a
    /// route.
    const INITIAL_FRACTION: f64 = 0.25;

    /// Length of a long response relative to the mean of its route.
    const LONG_RESPONSE_FACTOR: f64 = 3.0;

    /// Shortest length that is distinguished, as a power of two.
    const SHORTEST: i8 = 0;

    /// Records the length of a response that has ended.
    pub fn record(&mut self, route: &Name, tokens: f64) {
        match self.by_route.get_mut(route) {
            Some(mean) => *mean += Self::SMOOTHING_FACTOR * (tokens - *mean),
            None => {
                self.by_route.insert(route.clone(), tokens);
            }
        }
    }

    /// Records the length of a response that did not begin as the rest of a stream.
    pub fn record_whole(&mut self, route: &Name, tokens: f64) {
        let new = || LogHistogram::new(Self::SHORTEST);
        self.distributions.entry(route.clone()).or_insert_with(new).record(tokens as f32);
    }

    /// Returns the distribution of the length of a response without a hint; the expected length
    /// without samples.
    pub fn outlook(&self, route: &Name, prompt: &Prompt) -> LengthOutlook {
        let max = f64::from(prompt.max_output_tokens);
        let known = self.distributions.get(route).and_then(|known| known.outlook(1.0, max as f32));
        known.unwrap_or_else(|| LengthOutlook::certain(self.expected_tokens(route, prompt), max))
    }

    /// Returns the expected number of events of the response to a call; zero for plain calls.
    pub fn expected_events(&self, call: &CallInfo, spec: Option<&ServiceSpec>) -> f64 {
        let Some(prompt) = &call.prompt else { return 0.0 };
        let engine = spec.and_then(|spec| spec.engine);
        let per_event = engine.map_or(1, |engine| engine.tokens_per_event);

        self.expected_tokens(&call.route, prompt) / f64::from(per_event)
    }

    /// Returns the longest interval between events, in milliseconds, at which long responses of all
    /// routes of a service still finish within their timeouts; zero when no response has been
    /// recorded.
    pub fn max_event_interval_ms(
        &self,
        routes: Option<&ServiceRoutes>,
        spec: Option<&ServiceSpec>,
    ) -> f64 {
        let (Some(routes), Some(engine)) = (routes, spec.and_then(|spec| spec.engine)) else {
            return 0.0;
        };
        let per_event = f64::from(engine.tokens_per_event);
        let max_interval_ms = |(route, mean): (&Name, &f64)| {
            let events = mean / per_event * Self::LONG_RESPONSE_FACTOR;
            let timeout = routes.timeouts.get(route)?;
            Some(timeout.as_secs_f64() * 1_000.0 / events.max(1.0))
        };

        self.by_route.iter().filter_map(max_interval_ms).reduce(f64::min).unwrap_or_default()
    }

    /// Returns the expected tokens of a response, at most the requested maximum.
    pub fn expected_tokens(&self, route: &Name, prompt: &Prompt) -> f64 {
        let max_tokens = f64::from(prompt.max_output_tokens);
        self.by_route
            .get(route)
            .copied()
            .unwrap_or(max_tokens * Self::INITIAL_FRACTION)
            .min(max_tokens)
    }

    /// Returns the tokens of a request that are charged to the workspace's share.
    pub fn charged_tokens(&self, route: &Name, prompt: &Prompt) -> u64 {
        WorkEstimate::total_cost(prompt, self.expected_tokens(route, prompt)) as u64
    }
}
