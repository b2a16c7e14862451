//! Settings of the router, with the place and the reason when they are refused.

use std::path::Path;
use std::time::Duration;

use sapphirespur_node::settings::EdgeSettings;

const GOOD: &str = "\
[node]
name = edge-1
data-centre = milano
[listen]
http = 10.1.0.33:8783
ready = 10.1.0.33:8780
peers = 10.1.0.33:7400
metrics = 10.1.0.33:9464
[peers]
seeds = 10.1.0.33:8785,10.2.0.18:8785
[record]
address = 10.200.1.7:8781
[limits]
memory-mb = 260
descriptors = 4100
grace-s = 8
[repeats]
ratio = 0.2
allowance = 52
window-s = 10
[cold]
overshoot = 1.5
allowance = 5
[shares]
window-s = 4
";

fn parse(text: &str) -> Result<EdgeSettings, String> {
    EdgeSettings::parse(Path::new("router.ini"), text.to_owned()).map_err(|e| e.to_string())
}

#[test]
fn good_settings_are_taken() {
    let settings = parse(GOOD).expect("right");
    assert_eq!((settings.node.name.as_str(), settings.seeds.len()), ("edge-1", 2));
    assert_eq!(settings.limits.grace, Duration::from_secs(8));
    assert_eq!(settings.limits.max_buffered_bytes, 65 * 1024 * 1024);
    assert_eq!(settings.decisions.retries.allowance, 52);
    assert_eq!((settings.decisions.cold_overshoot, settings.decisions.cold_allowance), (1.5, 5.0));
}

#[test]
fn the_shipped_example_is_right() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples/direct.ini");
    assert!(EdgeSettings::read(&path).is_ok());
}

#[test]
fn what_is_not_said_has_a_default() {
    let end = GOOD.find("[limits]").expect("there");
    let settings = parse(&GOOD[..end]).expect("right");
    assert_eq!(settings.limits.grace, Duration::from_secs(30));
}

macro_rules! refused {
    ($($name:ident: $line:expr, $replacement:expr => [$($expected:expr),*];)*) => {
        $(
            #[test]
            fn $name() {
                assert!(GOOD.contains($line), "{} is there", $line);
                let error = parse(&GOOD.replace($line, $replacement)).expect_err("refused");
                let place = GOOD.lines().position(|line| line == $line).expect("there") + 1;
                assert!(error.contains(&format!("router.ini:{place}")), "{error}");
                $(assert!(error.contains($expected), "{error} lacks {}", $expected);)*
            }
        )*
    };
}

refused! {
    an_address_without_a_port: "http = 10.1.0.33:8783", "http = 10.1.0.33" => ["http", "ip:port"];
    a_seed_that_is_a_name: "seeds = 10.1.0.33:8785,10.2.0.18:8785", "seeds = edge-2:8785" => ["seeds", "commas"];
    a_ratio_below_zero: "ratio = 0.2", "ratio = -1" => ["ratio", "from 0 to 10"];
    a_grace_of_words: "grace-s = 8", "grace-s = often" => ["grace-s", "from 1 to 3600"];
    an_unknown_key: "allowance = 52", "alowance = 52" => ["alowance", "allowance"];
    an_unknown_section: "[shares]", "[share]" => ["[share]"];
    memory_of_zero: "memory-mb = 260", "memory-mb = 0" => ["memory-mb"];
}

#[test]
fn a_missing_address_is_named() {
    let error = parse(&GOOD.replace("http = 10.1.0.33:8783\n", "")).expect_err("refused");
    assert!(error.contains("http") && error.contains("[listen]"), "{error}");
}
