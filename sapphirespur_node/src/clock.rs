//! Monotonic, wall-clock and boot-time clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use sapphirespur_core::time::Time;

/// Monotonic clock whose origin is one day before the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Time on the clock when it starts, in microseconds: one day, so that earlier times can be
    /// represented.
    const START_US: u64 = 86_400_000_000;

    /// Creates a clock whose start is the current time.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the clock's origin.
    pub fn now(&self) -> Time {
        Time::from_micros(Self::START_US + self.start.elapsed().as_micros() as u64)
    }

    /// Returns the instant that corresponds to `time`.
    pub fn instant_at(&self, time: Time) -> Instant {
        self.start + time.since(Time::from_micros(Self::START_US))
    }
}

/// Returns the wall-clock time, in seconds since the Unix epoch.
pub fn wall_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}

/// Returns the wall-clock time, in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Returns the time since the VM booted, including time during which it was suspended.
pub fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);

    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
