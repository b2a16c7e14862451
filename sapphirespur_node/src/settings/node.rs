//! Settings in the section `[node]`.

use sapphirespur_core::name::Name;

use crate::settings::{SettingsError, SettingsFile};

/// Identity of a daemon process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM; for a sidecar, the name of its upstream in the configuration.
    pub name: Name,
    /// Name of the VM's data centre.
    pub data_centre: Name,
}

impl NodeSettings {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["name", "data-centre"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or its value is not a valid name.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self { name: f.name("node", "name")?, data_centre: f.name("node", "data-centre")? })
    }
}
