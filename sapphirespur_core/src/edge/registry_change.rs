//! Changes of single entries of the registry.

use serde::{Deserialize, Serialize};

use crate::edge::RegistryEntry;
use crate::name::Name;

/// Change of one entry of the registry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RegistryChange {
    /// An entry was created or replaced.
    Written(RegistryEntry),
    /// The entry of an upstream was deleted or has expired.
    UpstreamRemoved(Name),
    /// A data centre was put back into service.
    DataCentreRestored(Name),
    /// The order to roll out a version of a service was deleted, or cannot be decoded any more.
    RolloutOrderRemoved(Name),
}

impl RegistryChange {
    /// Returns whether the change is that of an entry which is ignored, so that no router needs to know it.
    pub fn is_ignored(&self) -> bool {
        matches!(self, Self::Written(RegistryEntry::Invalid { .. }))
    }
}

/// Change with the revision at which it was made.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RevisedChange {
    /// Revision of the registry that the change made.
    pub revision: u64,
    /// Change of one entry.
    pub change: RegistryChange,
}
