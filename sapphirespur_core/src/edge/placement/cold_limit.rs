//! Limit on requests to cold upstreams, divided among the routers.

use crate::edge::placement::FleetShare;
use crate::edge::{RouterSettings, ServiceSpec};
use crate::time::Time;

/// Inputs of this router's limit for cold upstreams.
#[derive(Clone, Debug)]
pub(in crate::edge) struct ColdLimit<'a> {
    /// Settings with the fleet-wide limits.
    pub settings: &'a RouterSettings,
    /// Specification of the service; none when it is not configured.
    pub spec: Option<&'a ServiceSpec>,
    /// This router's share of the limits.
    pub share: FleetShare<'a>,
    /// Whether the settle time after the start is over, in which the reports of other routers
    /// arrive, and some have if others are configured.
    pub is_settled: bool,
}

impl ColdLimit<'_> {
    /// Returns the requests per window that this router may send to the cold upstream `key`.
    pub fn max_requests(&self, now: Time, key: u32) -> usize {
        let Some(cold_per_s) = self.spec.and_then(|spec| spec.cold_per_s) else {
            return usize::MAX;
        };
        if !self.is_settled {
            return 0;
        }
        let fleet_limit = cold_per_s * self.settings.cold_overshoot + self.settings.cold_allowance;
        let fleet_limit = self.share.for_known_routers(fleet_limit);
        let own_limit = (fleet_limit / self.share.routers(now) as f64) as usize;
        if own_limit > 0 {
            return own_limit;
        }

        // There are too many routers for one request each. Half of the limit is reserved, because a
        // router that does not know all others ranks itself too high.
        usize::from(self.share.is_among_first(now, key, fleet_limit as usize / 2))
    }
}
