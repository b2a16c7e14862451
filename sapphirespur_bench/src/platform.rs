//! Simulated key-value service of the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerEntry, LedgerResult, Precondition};
use sapphirespur_core::config::{Change, Config};

/// Injected faults of the key-value service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFault {
    /// Whether all calls fail without effect.
    pub is_down: bool,
    /// Delay of a ledger batch in each direction, and the longest delay of a configuration read.
    pub delay: Duration,
    /// Number of batches whose response will be lost after they took effect.
    pub responses_to_lose: u32,
}

/// Simulated key-value service with the configuration and the at-most-once ledger.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Faults that are injected at present.
    pub fault: PlatformFault,
    /// Configuration that was accepted last.
    pub config: Config,
    /// Number of ledger batches that took effect.
    pub batches: u64,
    /// Number of ledger operations in these batches, including conflicts.
    pub operations: u64,
    entries: BTreeMap<(u64, String), (LedgerEntry, u64)>,
    revision: u64,
}

impl Platform {
    /// Applies changes if `base` is the accepted revision; returns whether they were accepted.
    ///
    /// # Panics
    ///
    /// Panics if the changes are invalid, which is an error in the scenario.
    pub fn confirm(&mut self, base: u64, changes: &[Change]) -> bool {
        if self.fault.is_down || self.config.revision != base {
            return false;
        }

        self.config = self.config.with_changes(changes).expect("the scenario's changes are valid");
        true
    }

    /// Executes the operations of a ledger batch and returns their results.
    pub fn commit(&mut self, batch: &LedgerBatch) -> Vec<LedgerResult> {
        self.batches += 1;
        self.revision += 1;
        batch
            .operations
            .iter()
            .map(|operation| {
                self.operations += 1;
                let days = [operation.day - 1, operation.day, operation.day + 1];
                let found = days.iter().find_map(|day| {
                    let key = (*day, operation.key.clone());
                    self.entries.get(&key).map(|(entry, revision)| LedgerResult::Conflict {
                        day: *day,
                        revision: *revision,
                        entry: entry.clone(),
                    })
                });
                let holds = match (operation.precondition, &found) {
                    (Precondition::Absent, None) => true,
                    (
                        Precondition::Unchanged { revision: expected },
                        Some(LedgerResult::Conflict { day, revision, .. }),
                    ) => *day == operation.day && *revision == expected,
                    _ => false,
                };
                if !holds {
                    return found.unwrap_or(LedgerResult::Missing);
                }

                let key = (operation.day, operation.key.clone());
                self.entries.insert(key, (operation.entry.clone(), self.revision));
                LedgerResult::Written { revision: self.revision }
            })
            .collect()
    }
}
