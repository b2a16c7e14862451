//! INI settings file with validated access to its values.

use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ini::Ini;
use sapphirespur_core::name::Name;

use crate::settings::SettingsError;

/// Name of a section and the keys that it may have.
pub type SectionSchema = (&'static str, &'static [&'static str]);

/// Parsed settings file; the source text provides the line numbers in errors.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    ini: Ini,
}

impl SettingsFile {
    /// Reads a file and rejects sections and keys that are not in `schema`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, is not valid INI, or has an unknown section
    /// or key.
    pub fn read(path: &Path, schema: &[SectionSchema]) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;

        Self::parse(path, text, schema)
    }

    /// Parses the content of a file; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not valid INI, or has an unknown section or key.
    pub fn parse(
        path: &Path,
        text: String,
        schema: &[SectionSchema],
    ) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(&text).map_err(|source| SettingsError::Syntax {
            path: path.to_owned(),
            line: source.line,
            source,
        })?;

        let file = Self { path: path.to_owned(), text, ini };
        file.check_schema(schema)?;
        Ok(file)
    }

    /// Returns the number of seconds in a key, with or without a fraction, or `default` when the key
    /// is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is not a number within `range`.
    pub fn seconds(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<f64>,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        let seconds = self.decimal(section, key, range, default.as_secs_f64())?;
        Ok(Duration::from_secs_f64(seconds))
    }

    /// Returns the value of a key, or `None` when the key is missing or has no value, as when a
    /// template is filled in and there is none.
    pub fn optional(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key).filter(|value| !value.trim().is_empty())
    }

    /// Returns the value of a required key.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key and the `expected` values when the key is missing.
    pub fn required(
        &self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Result<&str, SettingsError> {
        self.optional(section, key).ok_or_else(|| SettingsError::MissingKey {
            path: self.path.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            expected: expected.to_owned(),
        })
    }

    /// Returns the name in a required key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is missing or its value is not a valid name.
    pub fn name(&self, section: &str, key: &str) -> Result<Name, SettingsError> {
        const EXPECTED: &str = "1 to 64 letters, digits, '-', '_', '.' or ':'";

        let name = Name::new(self.required(section, key, EXPECTED)?);
        if name.is_valid() { Ok(name) } else { Err(self.invalid_value(section, key, EXPECTED)) }
    }

    /// Returns the socket address in a required key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is missing or its value is not `ip:port`.
    pub fn address(&self, section: &str, key: &str) -> Result<SocketAddr, SettingsError> {
        const EXPECTED: &str = "an address as ip:port";

        let text = self.required(section, key, EXPECTED)?;
        text.parse().map_err(|_| self.invalid_value(section, key, EXPECTED))
    }

    /// Returns the socket address in a key, or `None` when the key is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is not `ip:port`.
    pub fn optional_address(
        &self,
        section: &str,
        key: &str,
    ) -> Result<Option<SocketAddr>, SettingsError> {
        self.optional(section, key).map(|_| self.address(section, key)).transpose()
    }

    /// Returns the HTTP URL in a required key, without trailing slashes.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is missing or its value does not start with `http://`.
    pub fn url(&self, section: &str, key: &str) -> Result<String, SettingsError> {
        const EXPECTED: &str = "a URL that starts with http://";

        let text = self.required(section, key, EXPECTED)?.trim_end_matches('/');
        let has_host = text.strip_prefix("http://").is_some_and(|rest| !rest.is_empty());
        if has_host { Ok(text.to_owned()) } else { Err(self.invalid_value(section, key, EXPECTED)) }
    }

    /// Returns the integer in a key, or `default` when the key is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is not a number within `range`.
    pub fn number(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        let Some(text) = self.optional(section, key) else { return Ok(default) };

        text.parse().ok().filter(|number| range.contains(number)).ok_or_else(|| {
            let expected = format!("a number from {} to {}", range.start(), range.end());
            self.invalid_value(section, key, &expected)
        })
    }

    /// Returns the decimal number in a key, or `default` when the key is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is not a number within `range`.
    pub fn decimal(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Result<f64, SettingsError> {
        let Some(text) = self.optional(section, key) else { return Ok(default) };

        text.parse().ok().filter(|number| range.contains(number)).ok_or_else(|| {
            let expected = format!("a number from {} to {}", range.start(), range.end());
            self.invalid_value(section, key, &expected)
        })
    }

    /// Returns whether a key is `true`, or `default` when it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is neither `true` nor `false`.
    pub fn switch(&self, section: &str, key: &str, default: bool) -> Result<bool, SettingsError> {
        let Some(text) = self.optional(section, key) else { return Ok(default) };

        text.parse().map_err(|_| self.invalid_value(section, key, "true or false"))
    }

    /// Returns a comma-separated list of socket addresses; empty when the key is missing or empty.
    ///
    /// # Errors
    ///
    /// Returns an error when an item is not `ip:port`.
    pub fn addresses(&self, section: &str, key: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        const EXPECTED: &str = "addresses as ip:port, separated by commas";

        let text = self.optional(section, key).unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(|item| item.parse().map_err(|_| self.invalid_value(section, key, EXPECTED)))
            .collect()
    }

    /// Returns the error for the value of a key, which should be one of the `expected` values.
    pub fn invalid_value(&self, section: &str, key: &str, expected: &str) -> SettingsError {
        SettingsError::InvalidValue {
            path: self.path.clone(),
            line: find_line(&self.text, section, Some(key)),
            section: section.to_owned(),
            key: key.to_owned(),
            value: self.optional(section, key).unwrap_or_default().to_owned(),
            expected: expected.to_owned(),
        }
    }

    fn check_schema(&self, schema: &[SectionSchema]) -> Result<(), SettingsError> {
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            // If the closing bracket is missing, the parser extends the name to the next bracket.
            if let Some((first, _)) = section.split_once('\n') {
                return Err(self.unclosed_section(first));
            }
            let Some((_, keys)) = schema.iter().find(|(name, _)| *name == section) else {
                return Err(self.unknown_section(section, schema));
            };
            if let Some((key, _)) = properties.iter().find(|(key, _)| !keys.contains(key)) {
                // The parser joins a line without a value and the next line into one key.
                if let Some((first, _)) = key.split_once('\n') {
                    return Err(self.missing_value(section, first));
                }
                return Err(SettingsError::UnknownKey {
                    path: self.path.clone(),
                    line: find_line(&self.text, section, Some(key)),
                    section: section.to_owned(),
                    key: key.to_owned(),
                    allowed: keys.join(", "),
                });
            }
        }

        Ok(())
    }

    fn unclosed_section(&self, section: &str) -> SettingsError {
        SettingsError::UnclosedSection {
            path: self.path.clone(),
            line: find_line(&self.text, section, None),
            section: section.to_owned(),
        }
    }

    fn missing_value(&self, section: &str, key: &str) -> SettingsError {
        SettingsError::MissingValue {
            path: self.path.clone(),
            line: find_line(&self.text, section, Some(key)),
            section: section.to_owned(),
            key: key.to_owned(),
        }
    }

    fn unknown_section(&self, section: &str, schema: &[SectionSchema]) -> SettingsError {
        let allowed: Vec<&str> = schema.iter().map(|(name, _)| *name).collect();

        SettingsError::UnknownSection {
            path: self.path.clone(),
            line: find_line(&self.text, section, None),
            section: section.to_owned(),
            allowed: allowed.join(", "),
        }
    }
}

/// Returns the line number, from 1, of a section or of `key` in it, or 1 when it is not found.
///
/// Searches the text because the INI library keeps no positions.
pub fn find_line(text: &str, section: &str, key: Option<&str>) -> usize {
    let mut current = "";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[') {
            current = header.split(']').next().unwrap_or_default().trim();
            if key.is_none() && current == section {
                return index + 1;
            }
            continue;
        }

        let line_key = line.split(['=', ':']).next().map(str::trim);
        if current == section && key.is_some() && line_key == key {
            return index + 1;
        }
    }

    1
}
