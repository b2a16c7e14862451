//! Settings in the section `[log]`.

use std::path::PathBuf;

use log::LevelFilter;

use crate::settings::{SettingsError, SettingsFile};

/// Level and destination of a process's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is logged; `info` when the key is missing.
    pub level: LevelFilter,
    /// File that the log is appended to, or `None` for standard error.
    pub file: Option<PathBuf>,
}

impl LogSettings {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["level", "file"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when the level is not a valid one.
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
