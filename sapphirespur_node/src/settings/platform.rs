//! Section `[platform]`.

use crate::settings::{SettingsError, SettingsFile};

/// Where the platform's services are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// URL of the key-value service's JSON gateway.
    pub store_url: String,
    /// URL of the VM list.
    pub vm_list_url: String,
}

impl PlatformSettings {
    /// Known keys.
    pub const KEYS: &[&str] = &["store", "vm-list"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            store_url: f.url("platform", "store")?,
            vm_list_url: f.url("platform", "vm-list")?,
        })
    }
}
