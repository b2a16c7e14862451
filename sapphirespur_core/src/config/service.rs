//! Models and plain services as operators configure them.

use serde::{Deserialize, Serialize};

/// Model that engines serve.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {}

/// Calls that match a method and a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallPattern {
    /// Method in upper case.
    pub method: String,
    /// Prefix of the path below the service's name, with its leading slash.
    pub path: String,
}

impl CallPattern {
    /// Tells whether a call with `method` and `path` matches, on whole path segments.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else { return false };
        let whole = self.path.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']);

        method == self.method && whole
    }
}

/// Plain service beside the engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Calls that may be repeated; all others may not.
    pub idempotent: Vec<CallPattern>,
}

impl Service {
    /// Tells whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        // A dot segment, plain or encoded, could lead a matching prefix out of its subtree.
        let has_dots = path.split(['/', '?']).any(|segment| segment == "..")
            || path.to_ascii_lowercase().contains("%2e");

        !has_dots && self.idempotent.iter().any(|pattern| pattern.matches(method, path))
    }
}
