//! Settings of the edge router are validated; errors name the line, the key and what is expected.

use std::path::Path;
use std::time::Duration;

use sapphirespur_node::settings::EdgeSettings;

const VALID: &str = "\
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
[placement]
work-estimates = true
[rollouts]
share = 0.1
allowance = 40
rollback-ms = 4500
";

fn parse(text: &str) -> Result<EdgeSettings, String> {
    EdgeSettings::parse(Path::new("router.ini"), text.to_owned()).map_err(|e| e.to_string())
}

#[test]
fn valid_settings_are_read() {
    let settings = parse(VALID).expect("valid settings");
    assert_eq!((settings.node.name.as_str(), settings.seeds.len()), ("edge-1", 2));
    assert_eq!(settings.limits.grace, Duration::from_secs(8));
    assert_eq!(settings.limits.max_buffered_bytes, 65 * 1024 * 1024);
    assert_eq!(settings.decisions.retries.allowance, 52.0);
    assert!(settings.decisions.uses_work_estimates);
    assert_eq!((settings.decisions.cold_overshoot, settings.decisions.cold_allowance), (1.5, 5.0));
}

// Guards against more connections than the memory of a small VM holds beside what its messages may take.
#[test]
fn connections_fit_into_a_quarter_of_the_memory() {
    let max_connections = |memory_mb: &str| {
        let text = VALID.replace("memory-mb = 260", &format!("memory-mb = {memory_mb}"));
        parse(&text).expect("valid settings").limits.max_connections
    };
    assert_eq!(max_connections("88"), 938);
    assert_eq!(max_connections("260"), 2_050, "half of the descriptors");
}

#[test]
fn shipped_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/examples/direct.ini");
    assert!(EdgeSettings::read(&path).is_ok());
}

#[test]
fn missing_keys_have_defaults() {
    let end = VALID.find("[limits]").expect("present");
    let settings = parse(&VALID[..end]).expect("valid settings");
    assert_eq!(settings.limits.grace, Duration::from_secs(30));
    assert!(!settings.decisions.uses_work_estimates);
}

#[test]
fn rollouts_are_read() {
    let rollouts = parse(VALID).expect("valid settings").decisions.rollouts.expect("a share");
    assert_eq!((rollouts.share, rollouts.allowance), (0.1, 40.0));
    assert_eq!(rollouts.rollback, Duration::from_millis(4_500));
}

// Guards against roll-outs where the platform has none: its template leaves the values empty.
#[test]
fn empty_share_means_no_rollouts() {
    let empty =
        VALID.replace("share = 0.1", "share =").replace("rollback-ms = 4500", "rollback-ms =");
    assert!(parse(&empty).expect("valid settings").decisions.rollouts.is_none());
}

macro_rules! rejected_settings {
    ($($name:ident: $line:expr, $replacement:expr => [$($expected:expr),*];)*) => {
        $(
            #[test]
            fn $name() {
                assert!(VALID.contains($line), "{} is missing", $line);
                let error = parse(&VALID.replace($line, $replacement)).expect_err("rejected");
                let line_number = VALID.lines().position(|line| line == $line).expect("present") + 1;
                assert!(error.contains(&format!("router.ini:{line_number}")), "{error}");
                $(assert!(error.contains($expected), "{error} lacks {}", $expected);)*
            }
        )*
    };
}

rejected_settings! {
    address_without_port_is_rejected: "http = 10.1.0.33:8783", "http = 10.1.0.33" => ["http", "ip:port"];
    seed_with_host_name_is_rejected: "seeds = 10.1.0.33:8785,10.2.0.18:8785", "seeds = edge-2:8785" => ["seeds", "commas"];
    negative_ratio_is_rejected: "ratio = 0.2", "ratio = -1" => ["ratio", "from 0 to 10"];
    non_numeric_grace_is_rejected: "grace-s = 8", "grace-s = often" => ["grace-s", "from 0.1 to 3600"];
    unknown_key_is_rejected: "allowance = 52", "alowance = 52" => ["alowance", "allowance"];
    unknown_section_is_rejected: "[shares]", "[share]" => ["[share]"];
    work_estimates_other_than_true_or_false_is_rejected: "work-estimates = true", "work-estimates = yes" => ["work-estimates", "true or false"];
    share_above_one_is_rejected: "share = 0.1", "share = 1.5" => ["share", "[rollouts]", "from 0 to 1"];
    non_numeric_share_is_rejected: "share = 0.1", "share = NaN" => ["share", "from 0 to 1"];
    zero_rollback_is_rejected: "rollback-ms = 4500", "rollback-ms = 0" => ["rollback-ms"];
    zero_memory_is_rejected: "memory-mb = 260", "memory-mb = 0" => ["memory-mb"];
}

#[test]
fn missing_address_is_named_with_its_section() {
    let error = parse(&VALID.replace("http = 10.1.0.33:8783\n", "")).expect_err("rejected");
    assert!(error.contains("http") && error.contains("[listen]"), "{error}");
}

/// Lines of [`VALID`] with a number that the platform sets, and the smallest allowed one.
const NUMBERS: [(&str, f64); 11] = [
    ("memory-mb = 260", 16.0),
    ("descriptors = 4100", 256.0),
    ("grace-s = 8", 0.1),
    ("ratio = 0.2", 0.0),
    ("allowance = 52", 0.0),
    ("window-s = 10", 0.1),
    ("overshoot = 1.5", 0.0),
    ("allowance = 5\n", 0.0),
    ("window-s = 4", 0.1),
    ("allowance = 40", 0.0),
    ("rollback-ms = 4500", 1.0),
];

/// Returns whether the settings are valid in which each number exceeds the smallest allowed one by `excess`.
fn are_numbers_accepted(excess: f64) -> bool {
    NUMBERS.iter().all(|(line, smallest)| {
        let (key, _) = line.split_once('=').expect("a key and a value");
        let text = VALID.replacen(line, &format!("{key}= {}\n", smallest + excess), 1);
        VALID.contains(line) && parse(&text).is_ok()
    })
}

properties! {
    fn numbers_of_the_platform_may_have_fractions(thousandths: u16) -> bool {
        are_numbers_accepted(f64::from(thousandths % 10_000) / 1_000.0)
    }
}

// The property took a number that equals the one of `VALID` for a line that was not replaced.
#[test]
fn numbers_of_the_platform_may_equal_those_of_the_example() {
    assert!(are_numbers_accepted(5.0));
}

#[test]
fn fraction_of_an_allowance_is_kept() {
    let settings = parse(&VALID.replace("allowance = 52", "allowance = 36.17"));
    assert_eq!(settings.expect("valid settings").decisions.retries.allowance, 36.17);
}
