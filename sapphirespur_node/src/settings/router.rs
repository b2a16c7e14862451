//! Settings file of a router daemon.

use std::path::Path;

use crate::settings::{
    LogSettings, MetricsSettings, NodeSettings, PlatformSettings, RouterLimits, RouterListen,
    SectionSchema, SettingsError, SettingsFile,
};

/// Settings of a router daemon, one field per section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterSettings {
    /// Name and data centre of the VM.
    pub node: NodeSettings,
    /// Listen addresses and traffic threads.
    pub listen: RouterListen,
    /// Locations of the platform's services.
    pub platform: PlatformSettings,
    /// Request limits and drain timeout.
    pub limits: RouterLimits,
    /// Level and destination of the log.
    pub log: LogSettings,
    /// Destination of the metrics.
    pub metrics: MetricsSettings,
}

impl RouterSettings {
    const SCHEMA: &[SectionSchema] = &[
        ("node", NodeSettings::KEYS),
        ("listen", RouterListen::KEYS),
        ("platform", PlatformSettings::KEYS),
        ("limits", RouterLimits::KEYS),
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
            listen: RouterListen::read(&f)?,
            platform: PlatformSettings::read(&f)?,
            limits: RouterLimits::read(&f)?,
            log: LogSettings::read(&f)?,
            metrics: MetricsSettings::read(&f)?,
        })
    }
}
