//! Human-readable output: tables and lists of changes.

use std::fmt::Write;

use sapphirespur_core::config::{Change, Config};

use crate::intent_section::{Field, current_fields, set_fields};

/// Returns a header and rows as a table whose columns are as wide as their longest cell.
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain(std::iter::once(header[column].len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();

    let mut text = String::new();
    let header: Vec<String> = header.iter().map(|title| (*title).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

/// Returns what changes would do to `config`: a line for each change, marked `+` (added), `~`
/// (updated) or `-` (removed), and an indented line for each field that differs.
pub fn format_changes(config: &Config, changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        let before = current_fields(config, change);
        let sign = match (&before, change.is_removal()) {
            (_, true) => '-',
            (None, false) => '+',
            (Some(_), false) => '~',
        };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{sign} {} {}", change.kind(), change.name());
        for line in field_lines(&before.unwrap_or_default(), &set_fields(change)) {
            let _ = writeln!(text, "    {line}");
        }
    }
    text
}

/// Returns a line for each field in `after` that is new or has another value than in `before`.
fn field_lines(before: &[Field], after: &[Field]) -> Vec<String> {
    let old = |key: &str| before.iter().find(|field| field.key == key);

    after
        .iter()
        .filter_map(|field| match old(field.key) {
            Some(old) if old.value == field.value => None,
            Some(old) => Some(format!("{}: {} -> {}", field.key, old.value, field.value)),
            None => Some(format!("{}: {}", field.key, field.value)),
        })
        .collect()
}
