//! Parses intents: INI files in which operators describe the wanted state of parts of the
//! configuration.

use std::path::{Path, PathBuf};

use ini::{Ini, Properties};
use sapphirespur_core::config::{
    CallPattern, Change, Class, Config, DataCentre, DataCentreState, Model, Service, Target,
    Upstream, UpstreamState, Workspace,
};
use sapphirespur_core::name::Name;
use sapphirespur_node::settings::find_line;
use thiserror::Error;

/// Error in an intent.
#[derive(Debug, Error)]
pub enum IntentError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the intent file.
        path: PathBuf,
        /// I/O error of the read.
        source: std::io::Error,
    },
    /// The file is not INI.
    #[error("{}:{line}: not valid INI: {source}", path.display())]
    Syntax {
        /// Path of the intent file.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
        /// Error of the INI parser.
        source: ini::ParseError,
    },
    /// A section header has the wrong form or an unknown kind.
    #[error(
        "{}:{line}: [{section}] is not '[KIND NAME]' or '[remove KIND NAME]' with KIND one of \
         class, data-centre, model, service, upstream, workspace",
        path.display()
    )]
    Section {
        /// Path of the intent file.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
        /// Header of the section, without brackets.
        section: String,
    },
    /// A key is unknown, missing or has a value that is not allowed.
    #[error("{}:{line}: '{key}' in [{section}]: expected {expected}", path.display())]
    Key {
        /// Path of the intent file.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
        /// Header of the section, without brackets.
        section: String,
        /// Key that is unknown, missing or has the value.
        key: String,
        /// Description of what is allowed.
        expected: &'static str,
    },
    /// The configuration is already as the intent describes it.
    #[error("the intent changes nothing")]
    Empty,
}

/// Key that is unknown, missing or has an invalid value.
struct InvalidKey {
    key: String,
    /// Description of what is allowed.
    expected: &'static str,
}

/// Properties of a section, from which the typed objects are parsed.
struct Section<'a> {
    properties: &'a Properties,
}

/// Reads an intent file and returns the changes that apply it to `config`.
///
/// # Errors
///
/// Returns an error that names the file, and the line and key where they apply; also when nothing
/// would change.
pub fn read(path: &Path, config: &Config) -> Result<Vec<Change>, IntentError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| IntentError::Unreadable { path: path.to_owned(), source })?;

    parse(path, &text, config)
}

/// Parses the text of an intent and returns the changes that apply it to `config`; `path` is used
/// in errors only.
///
/// # Errors
///
/// Returns an error that names the file, and the line and key where they apply; also when nothing
/// would change.
pub fn parse(path: &Path, text: &str, config: &Config) -> Result<Vec<Change>, IntentError> {
    let ini = Ini::load_from_str(text).map_err(|source| IntentError::Syntax {
        path: path.to_owned(),
        line: source.line,
        source,
    })?;

    let mut changes = Vec::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        let change = parse_section(section, &Section { properties }, config);
        let change = change.ok_or_else(|| IntentError::Section {
            path: path.to_owned(),
            line: find_line(text, section, None),
            section: section.to_owned(),
        })?;
        changes.push(change.map_err(|InvalidKey { key, expected }| IntentError::Key {
            path: path.to_owned(),
            line: find_line(text, section, Some(&key)),
            section: section.to_owned(),
            key,
            expected,
        })?);
    }

    // Drops changes that are already in effect. A change that is invalid on its own stays, as it may
    // be valid together with the others.
    changes.retain(|change| {
        config
            .with_changes(std::slice::from_ref(change))
            .map_or(true, |next| Config { revision: config.revision, ..next } != *config)
    });
    if changes.is_empty() { Err(IntentError::Empty) } else { Ok(changes) }
}

/// Returns the change that a section describes, or `None` when its header is invalid.
fn parse_section(
    header: &str,
    section: &Section<'_>,
    config: &Config,
) -> Option<Result<Change, InvalidKey>> {
    let words: Vec<&str> = header.split_whitespace().collect();
    match words[..] {
        ["remove", kind, name] => parse_removal(kind, Name::new(name)).map(Ok),
        [kind, name] => parse_update(kind, Name::new(name), section, config),
        _ => None,
    }
}

/// Returns the removal of an object, or `None` when the kind is unknown.
fn parse_removal(kind: &str, name: Name) -> Option<Change> {
    Some(match kind {
        "workspace" => Change::RemoveWorkspace(name),
        "class" => Change::RemoveClass(name),
        "data-centre" => Change::RemoveDataCentre(name),
        "model" => Change::RemoveModel(name),
        "service" => Change::RemoveService(name),
        "upstream" => Change::RemoveUpstream(name),
        _ => return None,
    })
}

/// Returns the change that adds or updates an object, or `None` when the kind is unknown. Missing
/// keys keep their current values or get their defaults; a key without either is an error.
fn parse_update(
    kind: &str,
    name: Name,
    section: &Section<'_>,
    config: &Config,
) -> Option<Result<Change, InvalidKey>> {
    Some(match kind {
        "workspace" => section
            .workspace(config.workspaces.get(&name))
            .map(|value| Change::SetWorkspace(name, value)),
        "class" => {
            section.class(config.classes.get(&name)).map(|value| Change::SetClass(name, value))
        }
        "data-centre" => section.data_centre().map(|value| Change::SetDataCentre(name, value)),
        "model" => section.check_keys(&[]).map(|()| Change::SetModel(name, Model {})),
        "service" => {
            section.service(config.services.get(&name)).map(|value| Change::SetService(name, value))
        }
        "upstream" => section
            .upstream(config.upstreams.get(&name))
            .map(|value| Change::SetUpstream(name, value)),
        _ => return None,
    })
}

