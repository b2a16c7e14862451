//! Changes of the registry that routers read at the one that tells them of changes.

use std::time::Duration;

use sapphirespur_core::edge::{
    ChangeLog, RegistryChange, RegistryChanges, RegistryEntry, RegistryVersion, RevisedChange,
};
use sapphirespur_core::name::Name;

use crate::support::{START, entry, ms, table};

fn version(revision: u64) -> RegistryVersion {
    RegistryVersion { era: 1, revision }
}

fn removal(revision: u64) -> RevisedChange {
    let change = RegistryChange::UpstreamRemoved(Name::new(&format!("u{revision}")));
    RevisedChange { revision, change }
}

fn config(revision: u64) -> RevisedChange {
    let table = table(revision, 1_000);
    RevisedChange { revision, change: RegistryChange::Written(RegistryEntry::Config(table)) }
}

/// Returns changes that are known up to `until`.
fn changes(until: u64, changes: Vec<RevisedChange>) -> RegistryChanges {
    let revision = changes.iter().map(|change| change.revision).max().unwrap_or(until);
    RegistryChanges { version: version(until), changed: version(revision), changes }
}

/// Returns a log that was listed at revision 10, with removals at 12 and 15.
fn log() -> ChangeLog {
    let mut log = ChangeLog::default();
    log.restart(version(10));
    log.append(START, &changes(13, vec![removal(12)]));
    log.append(START + ms(500), &changes(16, vec![removal(15)]));
    log
}

/// Returns the revisions that a log has after another one, and the version up to which they are known.
fn after(log: &ChangeLog, revision: u64) -> Option<(Vec<u64>, u64)> {
    let found = log.after(version(revision))?;
    Some((found.changes.iter().map(|change| change.revision).collect(), found.version.revision))
}

fn ignored(revision: u64) -> RevisedChange {
    let entry = RegistryEntry::Invalid { key: "k".into(), reason: "r".into() };
    RevisedChange { revision, change: RegistryChange::Written(entry) }
}

// Guards against memory and messages between routers that grow with the entries that none of them uses.
#[test]
fn ignored_entries_are_not_kept_for_other_routers() {
    let mut log = log();
    log.append(START + ms(600), &changes(5_000, (17..5_000).map(ignored).collect()));
    log.append(START + ms(700), &changes(5_001, vec![removal(5_001)]));
    assert_eq!(after(&log, 10), Some((vec![12, 15, 5_001], 5_001)));
}

macro_rules! changes_after {
    ($($name:ident: $revision:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(after(&log(), $revision), $expected);
            }
        )*
    };
}

changes_after! {
    changes_since_the_listing_are_known: 10 => Some((vec![12, 15], 16));
    changes_that_the_reader_has_are_left_out: 13 => Some((vec![15], 16));
    reader_without_new_changes_gets_none: 16 => Some((vec![], 16));
    reader_that_is_ahead_keeps_its_version: 18 => Some((vec![], 18));
    changes_before_the_listing_are_not_known: 9 => None;
}

#[test]
fn log_that_was_never_listed_knows_nothing() {
    let mut log = ChangeLog::default();
    log.append(START, &changes(13, vec![removal(12)]));
    assert_eq!(after(&log, 12), None);
}

#[test]
fn reader_of_another_era_asks_the_registry() {
    assert!(log().after(RegistryVersion { era: 2, revision: 13 }).is_none());
    assert!(log().after(RegistryVersion { era: 0, revision: 13 }).is_none());
}

// A restored registry gives revisions out again: what was known by them before is something else.
#[test]
fn changes_of_another_era_are_not_added() {
    let mut log = log();
    let version = RegistryVersion { era: 2, revision: 20 };
    let restored = RegistryChanges { version, changed: version, changes: vec![removal(18)] };
    log.append(START + ms(600), &restored);
    assert_eq!(after(&log, 13), Some((vec![15], 16)));
}

#[test]
fn reader_that_needs_forgotten_changes_asks_the_registry() {
    let mut log = log();
    log.append(START + Duration::from_secs(10), &changes(20, vec![removal(19)]));
    assert_eq!(after(&log, 11), None);
    assert_eq!(after(&log, 12), Some((vec![15, 19], 20)));
}

#[test]
fn only_the_newest_configuration_is_kept() {
    let mut log = log();
    log.append(START + ms(600), &changes(17, vec![config(17)]));
    log.append(START + ms(700), &changes(19, vec![removal(18), config(19)]));
    assert_eq!(after(&log, 16), Some((vec![18, 19], 19)));
}

#[test]
fn log_is_bounded() {
    let mut log = log();
    let many = (1..=10_000).map(|index| removal(20 + index)).collect();
    log.append(START + ms(600), &changes(11_000, many));
    assert_eq!(after(&log, 16), None);
    assert!(after(&log, 9_000).is_some_and(|(revisions, _)| revisions.len() == 1_020));
}

#[test]
fn entry_of_an_upstream_arrives_as_it_was_written() {
    let mut log = log();
    let written = RegistryChange::Written(RegistryEntry::Upstream(entry("u0", 8_000)));
    let change = RevisedChange { revision: 17, change: written };
    log.append(START + ms(600), &changes(17, vec![change]));
    let found = log.after(version(16)).expect("known");
    let [RevisedChange { change: RegistryChange::Written(RegistryEntry::Upstream(read)), .. }] =
        &found.changes[..]
    else {
        panic!("{found:?}");
    };
    assert_eq!(*read, entry("u0", 8_000));
}
