//! How busy the upstreams of a service are, as one router sees it over time.

use std::time::Duration;

use crate::time::Time;

/// Running mean of the pressure at the decisions of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    mean: f64,
    noted: Option<Time>,
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
