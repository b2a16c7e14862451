//! Section `[log]`.

use std::path::PathBuf;

use log::LevelFilter;

use crate::settings::{SettingsError, SettingsFile};

/// Where and how much a process logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Least level that is logged.
    pub level: LevelFilter,
    /// File to append to; standard error when missing.
    pub file: Option<PathBuf>,
}

impl LogSettings {
    /// Known keys.
    pub const KEYS: &[&str] = &["level", "file"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a value is not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        const EXPECTED: &str = "one of off, error, warn, info, debug, trace";

        let level = match f.optional("log", "level") {
            Some(text) => text.parse().map_err(|_| f.invalid_value("log", "level", EXPECTED))?,
            None => LevelFilter::Info,
        };
        Ok(Self { level, file: f.optional("log", "file").map(PathBuf::from) })
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::Info, file: None }
    }
}
