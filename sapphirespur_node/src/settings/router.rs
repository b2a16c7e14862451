//! Settings of a router.

use std::path::Path;

use crate::settings::{
    LogSettings, MetricsSettings, NodeSettings, PlatformSettings, RouterLimits, RouterListen,
    SectionSchema, SettingsError, SettingsFile,
};

/// Settings of a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterSettings {
    /// Identity.
    pub node: NodeSettings,
    /// Addresses.
    pub listen: RouterListen,
    /// Platform.
    pub platform: PlatformSettings,
    /// Limits.
    pub limits: RouterLimits,
    /// Logs.
    pub log: LogSettings,
    /// Metrics.
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

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line, key and the allowed values.
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
