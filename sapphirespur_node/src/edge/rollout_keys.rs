//! Keys of the store under which the routers record roll-outs.

use sapphirespur_core::name::Name;

/// Prefix of the records of roll-outs; the service follows.
pub const ROLLOUTS_PREFIX: &str = "sapphirespur/rollouts/";

/// What follows the prefix in the key of the leader, so no service with a roll-out has this name.
pub const ROLLOUT_LEADER: &str = "leader";

/// Returns the key of the router that decides on roll-outs.
pub(super) fn leader_key() -> String {
    format!("{ROLLOUTS_PREFIX}{ROLLOUT_LEADER}")
}

/// Returns the key of the record of a service's roll-out.
pub(super) fn rollout_key(service: &Name) -> String {
    format!("{ROLLOUTS_PREFIX}{service}")
}
