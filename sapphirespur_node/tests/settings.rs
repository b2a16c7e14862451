//! Settings files: the shipped examples are valid; errors in a file are reported with its line.

use std::path::{Path, PathBuf};

use sapphirespur_node::settings::{RouterSettings, SidecarSettings};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples").join(name)
}

/// Returns the error for the router example with `line` replaced.
fn rejection_error(test: &str, line: &str, replacement: &str) -> String {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is readable");
    assert!(text.contains(line), "the example lacks {line}");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.ini"));
    std::fs::write(&path, text.replace(line, replacement)).expect("the file is written");
    let error = RouterSettings::read(&path).expect_err("the settings are rejected").to_string();

    assert!(error.contains(&path.display().to_string()), "{error}");
    error
}

/// Returns the part of an error message that locates `line` in the router example.
fn line_prefix(line: &str) -> String {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is readable");
    let index = text.lines().position(|other| other == line).expect("the example has the line");

    format!(".ini:{}: ", index + 1)
}

#[test]
fn shipped_examples_are_valid() {
    let router = RouterSettings::read(&example("router.ini")).expect("valid router settings");
    assert_eq!(router.node.name.as_str(), "milano-r1");
    let sidecar = SidecarSettings::read(&example("sidecar.ini")).expect("valid sidecar settings");
    assert_eq!(sidecar.upstream.url, "http://127.0.0.1:8000");
}

#[test]
fn commented_out_values_in_the_example_are_the_defaults() {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is readable");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("defaults.ini");
    let uncommented = text
        .replace("# workers", "workers")
        .replace("# max-", "max-")
        .replace("# drain-s", "drain-s")
        .replace("# level", "level");
    std::fs::write(&path, uncommented).expect("the file is written");

    let settings = RouterSettings::read(&path).expect("valid settings");
    assert_eq!(settings, RouterSettings::read(&example("router.ini")).expect("valid settings"));
}

/// Defines tests in which the router example with one line replaced is rejected with the line's
/// number and the expected texts.
macro_rules! rejected {
    ($($name:ident: $line:expr, $replacement:expr => [$($expected:expr),*];)*) => {
        $(
            #[test]
            fn $name() {
                let error = rejection_error(stringify!($name), $line, $replacement);
                assert!(error.contains(&line_prefix($line)), "{error} is not at line {}", $line);
                for expected in [$($expected),*] {
                    assert!(error.contains(expected), "{error} lacks {expected}");
                }
            }
        )*
    };
}

rejected! {
    unknown_key_is_rejected: "# workers = 2", "worker = 2"
        => ["unknown key 'worker' in [listen]", "allowed: http, control, admin, workers"];
    unknown_section_is_rejected: "[metrics]", "[metric]" => ["unknown section [metric]"];
    number_out_of_range_is_rejected: "# workers = 2", "workers = 65"
        => ["'65' is not allowed for 'workers'", "a number from 1 to 64"];
    text_for_a_number_is_rejected: "# drain-s = 60", "drain-s = soon"
        => ["'soon'", "from 1 to 3600"];
    invalid_address_is_rejected: "http = 10.0.1.1:8080", "http = somewhere"
        => ["'somewhere' is not allowed for 'http'", "an address as ip:port"];
    invalid_url_is_rejected: "store = http://10.0.0.1:2379", "store = 10.0.0.1"
        => ["'10.0.0.1' is not allowed for 'store'", "starts with http://"];
    unknown_log_level_is_rejected: "# level = info", "level = loud"
        => ["'loud'", "off, error, warn"];
    invalid_name_is_rejected: "name = milano-r1", "name = a b"
        => ["'a b' is not allowed for 'name'"];
    key_without_a_value_is_rejected: "name = milano-r1", "name"
        => ["'name' in [node] has no value"];
    unclosed_section_is_rejected: "[listen]", "[listen" => ["[listen has no closing bracket"];
}

#[test]
fn missing_key_is_rejected() {
    let error = rejection_error("missing_key_is_rejected", "name = milano-r1", "");
    assert!(error.contains("key 'name' is missing in [node]"), "{error}");
}

#[test]
fn missing_file_is_rejected() {
    let error = RouterSettings::read(Path::new("/nowhere/router.ini")).expect_err("rejected");
    assert!(error.to_string().starts_with("/nowhere/router.ini: cannot be read"));
}
