//! Settings of a sidecar.

use std::path::Path;

use crate::settings::{
    LogSettings, MetricsSettings, NodeSettings, PlatformSettings, SectionSchema, SettingsError,
    SettingsFile, SidecarLimits, SidecarListen, UpstreamSettings,
};

/// Settings of a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarSettings {
    /// Identity; its name is that of the upstream in the configuration.
    pub node: NodeSettings,
    /// Addresses.
    pub listen: SidecarListen,
    /// Upstream.
    pub upstream: UpstreamSettings,
    /// Platform.
    pub platform: PlatformSettings,
    /// Limits.
    pub limits: SidecarLimits,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
    pub metrics: MetricsSettings,
}

impl SidecarSettings {
    const SCHEMA: &[SectionSchema] = &[
        ("node", NodeSettings::KEYS),
        ("listen", SidecarListen::KEYS),
        ("upstream", UpstreamSettings::KEYS),
        ("platform", PlatformSettings::KEYS),
        ("limits", SidecarLimits::KEYS),
        ("log", LogSettings::KEYS),
        ("metrics", MetricsSettings::KEYS),
    ];

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line, key and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let f = SettingsFile::read(path, Self::SCHEMA)?;

        Ok(Self {
            node: NodeSettings::read(&f)?,
            listen: SidecarListen::read(&f)?,
            upstream: UpstreamSettings::read(&f)?,
            platform: PlatformSettings::read(&f)?,
            limits: SidecarLimits::read(&f)?,
            log: LogSettings::read(&f)?,
            metrics: MetricsSettings::read(&f)?,
        })
    }
}
