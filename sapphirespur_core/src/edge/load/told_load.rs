//! Load that an upstream tells of itself.

/// Figures in one response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Time that work takes now, as a multiple of the usual time; none when it does not say.
    pub pace: Option<f64>,
}

impl ToldLoad {
    /// Largest number of requests or slots.
    const MAX_COUNT: u32 = 1_000_000;

    /// Lowest and highest pace, in percent of the usual time.
    const PACE_PERCENT_RANGE: (f64, f64) = (1.0, 10_000.0);

    /// Difference from the usual pace up to which a pace counts as usual.
    const USUAL_PACE_DIFFERENCE: f64 = 0.1;

    /// Creates a load with a pace in percent of the usual time; none when the figures are absurd.
    pub fn new(running: u32, waiting: u32, slots: u32, pace_percent: Option<f64>) -> Option<Self> {
        let (lowest, highest) = Self::PACE_PERCENT_RANGE;
        let is_count = |count: u32| count <= Self::MAX_COUNT;
        let is_pace = pace_percent.is_none_or(|pace| (lowest..=highest).contains(&pace));
        let is_plausible =
            slots > 0 && is_count(running) && is_count(waiting) && is_count(slots) && is_pace;

        let pace = pace_percent.map(|percent| percent / 100.0);
        is_plausible.then_some(Self { running, waiting, slots, pace })
    }

    /// Returns the requests that run or wait.
    pub fn occupied(&self) -> u32 {
        self.running + self.waiting
    }

    /// Returns how much longer work takes than usual, as a fraction of the usual time; negative when
    /// it takes less.
    pub(super) fn slowdown(&self) -> f64 {
        self.pace.unwrap_or(1.0) - 1.0
    }

    /// Returns whether work takes about the usual time.
    pub(super) fn is_pace_usual(&self) -> bool {
        self.slowdown().abs() <= Self::USUAL_PACE_DIFFERENCE
    }
}
