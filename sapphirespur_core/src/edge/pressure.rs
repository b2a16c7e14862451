//! How busy the upstreams of a service are, as one router sees it over time.

use std::time::Duration;

use crate::time::Time;

/// What one router that refuses workspaces beyond their share sees.
#[derive(Clone, Copy, Debug)]
pub struct SeenPressure {
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
    noted: Option<Time>,
    over_share_factor: f64,
    refused: Option<Time>,
}

impl Default for Pressure {
    fn default() -> Self {
        Self { mean: 0.0, noted: None, over_share_factor: 1.0, refused: None }
    }
}

impl Pressure {
    /// Time in which a decision loses most of its weight; several reports are sent meanwhile.
    const SPAN: Duration = Duration::from_millis(500);

    /// Age at which the last decision tells nothing of the present.
    const LIFE: Duration = Duration::from_secs(1);

    /// Pressure below which routers need not agree: nobody is refused for it.
    const FLOOR: f64 = 0.05;

    /// Most by which what one router sees is put right.
    const MAX_FACTOR: f64 = 4.0;

    /// Pressure up to which upstreams serve workspaces beyond their share: the others wait for less
    /// than half of their target.
    pub const SPARE: f64 = 0.4;

    /// Time in which the leeway grows by a factor of e while upstreams are idle.
    const LEEWAY_SPAN: Duration = Duration::from_secs(2);

    /// Most of the leeway.
    const MAX_LEEWAY: f64 = 16.0;

    /// Returns how many times their share workspaces may have while upstreams are not busy.
    pub fn over_share_factor(&self) -> f64 {
        self.over_share_factor
    }

    /// Notes that a workspace was refused for what it has beyond its share.
    pub fn note_refusal(&mut self, now: Time) {
        self.refused = Some(now);
    }

    /// Tells whether a workspace was refused lately for what it has beyond its share.
    pub fn is_refusing(&self, now: Time) -> bool {
        self.refused.is_some_and(|refused| now.since(refused) < Self::LIFE)
    }

    /// Moves the leeway towards where upstreams are busy as far as they may be with workspaces
    /// beyond their share.
    ///
    /// `others` is what the other routers see that refuse such workspaces.
    pub fn adapt(&mut self, now: Time, elapsed: Duration, others: &[SeenPressure]) {
        let mut seen = others.to_vec();
        if let Some(mean) = self.mean(now).filter(|_| self.is_refusing(now)) {
            seen.push(SeenPressure { mean, over_share_factor: self.over_share_factor });
        }
        let spans = elapsed.as_secs_f64() / Self::LEEWAY_SPAN.as_secs_f64();
        if seen.is_empty() {
            self.over_share_factor = 1.0 + (self.over_share_factor - 1.0) * (-spans).exp();
            return;
        }

        let count = seen.len() as f64;
        let mean = seen.iter().map(|seen| seen.mean).sum::<f64>() / count;
        let over_share_factor = seen.iter().map(|seen| seen.over_share_factor).sum::<f64>() / count;
        let step = (spans * (Self::SPARE - mean) / Self::SPARE).exp();
        self.over_share_factor = (over_share_factor * step).clamp(1.0, Self::MAX_LEEWAY);
    }

    /// Notes the pressure at a decision.
    pub fn note(&mut self, now: Time, sample: f64) {
        let gain = match self.noted {
            Some(noted) if now.since(noted) < Self::LIFE => {
                1.0 - (-now.since(noted).as_secs_f64() / Self::SPAN.as_secs_f64()).exp()
            }
            _ => 1.0,
        };
        self.mean += gain * (sample - self.mean);
        self.noted = Some(now);
    }

    /// Returns the mean, unless no decision was made lately.
    pub fn mean(&self, now: Time) -> Option<f64> {
        self.noted.filter(|noted| now.since(*noted) < Self::LIFE).map(|_| self.mean)
    }

    /// Returns the factor that turns what this router sees into what all routers see, whose means
    /// are `others`.
    ///
    /// Routers judge upstreams by the answers that pass through them, so they do not see alike. A
    /// workspace whose clients come to one router must not be refused sooner or later for that.
    pub fn factor(&self, now: Time, others: impl Iterator<Item = f64>) -> f64 {
        let Some(own) = self.mean(now) else { return 1.0 };
        let (sum, count) =
            others.fold((own, 1.0), |(sum, count), other| (sum + other, count + 1.0));
        let factor = (sum / count + Self::FLOOR) / (own + Self::FLOOR);

        factor.clamp(1.0 / Self::MAX_FACTOR, Self::MAX_FACTOR)
    }
}
