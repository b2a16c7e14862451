//! Workspace as operators configure it.

use serde::{Deserialize, Serialize};

/// Workspace that shares the upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Share of capacity against the other workspaces.
    pub share: u32,
    /// SHA-256 digests of its bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
}
