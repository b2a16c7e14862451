//! Settings: the shipped examples are right, and wrong ones are refused with their place.

use std::path::{Path, PathBuf};

use sapphirespur_node::settings::{RouterSettings, SidecarSettings};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples").join(name)
}

/// Returns the error for the example of a router with one line in place of another.
fn refusal(test: &str, line: &str, replacement: &str) -> String {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is there");
    assert!(text.contains(line), "the example lacks {line}");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.ini"));
    std::fs::write(&path, text.replace(line, replacement)).expect("the file is written");
    let error = RouterSettings::read(&path).expect_err("the settings are refused").to_string();

    assert!(error.contains(&path.display().to_string()), "{error}");
    error
}

/// Returns the mark of the place of a line in the example of a router.
fn place_of(line: &str) -> String {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is there");
    let index = text.lines().position(|other| other == line).expect("the line is there");

    format!(".ini:{}: ", index + 1)
}

#[test]
fn the_examples_are_right() {
    let router = RouterSettings::read(&example("router.ini")).expect("the router's are right");
    assert_eq!(router.node.name.as_str(), "milano-r1");
    let sidecar = SidecarSettings::read(&example("sidecar.ini")).expect("the sidecar's are right");
    assert_eq!(sidecar.upstream.url, "http://127.0.0.1:8000");
}

#[test]
fn the_defaults_that_the_examples_show_are_the_defaults() {
    let text = std::fs::read_to_string(example("router.ini")).expect("the example is there");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("defaults.ini");
    let shown = text
        .replace("# workers", "workers")
        .replace("# max-", "max-")
        .replace("# drain-s", "drain-s")
        .replace("# level", "level");
    std::fs::write(&path, shown).expect("the file is written");

    let shown = RouterSettings::read(&path).expect("the settings are right");
    assert_eq!(shown, RouterSettings::read(&example("router.ini")).expect("right"));
}

macro_rules! refused {
    ($($name:ident: $line:expr, $replacement:expr => [$($expected:expr),*];)*) => {
        $(
            #[test]
            fn $name() {
                let error = refusal(stringify!($name), $line, $replacement);
                assert!(error.contains(&place_of($line)), "{error} is not at {}", $line);
                for expected in [$($expected),*] {
                    assert!(error.contains(expected), "{error} lacks {expected}");
                }
            }
        )*
    };
}

refused! {
    an_unknown_key: "# workers = 2", "worker = 2"
        => ["unknown key 'worker' in [listen]", "allowed: http, control, admin, workers"];
    an_unknown_section: "[metrics]", "[metric]" => ["unknown section [metric]"];
    a_number_out_of_range: "# workers = 2", "workers = 65"
        => ["'65' is not allowed for 'workers'", "a number from 1 to 64"];
    a_text_for_a_number: "# drain-s = 60", "drain-s = soon" => ["'soon'", "from 1 to 3600"];
    a_wrong_address: "http = 10.0.1.1:8080", "http = somewhere"
        => ["'somewhere' is not allowed for 'http'", "an address as ip:port"];
    a_wrong_url: "store = http://10.0.0.1:2379", "store = 10.0.0.1"
        => ["'10.0.0.1' is not allowed for 'store'", "starts with http://"];
    a_wrong_level: "# level = info", "level = loud" => ["'loud'", "off, error, warn"];
    a_wrong_name: "name = milano-r1", "name = a b" => ["'a b' is not allowed for 'name'"];
    a_line_without_a_value: "name = milano-r1", "name" => ["'name' in [node] has no value"];
    a_section_that_is_not_closed: "[listen]", "[listen" => ["[listen has no closing bracket"];
}

#[test]
fn a_missing_key_is_refused() {
    let error = refusal("a_missing_key_is_refused", "name = milano-r1", "");
    assert!(error.contains("key 'name' is missing in [node]"), "{error}");
}

#[test]
fn a_missing_file_is_refused() {
    let error = RouterSettings::read(Path::new("/nowhere/router.ini")).expect_err("refused");
    assert!(error.to_string().starts_with("/nowhere/router.ini: cannot be read"));
}
