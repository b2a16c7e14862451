//! Limit on requests to cold upstreams, divided among the routers.

use crate::collections::HashSet;
use crate::edge::fleet_share::FleetShare;
use crate::edge::{Condition, RouterSettings, ServiceSpec, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// Inputs of this router's limit for cold upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit<'a> {
    /// Settings with the fleet-wide limits.
    pub settings: &'a RouterSettings,
    /// This router's share of the limits.
    pub share: FleetShare<'a>,
    /// Whether the settle time after the start is over, in which the reports of other routers
    /// arrive.
    pub is_settled: bool,
}

impl ColdLimit<'_> {
    /// Returns the keys of the cold upstreams of a service that have reached this router's limit.
    pub fn saturated(
        &self,
        now: Time,
        service: &Name,
        spec: Option<&ServiceSpec>,
        upstreams: &mut Upstreams,
    ) -> HashSet<u32> {
        let cold = |upstream: &&Upstream| upstream.condition(now) == Condition::Cold;
        let mut keys: HashSet<u32> =
            upstreams.available(now, service).filter(cold).map(|upstream| upstream.key).collect();
        keys.retain(|key| {
            let limit = self.max_requests(now, spec, *key);
            upstreams
                .get_by_key_mut(*key)
                .is_some_and(|upstream| !upstream.send_limiter.has_capacity(now, limit))
        });
        keys
    }

    /// Returns the requests per window that this router may send to the cold upstream `key`.
    fn max_requests(&self, now: Time, spec: Option<&ServiceSpec>, key: u32) -> usize {
        let Some(cold_per_s) = spec.and_then(|spec| spec.cold_per_s) else { return usize::MAX };
        if !self.is_settled {
            return 0;
        }
        let fleet_limit = cold_per_s * self.settings.cold_overshoot + self.settings.cold_allowance;
        let own_limit = (fleet_limit / self.share.routers as f64) as usize;
        if own_limit > 0 {
            return own_limit;
        }

        // There are too many routers for one request each. Half of the limit is reserved, because a
        // router that does not know all others ranks itself too high.
        usize::from(self.share.is_among_first(now, key, fleet_limit as usize / 2))
    }
}