impl Section<'_> {
    /// Checks that the section has no other keys than `keys`.
    fn check_keys(&self, keys: &[&str]) -> Result<(), InvalidKey> {
        match self.properties.iter().find(|(key, _)| !keys.contains(key)) {
            Some((key, _)) => Err(InvalidKey { key: key.to_owned(), expected: "a known key" }),
            None => Ok(()),
        }
    }

    /// Returns a number above zero; a missing key has the value `current`.
    fn number(&self, key: &str, current: Option<u32>) -> Result<u32, InvalidKey> {
        let value = match self.properties.get(key) {
            Some(text) => text.trim().parse().ok(),
            None => current,
        };

        value
            .filter(|number| *number > 0)
            .ok_or_else(|| InvalidKey { key: key.to_owned(), expected: "a number above 0" })
    }

    /// Returns a valid name; a missing key has the value `current`.
    fn name(&self, key: &str, current: Option<&Name>) -> Result<Name, InvalidKey> {
        let value = self.properties.get(key).map(|text| Name::new(text.trim()));

        value.or_else(|| current.cloned()).filter(Name::is_valid).ok_or_else(|| InvalidKey {
            key: key.to_owned(),
            expected: "a name or an address as ip:port",
        })
    }

    /// Returns the value of one of `choices`; a missing key has the value `current`.
    fn choice<T: Copy>(
        &self,
        key: &str,
        current: Option<T>,
        choices: &[(&str, T)],
        expected: &'static str,
    ) -> Result<T, InvalidKey> {
        let value = match self.properties.get(key) {
            Some(text) => choices.iter().find(|(name, _)| *name == text.trim()).map(|c| c.1),
            None => current,
        };

        value.ok_or_else(|| InvalidKey { key: key.to_owned(), expected })
    }

    fn workspace(&self, current: Option<&Workspace>) -> Result<Workspace, InvalidKey> {
        self.check_keys(&["share", "key-digests"])?;

        let key_digests = match self.properties.get("key-digests") {
            Some(text) => split_list(text).map(str::to_owned).collect(),
            None => current.map(|c| c.key_digests.clone()).unwrap_or_default(),
        };
        Ok(Workspace { share: self.number("share", current.map(|c| c.share))?, key_digests })
    }

    fn class(&self, current: Option<&Class>) -> Result<Class, InvalidKey> {
        self.check_keys(&["weight", "default"])?;

        let default = current.map_or(Some(false), |class| Some(class.default));
        Ok(Class {
            weight: self.number("weight", current.map(|c| c.weight))?,
            default: self.choice(
                "default",
                default,
                &[("true", true), ("false", false)],
                "true or false",
            )?,
        })
    }

    fn data_centre(&self) -> Result<DataCentre, InvalidKey> {
        self.check_keys(&["state"])?;

        let choices = [("in", DataCentreState::In), ("out", DataCentreState::Out)];
        Ok(DataCentre { state: self.choice("state", None, &choices, "in or out")? })
    }

    fn service(&self, current: Option<&Service>) -> Result<Service, InvalidKey> {
        self.check_keys(&["idempotent"])?;
        let Some(text) = self.properties.get("idempotent") else {
            return Ok(current.cloned().unwrap_or_default());
        };

        let patterns: Option<Vec<CallPattern>> = split_list(text).map(parse_call_pattern).collect();
        let idempotent = patterns.ok_or_else(|| InvalidKey {
            key: "idempotent".to_owned(),
            expected: "a list of 'METHOD /path', separated by commas",
        })?;
        Ok(Service { idempotent })
    }

    fn upstream(&self, current: Option<&Upstream>) -> Result<Upstream, InvalidKey> {
        const KEYS: &[&str] = &[
            "model",
            "service",
            "data-centre",
            "address",
            "control",
            "slots",
            "cold-slots",
            "state",
        ];
        const STATES: &[(&str, UpstreamState)] =
            &[("active", UpstreamState::Active), ("leaving", UpstreamState::Leaving)];
        self.check_keys(KEYS)?;

        let target = match (self.properties.get("model"), self.properties.get("service")) {
            (Some(model), None) => Some(Target::Model(Name::new(model.trim()))),
            (None, Some(service)) => Some(Target::Service(Name::new(service.trim()))),
            (None, None) => current.map(|c| c.target.clone()),
            (Some(_), Some(_)) => None,
        };
        let target = target.ok_or_else(|| InvalidKey {
            key: "model".to_owned(),
            expected: "either a model or a service",
        })?;
        let state = current.map_or(UpstreamState::Active, |c| c.state);
        Ok(Upstream {
            target,
            data_centre: self.name("data-centre", current.map(|c| &c.data_centre))?,
            address: self.name("address", current.map(|c| &c.address))?,
            control: self.name("control", current.map(|c| &c.control))?,
            slots: self.number("slots", current.map(|c| c.slots))?,
            cold_slots: self
                .number("cold-slots", current.map_or(Some(1), |c| Some(c.cold_slots)))?,
            state: self.choice("state", Some(state), STATES, "active or leaving")?,
        })
    }
}

/// Returns the non-empty items of a list separated by commas.
fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim).filter(|item| !item.is_empty())
}

/// Parses `METHOD /path`.
fn parse_call_pattern(text: &str) -> Option<CallPattern> {
    let (method, path) = text.split_once(char::is_whitespace)?;
    let path = path.trim();
    let is_method = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());

    (is_method && path.starts_with('/'))
        .then(|| CallPattern { method: method.to_owned(), path: path.to_owned() })
}
