//! Class of work within a workspace.

use serde::{Deserialize, Serialize};

/// Class of work, such as dossiers or label checks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Class {
    /// Weight against the other classes of one workspace.
    pub weight: u32,
    /// Takes the requests that name no class.
    #[serde(default)]
    pub default: bool,
}
