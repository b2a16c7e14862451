//! Section `[metrics]`.

use std::net::SocketAddr;

use crate::settings::{SettingsError, SettingsFile};

/// Where a process sends its metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MetricsSettings {
    /// StatsD collector; no metrics are sent when missing.
    pub statsd: Option<SocketAddr>,
}

impl MetricsSettings {
    /// Known keys.
    pub const KEYS: &[&str] = &["statsd"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a value is not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self { statsd: f.optional_address("metrics", "statsd")? })
    }
}
