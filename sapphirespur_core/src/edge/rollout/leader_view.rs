//! What the leader's decisions depend on besides the roll-out itself.

use std::time::Duration;

use crate::edge::rollout::service_view::ServiceView;
use crate::name::Name;
use crate::time::Time;

/// Inputs of the leader's decision on one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderView<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Name of this router.
    pub router: &'a Name,
    /// Revision of the leader's item.
    pub fencing: u64,
    /// Era of the store.
    pub era: u64,
    /// Whether the store was restored a short time ago.
    pub is_restored: bool,
    /// Number of other routers whose reports are awaited.
    pub routers: usize,
    /// Age up to which reports may lack the work of other routers.
    pub lag: Duration,
    /// Upstreams of the service.
    pub service: ServiceView<'a>,
}
