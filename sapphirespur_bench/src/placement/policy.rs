//! Ways to place requests: the product's own, and plain ones to compare it with.

use sapphirespur_core::edge::{
    CallInfo, Placement, RouteTable, Router, RouterSettings, UpstreamEntry,
};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::time::Time;

/// Way to place requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The product's own decisions.
    EdgeRouter,
    /// Fewest requests under way, of all routers; nothing is refused.
    LeastLoaded,
    /// The upstream to which the prompt's shared parts hash; nothing is refused.
    PrefixHash,
    /// One upstream after the other, in order of arrival; nothing is refused.
    RoundRobin,
}

impl Policy {
    /// All policies with their names.
    pub const ALL: [(&'static str, Self); 4] = [
        ("product", Self::EdgeRouter),
        ("least loaded", Self::LeastLoaded),
        ("plain hash", Self::PrefixHash),
        ("first come", Self::RoundRobin),
    ];

    /// Returns the upstream for a request, or nothing when it is refused; the product's own
    /// decision comes with its placement.
    pub(super) fn place(
        self,
        now: Time,
        router: &mut Router,
        call: &CallInfo,
        in_flight: &[u32],
        turn: usize,
    ) -> Option<(usize, Option<Placement>)> {
        match self {
            Self::EdgeRouter => {
                let placement = router.admit(now, call).ok()?;
                let index = placement.instance.as_str().trim_start_matches('u').parse().ok()?;
                Some((index, Some(placement)))
            }
            Self::LeastLoaded => {
                let index = (0..in_flight.len()).min_by_key(|index| in_flight[*index])?;
                Some((index, None))
            }
            Self::PrefixHash => {
                let part = call.prompt.as_ref()?.shared_segments().last()?.chain;
                let weight =
                    |index: &usize| stable_hash(&[&part.to_le_bytes(), &index.to_le_bytes()]);
                Some(((0..in_flight.len()).max_by_key(weight)?, None))
            }
            Self::RoundRobin => Some((turn % in_flight.len(), None)),
        }
    }

    /// Creates a router that knows the upstreams.
    pub(super) fn router(
        settings: RouterSettings,
        table: &RouteTable,
        entries: &[UpstreamEntry],
    ) -> Router {
        let mut router = Router::new(settings);
        router.registry_mut().apply_table(table.clone());
        for entry in entries {
            router.registry_mut().apply_upstream(Time::default(), entry.clone());
        }
        router
    }
}
