//! Load of an upstream on which the placement of a request was based.

use std::fmt;
use std::time::Duration;

/// Estimates that were used, and the age of the figures behind them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadUse {
    /// Requests that were expected to run or wait at the upstream.
    pub occupied: f64,
    /// Slots of the upstream.
    pub slots: u32,
    /// Expected time of work as a multiple of the usual time.
    pub pace: f64,
    /// Age of the newest figures.
    pub age: Duration,
}

impl fmt::Display for LoadUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { occupied, slots, pace, age } = self;
        let (percent, age_ms) = (pace * 100.0, age.as_millis());
        write!(f, "{occupied:.1}/{slots} pace {percent:.0}% age {age_ms} ms")
    }
}
