//! Errors of predicted costs by route.

use crate::collections::HashMap;
use crate::edge::work::LogHistogram;
use crate::name::Name;

/// Ratios of actual to predicted costs of recent requests, by route.
#[derive(Clone, Debug, Default)]
pub struct PredictionErrors {
    by_route: HashMap<Name, LogHistogram>,
}

impl PredictionErrors {
    /// Lowest ratio that is distinguished, as a power of two.
    const LOWEST_RATIO: i8 = -8;

    /// Records the ratio of the actual cost of a request to the predicted one.
    pub fn record(&mut self, route: &Name, ratio: f64) {
        let new = || LogHistogram::new(Self::LOWEST_RATIO);
        self.by_route.entry(route.clone()).or_insert_with(new).record(ratio as f32);
    }

    /// Returns the fraction of the recent requests of each route whose prediction was within a factor
    /// of two.
    pub fn within_two(&self) -> impl Iterator<Item = (&Name, f64)> {
        let known = |(route, ratios): (_, &LogHistogram)| {
            Some((route, f64::from(ratios.fraction_within_two()?)))
        };
        self.by_route.iter().filter_map(known)
    }
}
