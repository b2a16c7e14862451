//! Key-value service as the decisions see it.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirespur_core::at_most_once::{LedgerBatch, LedgerEntry, LedgerResult, Precondition};
use sapphirespur_core::config::{Change, Config};

/// Faults of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFault {
    /// Nothing takes effect.
    pub is_down: bool,
    /// Added to the way there and back.
    pub delay: Duration,
    /// Writes whose answer is lost after they took effect.
    pub responses_to_lose: u32,
}

/// Key-value service.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Fault in force.
    pub fault: PlatformFault,
    /// Accepted configuration.
    pub config: Config,
    /// Batches that took effect.
    pub batches: u64,
    /// Operations that took effect.
    pub operations: u64,
    entries: BTreeMap<(u64, String), (LedgerEntry, u64)>,
    revision: u64,
}

impl Platform {
    /// Accepts changes when `base` is the accepted revision, and tells whether it did.
    ///
    /// # Panics
    ///
    /// Panics when the changes break a rule, which is a fault of the scenario.
    pub fn confirm(&mut self, base: u64, changes: &[Change]) -> bool {
        if self.fault.is_down || self.config.revision != base {
            return false;
        }

        self.config = self.config.with_changes(changes).expect("a scenario's changes are right");
        true
    }

    /// Runs a batch.
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
