//! Name of a VM or of a configuration entry, cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::sha256_hex;

/// Name of a VM, workspace, class, model, service, upstream or data centre.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Longest accepted name, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Longest name that a process outside of the fleet gives and that is kept as it is, in bytes.
    pub const MAX_GIVEN_BYTES: usize = 200;

    /// Creates the name that a process outside of the fleet gives, of whatever length.
    ///
    /// One of more than [`MAX_GIVEN_BYTES`](Self::MAX_GIVEN_BYTES) is replaced by its beginning and its digest: what
    /// is kept, logged and told to other routers has a largest length, and names that differ stay different.
    pub fn given(text: &str) -> Self {
        if text.len() <= Self::MAX_GIVEN_BYTES {
            return Self::new(text);
        }
        let digest = sha256_hex(text.as_bytes());
        let kept = text.floor_char_boundary(Self::MAX_GIVEN_BYTES - digest.len() - 1);
        Self::new(&format!("{}~{digest}", &text[..kept]))
    }

    /// Creates a name without validating it.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the name has 1 to `MAX_BYTES` ASCII letters, digits, `-`, `_`, `.` or `:`.
    pub fn is_valid(&self) -> bool {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');

        !self.0.is_empty() && self.0.len() <= Self::MAX_BYTES && self.0.chars().all(allowed)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}
