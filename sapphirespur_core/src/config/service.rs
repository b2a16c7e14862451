//! Models and plain services in the operators' configuration.

use serde::{Deserialize, Serialize};

/// Model served by inference engines; has no settings, its name is the key in `Config`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {}

/// Pattern that matches calls by method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallPattern {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path after the service's name, with a leading slash.
    pub path: String,
}

impl CallPattern {
    /// Returns whether `method` and `path` match; the prefix must end at a segment boundary.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else { return false };
        let ends_at_boundary =
            self.path.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']);

        method == self.method && ends_at_boundary
    }
}

/// Plain HTTP service, as opposed to a model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Calls that are safe to repeat; all others are not.
    pub idempotent: Vec<CallPattern>,
}

impl Service {
    /// Returns whether a call is safe to repeat.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        // A dot segment, plain or percent-encoded, could escape from the subtree of the prefix.
        let has_dot_segment = path.split(['/', '?']).any(|segment| segment == "..")
            || path.to_ascii_lowercase().contains("%2e");

        !has_dot_segment && self.idempotent.iter().any(|pattern| pattern.matches(method, path))
    }
}
