//! Settings in the section `[platform]`.

use crate::settings::{SettingsError, SettingsFile};

/// Locations of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Base URL of the JSON gateway of the key-value store.
    pub store_url: String,
    /// URL that serves the list of VMs.
    pub vm_list_url: String,
}

impl PlatformSettings {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["store", "vm-list"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or its value is not an HTTP URL.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            store_url: f.url("platform", "store")?,
            vm_list_url: f.url("platform", "vm-list")?,
        })
    }
}
