//! Settings in the section `[upstream]`.

use crate::settings::{SettingsError, SettingsFile};

/// Upstream that a sidecar fronts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamSettings {
    /// Base URL of the upstream.
    pub url: String,
    /// Path of the upstream's load report; the report is not requested when `None`.
    pub load_path: Option<String>,
}

impl UpstreamSettings {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["url", "load-path"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when the URL is missing or invalid, or the path does not start with `/`.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        let load_path = f.optional("upstream", "load-path").map(str::to_owned);
        if load_path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            return Err(f.invalid_value("upstream", "load-path", "a path that starts with '/'"));
        }

        Ok(Self { url: f.url("upstream", "url")?, load_path })
    }
}
