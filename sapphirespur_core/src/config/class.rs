//! Class of requests within a workspace.

use serde::{Deserialize, Serialize};

/// Class of requests, such as dossiers or label checks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Weight against the other classes of the same workspace.
    pub weight: u32,
    /// Whether requests that name no class belong to this one; true for exactly one class.
    #[serde(default)]
    pub default: bool,
}
