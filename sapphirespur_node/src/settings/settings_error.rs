//! Reasons why a settings file is refused.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reason why a settings file is refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not INI.
    #[error("{}:{line}: not valid INI: {source}", path.display())]
    Syntax {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Cause.
        source: ini::ParseError,
    },
    /// A section is not known.
    #[error("{}:{line}: unknown section [{section}]; allowed: {allowed}", path.display())]
    UnknownSection {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Section.
        section: String,
        /// Known sections.
        allowed: String,
    },
    /// A key is not known.
    #[error("{}:{line}: unknown key '{key}' in [{section}]; allowed: {allowed}", path.display())]
    UnknownKey {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Known keys.
        allowed: String,
    },
    /// The name of a section has no closing bracket.
    #[error("{}:{line}: [{section} has no closing bracket", path.display())]
    UnclosedSection {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Section.
        section: String,
    },
    /// A key has no value.
    #[error("{}:{line}: '{key}' in [{section}] has no value", path.display())]
    MissingValue {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Section.
        section: String,
        /// Key.
        key: String,
    },
    /// A required key is missing.
    #[error("{}: key '{key}' is missing in [{section}]; expected {expected}", path.display())]
    MissingKey {
        /// File.
        path: PathBuf,
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Allowed values.
        expected: String,
    },
    /// A value has the wrong type or is out of range.
    #[error(
        "{}:{line}: '{value}' is not allowed for '{key}' in [{section}]; expected {expected}",
        path.display()
    )]
    InvalidValue {
        /// File.
        path: PathBuf,
        /// Line, from one.
        line: usize,
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Value as written.
        value: String,
        /// Allowed values.
        expected: String,
    },
}
