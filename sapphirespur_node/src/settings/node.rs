//! Section `[node]`.

use sapphirespur_core::name::Name;

use crate::settings::{SettingsError, SettingsFile};

/// Identity of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM, for a sidecar of the upstream.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
}

impl NodeSettings {
    /// Known keys.
    pub const KEYS: &[&str] = &["name", "data-centre"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self { name: f.name("node", "name")?, data_centre: f.name("node", "data-centre")? })
    }
}
