//! Entries of the registry, and their changes.

use serde::{Deserialize, Serialize};

use crate::edge::{RegistryVersion, RouteTable, UpstreamEntry};
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
}

/// Change of one entry of the registry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RegistryChange {
    /// An entry was created or replaced.
    Written(RegistryEntry),
    /// The entry of an upstream was deleted or has expired.
    UpstreamRemoved(Name),
    /// A data centre was put back into service.
    DataCentreRestored(Name),
}

/// Change with the revision at which it was made.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RevisedChange {
    /// Revision of the registry that the change made.
    pub revision: u64,
    /// Change of one entry.
    pub change: RegistryChange,
}

/// Changes of the registry up to a version.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RegistryChanges {
    /// Version after which to continue watching.
    pub version: RegistryVersion,
    /// Version of the last change, or of the previous position without changes.
    pub changed: RegistryVersion,
    /// Changes in the order in which they were made.
    pub changes: Vec<RevisedChange>,
}
