//! Settings file of an operator.

use std::path::Path;

use sapphirespur_core::name::Name;
use sapphirespur_node::settings::{PlatformSettings, SectionSchema, SettingsError, SettingsFile};

/// Settings with which an operator's commands run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorSettings {
    /// Name of the operator, which is stored with plans and confirmations.
    pub name: Name,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
}

impl OperatorSettings {
    /// Allowed sections and their keys.
    const SCHEMA: &[SectionSchema] =
        &[("operator", &["name"]), ("platform", PlatformSettings::KEYS)];

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line, key and allowed values where they apply.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let f = SettingsFile::read(path, Self::SCHEMA)?;

        Ok(Self { name: f.name("operator", "name")?, platform: PlatformSettings::read(&f)? })
    }
}
