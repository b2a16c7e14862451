//! Messages that replicate the configuration.

use crate::config::{Change, Config};

/// Request for a configuration newer than `revision`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPull {
    /// Revision in force at the sender; zero before the first one.
    pub revision: u64,
}

/// Changes from one revision to a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigDelta {
    /// Revision to which the changes apply.
    pub base: u64,
    /// Changes of each later revision, in order.
    pub revisions: Vec<Vec<Change>>,
    /// Digest of the resulting configuration.
    pub digest: String,
}

/// Complete configuration, for a receiver whose revision is too old for the changes that the sender
/// still holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFull {
    /// Configuration, including its revision.
    pub config: Config,
}
