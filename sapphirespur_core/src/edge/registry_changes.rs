//! Changes of the registry, in their order.

use serde::{Deserialize, Serialize};

use crate::edge::{RegistryVersion, RevisedChange};

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
