//! Parsing of intents: the shipped examples are valid, and an exported configuration round-trips.

use std::path::Path;

use sapphirespur_cli::intent::{IntentError, parse};
use sapphirespur_cli::intent_section::intent_sections;
use sapphirespur_cli::settings::OperatorSettings;
use sapphirespur_core::config::Config;

/// Returns the path of a shipped example.
fn example_path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples").join(name)
}

/// Returns the configuration that the example intent creates.
fn example_config() -> Config {
    let path = example_path("intent.ini");
    let text = std::fs::read_to_string(&path).expect("the example exists");
    let changes = parse(&path, &text, &Config::default()).expect("the example is a valid intent");

    Config::default().with_changes(&changes).expect("the example is a valid configuration")
}

#[test]
fn the_shipped_examples_are_valid() {
    let config = example_config();
    assert_eq!(config.upstreams["milano-e1"].slots, 8);
    let settings =
        OperatorSettings::read(&example_path("operator.ini")).expect("the example is valid");
    assert_eq!(settings.name.as_str(), "maria");
}

#[test]
fn an_exported_configuration_round_trips() {
    let config = example_config();
    let mut text = String::new();
    for section in intent_sections(&config) {
        text.push_str(&format!("[{} {}]\n", section.kind, section.name));
        for field in section.fields {
            text.push_str(&format!("{} = {}\n", field.key, field.value));
        }
    }

    let changes = parse(Path::new("x"), &text, &Config::default()).expect("the intent is valid");
    assert_eq!(
        Config::default().with_changes(&changes).expect("the configuration is valid"),
        config
    );
    let again = parse(Path::new("x"), &text, &config);
    assert!(matches!(again, Err(IntentError::Empty)), "{again:?}");
}

#[test]
fn omitted_keys_keep_their_values() {
    let config = example_config();
    let text = "[upstream milano-e1]\nstate = leaving\n";
    let changes = parse(Path::new("x"), text, &config).expect("the intent is valid");
    let next = config.with_changes(&changes).expect("the configuration is valid");
    let (old, new) = (&config.upstreams["milano-e1"], &next.upstreams["milano-e1"]);
    assert_ne!(old.state, new.state);
    assert_eq!((old.slots, &old.address), (new.slots, &new.address));
}

#[test]
fn a_remove_section_removes_the_workspace() {
    let text = "[remove workspace agenzia]\n";
    let changes = parse(Path::new("x"), text, &example_config()).expect("the intent is valid");
    let next = example_config().with_changes(&changes).expect("the configuration is valid");
    assert!(next.workspaces.is_empty());
}
