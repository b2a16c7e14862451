//! What the calls to the store that are due depend on.

use std::time::Duration;

use crate::edge::RegistryState;
use crate::edge::rollout::leader_view::LeaderView;
use crate::edge::rollout::service_view::ServiceView;
use crate::name::Name;
use crate::time::Time;

/// Inputs of the calls to the store that are due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DutyView<'a> {
    /// Name of this router.
    pub router: &'a Name,
    /// State of the registry.
    pub registry: &'a RegistryState,
    /// Number of routers that precede this one as leaders.
    pub rank: usize,
    /// Number of other routers whose reports are awaited.
    pub routers: usize,
    /// Age up to which reports may lack the work of other routers.
    pub lag: Duration,
    /// Whether the settle time after the start of this router is over.
    pub is_settled: bool,
    /// Whether the store responds in time and without errors.
    pub is_store_usable: bool,
}

impl<'a> DutyView<'a> {
    /// Returns the inputs of the leader's decision on one service.
    pub(super) fn leader_view(
        &self,
        now: Time,
        fencing: u64,
        era: u64,
        is_restored: bool,
        service: &'a Name,
    ) -> LeaderView<'a> {
        LeaderView {
            now,
            router: self.router,
            fencing,
            era,
            is_restored,
            routers: self.routers,
            lag: self.lag,
            service: ServiceView { now, registry: self.registry, service },
        }
    }
}
