//! Configuration history and configuration root, as stored on the platform.

use serde::{Deserialize, Serialize};

use crate::config::Change;

/// Proposed changes against one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Unique identifier of the plan.
    pub id: String,
    /// Revision to which the changes apply.
    pub base: u64,
    /// Operator who created the plan.
    pub operator: String,
    /// Operator's reason for the changes.
    pub reason: String,
    /// Time of creation, in seconds since the Unix epoch.
    pub created_s: u64,
    /// Changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

/// Record of an accepted plan; the records in order are the history of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionRecord {
    /// Revision that the plan created.
    pub revision: u64,
    /// Operator who confirmed the plan.
    pub confirmed_by: String,
    /// Time of confirmation, in seconds since the Unix epoch.
    pub confirmed_s: u64,
    /// Plan that created the revision, with its changes and their reason.
    pub plan: Plan,
}

/// Root of the stored configuration, replaced by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// Accepted revision; zero before the first one.
    pub revision: u64,
    /// Identifier of the plan that created the revision.
    pub plan: String,
    /// Digest of the complete configuration.
    pub digest: String,
    /// Digests of the chunks that hold the configuration, in order.
    pub chunks: Vec<String>,
    /// Digests of the chunks of the previous revision.
    pub previous: Vec<String>,
}
