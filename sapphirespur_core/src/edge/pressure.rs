//! How busy the upstreams of a service are, as one router sees it over time.

use std::time::Duration;

use crate::time::Time;

/// What one router that refuses workspaces beyond their share sees.
#[derive(Clone, Copy, Debug)]
pub struct ObservedPressure {
    /// Mean of the pressure.
    pub mean: f64,
    /// How many times their share workspaces may have.
    pub over_share_factor: f64,
}

/// Running mean of the pressure at the decisions of one router, and what it leaves to workspaces
/// beyond their share.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    mean: f64,
    recorded_at: Option<Time>,
    over_share_factor: f64,
    refused_at: Option<Time>,
}

impl Default for Pressure {
    fn default() -> Self {
        Self { mean: 0.0, recorded_at: None, over_share_factor: 1.0, refused_at: None }
    }
}

impl Pressure {
    /// Time in which a decision loses most of its weight; several reports are sent meanwhile.
    const TIME_CONSTANT: Duration = Duration::from_millis(500);

    /// Age at which the last decision tells nothing of the present.
    const MAX_AGE: Duration = Duration::from_secs(1);

    /// Pressure below which routers need not agree: nobody is refused for it.
    const CORRECTION_OFFSET: f64 = 0.05;

    /// Most by which what one router sees is put right.
    const MAX_CORRECTION: f64 = 4.0;

    /// Pressure up to which upstreams serve workspaces beyond their share: the others wait for less
    /// than half of their target.
    pub const OVER_SHARE_TARGET: f64 = 0.4;

    /// Time in which the leeway grows by a factor of e while upstreams are idle.
    const FACTOR_TIME_CONSTANT: Duration = Duration::from_secs(2);

    /// Most of the leeway.
    const MAX_OVER_SHARE_FACTOR: f64 = 16.0;

    /// Returns how many times their share workspaces may have while upstreams are not busy.
    pub fn over_share_factor(&self) -> f64 {
        self.over_share_factor
    }

    /// Notes that a workspace was refused for what it has beyond its share.
    pub fn record_refusal(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    /// Tells whether a workspace was refused lately for what it has beyond its share.
    pub fn is_refusing(&self, now: Time) -> bool {
        self.refused_at.is_some_and(|refused_at| now.since(refused_at) < Self::MAX_AGE)
    }

    /// Moves the leeway towards where upstreams are busy as far as they may be with workspaces
    /// beyond their share.
    ///
    /// `others` is what the other routers see that refuse such workspaces.
    pub fn adapt(&mut self, now: Time, elapsed: Duration, others: &[ObservedPressure]) {
        let mut observed = others.to_vec();
        if let Some(mean) = self.mean(now).filter(|_| self.is_refusing(now)) {
            observed.push(ObservedPressure { mean, over_share_factor: self.over_share_factor });
        }
        let elapsed_constants = elapsed.as_secs_f64() / Self::FACTOR_TIME_CONSTANT.as_secs_f64();
        if observed.is_empty() {
            self.over_share_factor =
                1.0 + (self.over_share_factor - 1.0) * (-elapsed_constants).exp();
            return;
        }

        let count = observed.len() as f64;
        let mean = observed.iter().map(|observed| observed.mean).sum::<f64>() / count;
        let over_share_factor =
            observed.iter().map(|observed| observed.over_share_factor).sum::<f64>() / count;
        let step =
            (elapsed_constants * (Self::OVER_SHARE_TARGET - mean) / Self::OVER_SHARE_TARGET).exp();
        self.over_share_factor = (over_share_factor * step).clamp(1.0, Self::MAX_OVER_SHARE_FACTOR);
    }

    /// Notes the pressure at a decision.
    pub fn record(&mut self, now: Time, sample: f64) {
        let gain = match self.recorded_at {
            Some(recorded_at) if now.since(recorded_at) < Self::MAX_AGE => {
                1.0 - (-now.since(recorded_at).as_secs_f64() / Self::TIME_CONSTANT.as_secs_f64())
                    .exp()
            }
            _ => 1.0,
        };
        self.mean += gain * (sample - self.mean);
        self.recorded_at = Some(now);
    }

    /// Returns the mean, unless no decision was made lately.
    pub fn mean(&self, now: Time) -> Option<f64> {
        self.recorded_at
            .filter(|recorded_at| now.since(*recorded_at) < Self::MAX_AGE)
            .map(|_| self.mean)
    }

    /// Returns the factor that turns what this router sees into what all routers see, whose means
    /// are `others`.
    ///
    /// Routers judge upstreams by the answers that pass through them, so they do not see alike. A
    /// workspace whose clients come to one router must not be refused sooner or later for that.
    pub fn fleet_correction(&self, now: Time, others: impl Iterator<Item = f64>) -> f64 {
        let Some(own) = self.mean(now) else { return 1.0 };
        let (sum, count) =
            others.fold((own, 1.0), |(sum, count), other| (sum + other, count + 1.0));
        let factor = (sum / count + Self::CORRECTION_OFFSET) / (own + Self::CORRECTION_OFFSET);

        factor.clamp(1.0 / Self::MAX_CORRECTION, Self::MAX_CORRECTION)
    }
}
