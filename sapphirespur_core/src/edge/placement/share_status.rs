//! Share usage of a request's workspace, and how busy the upstreams are.

use crate::edge::Pressure;

/// Share usage of the request's workspace, and how busy the upstreams are.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct ShareStatus {
    /// Usage of the workspace with this request included, as a ratio to its share.
    pub share_usage: f64,
    /// Multiple of its share that a workspace may use while upstreams are not busy.
    pub over_share_factor: f64,
    /// Pressure on the upstreams: zero when idle, one when responses are just in time.
    pub pressure: f64,
}

impl ShareStatus {
    /// Exponent by which the accepted pressure falls with the usage above the share: at twice the
    /// share, upstreams count as busy at about a third of the pressure.
    const SHARE_EXPONENT: f64 = 1.5;

    /// Returns whether the workspace is above its share.
    pub fn is_over_share(&self) -> bool {
        self.share_usage > 1.0
    }

    /// Returns the pressure above which upstreams count as busy for a workspace above its share.
    ///
    /// The over-share factor does not apply to an upstream that would prefill tokens that another
    /// one has cached (`is_redundant`): that takes time and memory from workspaces within their share.
    pub fn max_pressure(&self, is_redundant: bool) -> f64 {
        let strict = self.share_usage.powf(-Self::SHARE_EXPONENT);
        if is_redundant {
            return strict;
        }

        let relaxed = (self.share_usage / self.over_share_factor).powf(-Self::SHARE_EXPONENT);
        strict.max(relaxed.min(Pressure::OVER_SHARE_TARGET))
    }
}
