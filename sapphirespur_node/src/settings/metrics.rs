//! Settings in the section `[metrics]`.

use std::net::SocketAddr;

use crate::settings::{SettingsError, SettingsFile};

/// Destination of a process's metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MetricsSettings {
    /// Address of the StatsD collector; no metrics are sent when `None`.
    pub statsd: Option<SocketAddr>,
}

impl MetricsSettings {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["statsd"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when the collector is not `ip:port`.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self { statsd: f.optional_address("metrics", "statsd")? })
    }
}
