//! Workspace in the operators' configuration.

use serde::{Deserialize, Serialize};

/// Workspace, a tenant of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Weight of the workspace's share of capacity against the other workspaces.
    pub share: u32,
    /// SHA-256 digests of the workspace's bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
}
