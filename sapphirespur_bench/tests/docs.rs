//! Tests and mutations named in `docs/INVARIANTS.md`.

use std::fs;
use std::path::{Path, PathBuf};

/// Returns the paths and contents of all files below `dir` that have the extension.
fn read_all(dir: &Path, extension: &str) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(dir).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            text.push_str(&read_all(&path, extension));
        } else if path.extension().is_some_and(|e| e == extension) {
            text.push_str(&path.display().to_string());
            text.push_str(&fs::read_to_string(&path).unwrap_or_default());
        }
    }

    text
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

#[test]
fn invariants_page_names_only_existing_tests_and_mutations() {
    let page = fs::read_to_string(root().join("docs/INVARIANTS.md"))
        .expect("docs/INVARIANTS.md is readable");
    let crates = ["platform", "sapphirespur_bench", "sapphirespur_core", "sapphirespur_standin"];
    let tests: String =
        crates.iter().map(|name| read_all(&root().join(name).join("tests"), "rs")).collect();
    let mutations = read_all(&root().join("sapphirespur_bench/mutations"), "patch");

    let mut named = 0;
    for quoted in page.split('`').skip(1).step_by(2) {
        let name = quoted.rsplit("::").next().unwrap_or_default().trim_matches('*');
        let is_test = name.contains('_') && !name.contains(['/', '.', ' ', '-']);
        let is_mutation =
            name.contains('-') && !name.contains(['/', ' ']) && !name.starts_with("drain");
        if is_test && !name.starts_with("sapphirespur") {
            assert!(tests.contains(name), "no test contains {name}");
            named += 1;
        }
        if is_mutation && !name.starts_with("cold-slots") && !name.starts_with("check-") {
            assert!(mutations.contains(&format!("{name}.patch")), "no mutation is named {name}");
            named += 1;
        }
    }
    assert!(named > 60, "only {named} names were found");
}
