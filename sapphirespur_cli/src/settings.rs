//! Settings of an operator.

use std::path::Path;

use sapphirespur_core::name::Name;
use sapphirespur_node::settings::{PlatformSettings, SectionSchema, SettingsError, SettingsFile};

/// Settings of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorSettings {
    /// Name of the operator, for the record.
    pub name: Name,
    /// Platform.
    pub platform: PlatformSettings,
}

impl OperatorSettings {
    const SCHEMA: &[SectionSchema] =
        &[("operator", &["name"]), ("platform", PlatformSettings::KEYS)];

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line, key and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let f = SettingsFile::read(path, Self::SCHEMA)?;

        Ok(Self { name: f.name("operator", "name")?, platform: PlatformSettings::read(&f)? })
    }
}
