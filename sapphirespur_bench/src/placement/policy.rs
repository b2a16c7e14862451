//! Placement policies: the edge router's own, and baselines to compare it with.

use sapphirespur_core::edge::{
    CallInfo, Placement, RouteTable, Router, RouterSettings, UpstreamEntry,
};
use sapphirespur_core::hash::stable_hash;
use sapphirespur_core::time::Time;

/// Policy that chooses the engine for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The decisions of the production edge router.
    EdgeRouter,
    /// The engine with the fewest requests in flight from all routers; declines nothing.
    LeastLoaded,
    /// Rendezvous hashing of the prompt's shared segments; declines nothing.
    PrefixHash,
    /// Each engine in turn, in order of arrival; declines nothing.
    RoundRobin,
}

impl Policy {
    /// All policies with the names that are printed.
    pub const ALL: [(&'static str, Self); 4] = [
        ("product", Self::EdgeRouter),
        ("least loaded", Self::LeastLoaded),
        ("plain hash", Self::PrefixHash),
        ("first come", Self::RoundRobin),
    ];

    /// Returns the index of the engine for a request, or `None` when the request is declined. The
    /// placement is present with `EdgeRouter` only.
    pub(super) fn place(
        self,
        now: Time,
        router: &mut Router,
        call: &CallInfo,
        in_flight: &[u32],
        arrival: usize,
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
                let prefix = call.prompt.as_ref()?.shared_segments().last()?.chain;
                let score =
                    |index: &usize| stable_hash(&[&prefix.to_le_bytes(), &index.to_le_bytes()]);
                Some(((0..in_flight.len()).max_by_key(score)?, None))
            }
            Self::RoundRobin => Some((arrival % in_flight.len(), None)),
        }
    }

    /// Creates an edge router whose registry holds the route table and the upstreams.
    pub(super) fn new_router(
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
