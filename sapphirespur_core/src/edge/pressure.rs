//! Pressure on the upstreams of a service as measured by one router, and control of the over-share
//! factor.

use std::time::Duration;

use crate::edge::ServicePressure;
use crate::time::Time;

/// Moving average of the pressure at a router's decisions, and the over-share factor derived from
/// it.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    mean: f64,
    recorded_at: Option<Time>,
    over_share_factor: f64,
    declined_at: Option<Time>,
}

impl Default for Pressure {
    fn default() -> Self {
        Self { mean: 0.0, recorded_at: None, over_share_factor: 1.0, declined_at: None }
    }
}

impl Pressure {
    /// Time constant of the moving average; several reports are exchanged in that time.
    const TIME_CONSTANT: Duration = Duration::from_millis(500);

    /// Age at which the average, or the latest declined request, is outdated.
    const MAX_AGE: Duration = Duration::from_secs(1);

    /// Offset added to the pressures that are compared, so that differences between routers hardly
    /// count at low pressure, where no request is declined.
    const CORRECTION_OFFSET: f64 = 0.05;

    /// Largest factor by which this router's measurement is corrected, up or down.
    const MAX_CORRECTION: f64 = 4.0;

    /// Target pressure up to which upstreams serve workspaces above their share: other requests
    /// then wait for less than half of their target latency.
    pub const OVER_SHARE_TARGET: f64 = 0.4;

    /// Time in which the over-share factor grows by a factor of e while upstreams are idle.
    const FACTOR_TIME_CONSTANT: Duration = Duration::from_secs(2);

    /// Upper bound of the over-share factor, a multiple of a workspace's share.
    const MAX_OVER_SHARE_FACTOR: f64 = 16.0;

    /// Returns the multiple of its share that a workspace may use while upstreams are not busy.
    pub fn over_share_factor(&self) -> f64 {
        self.over_share_factor
    }

    /// Records that a request was declined because its workspace is above its share.
    pub fn record_decline(&mut self, now: Time) {
        self.declined_at = Some(now);
    }

    /// Returns whether a request was declined recently because its workspace is above its share.
    pub fn is_declining(&self, now: Time) -> bool {
        self.declined_at.is_some_and(|declined_at| now.since(declined_at) < Self::MAX_AGE)
    }

    /// Adjusts the over-share factor over `elapsed` so that the pressure approaches its target.
    ///
    /// `others` are the measurements of the other routers, of which those that are declining
    /// requests count. All routers start from the mean factor, so they converge. The factor decays to
    /// one while no router declines.
    pub fn adapt(&mut self, now: Time, elapsed: Duration, others: ServicePressure) {
        let mut count = f64::from(others.declining);
        let mut mean = others.declining_per_mille as f64 / 1_000.0;
        let mut over_share_factor = others.leeway_percent as f64 / 100.0;
        if let Some(own) = self.mean(now).filter(|_| self.is_declining(now)) {
            count += 1.0;
            mean += own;
            over_share_factor += self.over_share_factor;
        }
        let elapsed_ratio = elapsed.as_secs_f64() / Self::FACTOR_TIME_CONSTANT.as_secs_f64();
        if count == 0.0 {
            self.over_share_factor = 1.0 + (self.over_share_factor - 1.0) * (-elapsed_ratio).exp();
            return;
        }

        mean /= count;
        over_share_factor /= count;
        let adjustment =
            (elapsed_ratio * (Self::OVER_SHARE_TARGET - mean) / Self::OVER_SHARE_TARGET).exp();
        self.over_share_factor =
            (over_share_factor * adjustment).clamp(1.0, Self::MAX_OVER_SHARE_FACTOR);
    }

    /// Records the pressure at a decision.
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

    /// Returns the mean pressure, or none if there was no recent decision.
    pub fn mean(&self, now: Time) -> Option<f64> {
        self.recorded_at
            .filter(|recorded_at| now.since(*recorded_at) < Self::MAX_AGE)
            .map(|_| self.mean)
    }

    /// Returns the factor that converts this router's pressure to the mean of all routers, where
    /// `others` are the measurements of the other ones.
    ///
    /// Routers measure upstreams by the responses that pass through them, so their measurements
    /// differ. A workspace whose clients all use one router must not be declined earlier or later
    /// for that.
    pub fn fleet_correction(&self, now: Time, others: ServicePressure) -> f64 {
        let Some(own) = self.mean(now) else { return 1.0 };
        let sum = own + others.per_mille as f64 / 1_000.0;
        let count = 1.0 + f64::from(others.measured);
        let factor = (sum / count + Self::CORRECTION_OFFSET) / (own + Self::CORRECTION_OFFSET);

        factor.clamp(1.0 / Self::MAX_CORRECTION, Self::MAX_CORRECTION)
    }
}
