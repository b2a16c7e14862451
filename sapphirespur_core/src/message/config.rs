//! Messages that spread the configuration.

use crate::config::{Change, Config};

/// Request for a configuration newer than `revision`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPull {
    /// Revision that the sender has.
    pub revision: u64,
}

/// Changes that lead from one revision to the next ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigDelta {
    /// Revision to which the changes apply.
    pub base: u64,
    /// Changes of each following revision, in order.
    pub steps: Vec<Vec<Change>>,
    /// Digest of the configuration after the last step.
    pub digest: String,
}

/// Whole configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFull {
    /// Configuration with its revision.
    pub config: Config,
}
