//! Copy of one router's registry state for routers that cannot reach the registry.

use serde::{Deserialize, Serialize};

use crate::edge::{BaseVersion, RegistryVersion, RolloutSnapshot, RouteTable, UpstreamEntry};
use crate::name::Name;

/// Registry state as of a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    /// Registry version up to which the snapshot is current.
    pub version: RegistryVersion,
    /// Configuration in force.
    pub table: RouteTable,
    /// Upstreams with a registry entry; their remaining cold time counts from when the snapshot was
    /// taken.
    pub upstreams: Vec<UpstreamEntry>,
    /// Last entries of instances that have left recently.
    pub departed: Vec<UpstreamEntry>,
    /// Data centres that are out.
    pub out: Vec<Name>,
    /// Versions at which streams without a record began.
    pub bases: Vec<BaseVersion>,
    /// Orders and records of roll-outs.
    #[serde(deserialize_with = "RolloutSnapshot::read_if_present")]
    pub rollouts: RolloutSnapshot,
}
