//! Error for a settings file that cannot be used.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reason why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// I/O error of the read.
        source: io::Error,
    },
    /// The file is not valid INI.
    #[error("{}:{line}: not valid INI: {source}", path.display())]
    Syntax {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Error of the INI parser.
        source: ini::ParseError,
    },
    /// The file has a section that is not in the schema.
    #[error("{}:{line}: unknown section [{section}]; allowed: {allowed}", path.display())]
    UnknownSection {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the section.
        section: String,
        /// Comma-separated sections of the schema.
        allowed: String,
    },
    /// A section has a key that is not in the schema.
    #[error("{}:{line}: unknown key '{key}' in [{section}]; allowed: {allowed}", path.display())]
    UnknownKey {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Comma-separated keys that the section may have.
        allowed: String,
    },
    /// A section header has no closing bracket.
    #[error("{}:{line}: [{section} has no closing bracket", path.display())]
    UnclosedSection {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the section.
        section: String,
    },
    /// A line has a key but no value.
    #[error("{}:{line}: '{key}' in [{section}] has no value", path.display())]
    MissingValue {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A required key is missing.
    #[error("{}: key '{key}' is missing in [{section}]; expected {expected}", path.display())]
    MissingKey {
        /// Path of the settings file.
        path: PathBuf,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Description of the allowed values.
        expected: String,
    },
    /// A value has the wrong type or is out of range.
    #[error(
        "{}:{line}: '{value}' is not allowed for '{key}' in [{section}]; expected {expected}",
        path.display()
    )]
    InvalidValue {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value as it is in the file.
        value: String,
        /// Description of the allowed values.
        expected: String,
    },
}
