//! Section `[upstream]`.

use crate::settings::{SettingsError, SettingsFile};

/// Upstream beside a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSettings {
    /// URL of the upstream.
    pub url: String,
    /// Path of its load report; none is asked for when missing.
    pub load_path: Option<String>,
}

impl UpstreamSettings {
    /// Known keys.
    pub const KEYS: &[&str] = &["url", "load-path"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        let load_path = f.optional("upstream", "load-path").map(str::to_owned);
        if load_path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            return Err(f.invalid_value("upstream", "load-path", "a path that starts with '/'"));
        }

        Ok(Self { url: f.url("upstream", "url")?, load_path })
    }
}
