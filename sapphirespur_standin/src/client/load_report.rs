//! What a load run saw.

use std::time::Duration;

use serde::Serialize;

/// Figures of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests whose answer was whole and their own.
    pub whole: usize,
    /// Requests that were refused with a time to come back.
    pub refused: usize,
    /// Requests that failed otherwise.
    pub failed: usize,
    /// Requests a second that were answered whole.
    pub per_second: f64,
    /// Median time to the first data, in microseconds.
    pub first_median_us: u128,
    /// 95th percentile of the time to the first data, in microseconds.
    pub first_p95_us: u128,
    /// Median time to the whole answer, in microseconds.
    pub whole_median_us: u128,
    /// First failure.
    pub first_failure: Option<String>,
}

/// Returns the value below which `percent` of the sorted `sorted` lie, in microseconds.
pub(super) fn percentile_us(sorted: &[Duration], percent: usize) -> u128 {
    let last = sorted.len().saturating_sub(1);

    sorted.get(last * percent / 100).map_or(0, Duration::as_micros)
}
