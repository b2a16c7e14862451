//! What one router may send to cold upstreams, of what the whole fleet may.

use crate::collections::HashSet;
use crate::edge::{Condition, Peers, RouterSettings, ServiceSpec, Upstream, Upstreams};
use crate::name::Name;
use crate::time::Time;

/// What decides a router's part.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdBound<'a> {
    /// Bounds of the fleet.
    pub settings: &'a RouterSettings,
    /// Other routers.
    pub peers: &'a Peers,
    /// Key of the router.
    pub own: u64,
    /// Parts into which the fleet divides the bound.
    pub parts: usize,
    /// Whether the other routers have had time to make themselves known.
    pub is_settled: bool,
}

impl ColdBound<'_> {
    /// Returns the cold upstreams of a service that have what they bear from the router.
    pub fn paced_out(
        &self,
        now: Time,
        service: &Name,
        spec: Option<&ServiceSpec>,
        upstreams: &mut Upstreams,
    ) -> HashSet<u32> {
        let cold = |upstream: &&Upstream| upstream.condition(now) == Condition::Cold;
        let mut keys: HashSet<u32> =
            upstreams.open(now, service).filter(cold).map(|upstream| upstream.key).collect();
        keys.retain(|key| {
            let limit = self.limit(now, spec, *key);
            upstreams.by_key_mut(*key).is_some_and(|upstream| !upstream.pace.has_room(now, limit))
        });
        keys
    }

    /// Returns the requests a second that the router may send to the cold upstream `key`.
    fn limit(&self, now: Time, spec: Option<&ServiceSpec>, key: u32) -> usize {
        let Some(cold_per_s) = spec.and_then(|spec| spec.cold_per_s) else { return usize::MAX };
        if !self.is_settled {
            return 0;
        }
        let bound = cold_per_s * self.settings.cold_overshoot + self.settings.cold_allowance;
        let part = (bound / self.parts as f64) as usize;
        if part > 0 {
            return part;
        }

        // Too many routers for a part each: those ranked first send one request, and half of the
        // bound is left for routers that rank themselves too high as they do not know all others.
        usize::from(self.peers.rank(now, self.own, key) < bound as usize / 2)
    }
}
