//! Intents: the shipped example is right, and what is exported creates the same configuration.

use std::path::Path;

use sapphirespur_cli::describe::parts;
use sapphirespur_cli::intent::{IntentError, parse};
use sapphirespur_cli::settings::OperatorSettings;
use sapphirespur_core::config::Config;

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples").join(name)
}

fn example_config() -> Config {
    let path = example("intent.ini");
    let text = std::fs::read_to_string(&path).expect("the example is there");
    let changes = parse(&path, &text, &Config::default()).expect("the example is right");

    Config::default().with_changes(&changes).expect("the example is whole")
}

#[test]
fn the_examples_are_right() {
    let config = example_config();
    assert_eq!(config.upstreams["milano-e1"].slots, 8);
    let settings = OperatorSettings::read(&example("operator.ini")).expect("right");
    assert_eq!(settings.name.as_str(), "maria");
}

#[test]
fn an_exported_configuration_creates_the_same_one() {
    let config = example_config();
    let mut text = String::new();
    for part in parts(&config) {
        text.push_str(&format!("[{} {}]\n", part.kind, part.name));
        for field in part.fields {
            text.push_str(&format!("{} = {}\n", field.key, field.value));
        }
    }

    let changes = parse(Path::new("x"), &text, &Config::default()).expect("it is an intent");
    assert_eq!(Config::default().with_changes(&changes).expect("it is whole"), config);
    let again = parse(Path::new("x"), &text, &config);
    assert!(matches!(again, Err(IntentError::Empty)), "{again:?}");
}

#[test]
fn keys_that_are_not_named_stay() {
    let config = example_config();
    let text = "[upstream milano-e1]\nstate = leaving\n";
    let changes = parse(Path::new("x"), text, &config).expect("it is an intent");
    let next = config.with_changes(&changes).expect("it is whole");
    let (old, new) = (&config.upstreams["milano-e1"], &next.upstreams["milano-e1"]);
    assert_ne!(old.state, new.state);
    assert_eq!((old.slots, &old.address), (new.slots, &new.address));
}

#[test]
fn a_part_is_removed() {
    let text = "[remove workspace agenzia]\n";
    let changes = parse(Path::new("x"), text, &example_config()).expect("it is an intent");
    let next = example_config().with_changes(&changes).expect("it is whole");
    assert!(next.workspaces.is_empty());
}
