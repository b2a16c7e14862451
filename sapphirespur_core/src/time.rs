//! Monotonic time of one process.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Point on a process's monotonic clock, in microseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Creates a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

/// Returns the microseconds of a duration, or as many as fit.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the delay after `doublings` doublings of the first of a range, at most its longest.
pub fn exponential_delay((first, longest): (Duration, Duration), doublings: u32) -> Duration {
    /// Doublings beyond which no range is left.
    const MAX_DOUBLINGS: u32 = 8;

    (first * 2_u32.pow(doublings.min(MAX_DOUBLINGS))).min(longest)
}
