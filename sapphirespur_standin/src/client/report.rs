//! Results of a load.

use std::time::Duration;

use serde::Serialize;

/// Results of a load, printed as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests whose response was complete and correct.
    pub whole: usize,
    /// Requests that were refused with a `Retry-After` header.
    pub refused: usize,
    /// Requests that failed in another way.
    pub failed: usize,
    /// Complete and correct responses per second.
    pub per_second: f64,
    /// Median time to the first data, in microseconds; 0 without responses.
    pub first_median_us: u128,
    /// 95th percentile of the time to the first data, in microseconds; 0 without responses.
    pub first_p95_us: u128,
    /// Median time to the end of the response, in microseconds; 0 without responses.
    pub whole_median_us: u128,
    /// Message of the first failure; absent when none failed.
    pub first_failure: Option<String>,
}

/// Returns a percentile of the ascending durations, in microseconds; 0 when there are none.
pub(super) fn percentile_us(sorted: &[Duration], percent: usize) -> u128 {
    let last = sorted.len().saturating_sub(1);

    sorted.get(last * percent / 100).map_or(0, Duration::as_micros)
}
