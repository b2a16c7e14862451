//! Entries of the registry.

use serde::{Deserialize, Serialize};

use crate::edge::{BootstrapEntry, RolloutOrder, RolloutRecord, RouteTable, UpstreamEntry};
use crate::name::Name;

/// Entry of the registry, decoded by kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RegistryEntry {
    /// Routes, services and keys in force.
    Config(RouteTable),
    /// Upstream that registered itself.
    Upstream(UpstreamEntry),
    /// Data centre that is taken out of service.
    DataCentreOut(Name),
    /// Entry that cannot be decoded; it is logged and ignored.
    Invalid {
        /// Key of the entry.
        key: String,
        /// Reason why it cannot be decoded.
        reason: String,
    },
    /// Order to roll out a version.
    RolloutOrder(RolloutOrder),
    /// Durable state of a roll-out, with the revision of its item.
    RolloutRecord {
        /// Record.
        record: RolloutRecord,
        /// Revision of the record's item.
        revision: u64,
    },
    /// Router that is contacted by those whose seeds do not answer.
    Bootstrap(BootstrapEntry),
}
