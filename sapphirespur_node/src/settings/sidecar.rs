//! Settings file of a sidecar daemon.

use std::path::Path;

use crate::settings::{
    LogSettings, MetricsSettings, NodeSettings, PlatformSettings, SectionSchema, SettingsError,
    SettingsFile, SidecarLimits, SidecarListen, UpstreamSettings,
};

/// Settings of a sidecar daemon, one field per section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarSettings {
    /// Name and data centre; the name is that of the upstream in the configuration.
    pub node: NodeSettings,
    /// Listen addresses and traffic threads.
    pub listen: SidecarListen,
    /// Upstream that the sidecar fronts.
    pub upstream: UpstreamSettings,
    /// Locations of the platform's services.
    pub platform: PlatformSettings,
    /// Report interval and drain timeout.
    pub limits: SidecarLimits,
    /// Level and destination of the log.
    pub log: LogSettings,
    /// Destination of the metrics.
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

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and, where they apply, the line, the key and the
    /// allowed values.
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
