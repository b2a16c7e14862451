//! What the platform keeps of the configuration and of its changes.

use serde::{Deserialize, Serialize};

use crate::config::Change;

/// Proposed set of changes against one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Unique identifier.
    pub id: String,
    /// Revision against which the plan was made.
    pub base: u64,
    /// Operator who made the plan.
    pub operator: String,
    /// Why the operator wants the changes.
    pub reason: String,
    /// Time of making, in seconds since the Unix epoch.
    pub created_s: u64,
    /// Changes in the order in which they apply.
    pub changes: Vec<Change>,
}

/// Accepted plan; the sequence of records tells how the configuration came to be.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionRecord {
    /// Revision that the plan led to.
    pub revision: u64,
    /// Operator who confirmed.
    pub confirmed_by: String,
    /// Time of confirmation, in seconds since the Unix epoch.
    pub confirmed_s: u64,
    /// Plan that was confirmed.
    pub plan: Plan,
}

/// Head of the stored configuration, replaced under compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// Accepted revision.
    pub revision: u64,
    /// Identifier of the plan that led to the revision.
    pub plan: String,
    /// Digest of the whole configuration.
    pub digest: String,
    /// Digests of the chunks that hold the configuration, in order.
    pub chunks: Vec<String>,
    /// Digests of the chunks of the revision before.
    pub previous: Vec<String>,
}
