//! Position in the history of the platform's registry.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Revision of the registry within an era.
///
/// A registry that is restored from an older copy starts a new era and gives out the revisions after
/// that copy again, so revisions are comparable only within one era.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RegistryVersion {
    /// Number of times the registry has been restored; zero when it does not say.
    pub era: u64,
    /// Revision since the creation of the registry.
    pub revision: u64,
}

impl fmt::Display for RegistryVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
