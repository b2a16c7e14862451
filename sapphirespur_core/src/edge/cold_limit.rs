//! What one router may send to cold upstreams, of what the whole fleet may.

use crate::collections::HashSet;
use crate::edge::{Condition, Peers, RouterSettings, ServiceSpec, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// What decides a router's part.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit<'a> {
    /// Bounds of the fleet.
    pub settings: &'a RouterSettings,
    /// Other routers.
    pub peers: &'a Peers,
    /// Key of the router.
    pub own_hash: u64,
    /// Parts into which the fleet divides the bound.
    pub routers: usize,
    /// Whether the other routers have had time to make themselves known.
    pub is_settled: bool,
}

impl ColdLimit<'_> {
    /// Returns the cold upstreams of a service that have what they bear from the router.
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
            let limit = self.requests_per_s(now, spec, *key);
            upstreams
                .get_by_key_mut(*key)
                .is_some_and(|upstream| !upstream.send_limiter.has_capacity(now, limit))
        });
        keys
    }

    /// Returns the requests a second that the router may send to the cold upstream `key`.
    fn requests_per_s(&self, now: Time, spec: Option<&ServiceSpec>, key: u32) -> usize {
        let Some(cold_per_s) = spec.and_then(|spec| spec.cold_per_s) else { return usize::MAX };
        if !self.is_settled {
            return 0;
        }
        let fleet_limit = cold_per_s * self.settings.cold_overshoot + self.settings.cold_allowance;
        let own_limit = (fleet_limit / self.routers as f64) as usize;
        if own_limit > 0 {
            return own_limit;
        }

        // Too many routers for a part each: those ranked first send one request, and half of the
        // bound is left for routers that rank themselves too high as they do not know all others.
        usize::from(self.peers.rank(now, self.own_hash, key) < fleet_limit as usize / 2)
    }
}
