//! Detection of pauses of the process.

use std::time::Duration;

use crate::time::Time;

/// Detects that the process was stopped or its VM suspended.
///
/// A process that is short of processor time also runs its ticks late, but it does other work in
/// between; a stopped one does none.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_seen: Time,
    longest_gap: Duration,
    /// Time and time since boot at the last check.
    checked: Option<(Time, Duration)>,
}

impl PauseDetector {
    /// Longest time between two steps of a running process.
    const MAX_GAP: Duration = Duration::from_millis(800);

    /// Creates a detector for a process that runs now.
    pub fn new(now: Time) -> Self {
        Self { last_seen: now, longest_gap: Duration::ZERO, checked: None }
    }

    /// Records that the process runs now; called at every step.
    pub fn observe(&mut self, now: Time) {
        self.longest_gap = self.longest_gap.max(now.since(self.last_seen));
        self.last_seen = now;
    }

    /// Returns the length of a pause since the last check, if there was one.
    ///
    /// `since_boot` also counts the time during which the VM was suspended, which `now` may not.
    pub fn check(&mut self, now: Time, since_boot: Duration) -> Option<Duration> {
        self.observe(now);
        let suspended = self.checked.map_or(Duration::ZERO, |(checked_at, checked_boot)| {
            since_boot.saturating_sub(checked_boot).saturating_sub(now.since(checked_at))
        });
        self.checked = Some((now, since_boot));
        let stopped = std::mem::take(&mut self.longest_gap);

        let pause = stopped.max(suspended);
        (pause > Self::MAX_GAP).then_some(pause)
    }
}
