//! Names of the entries of a listing.

use sapphirespur_core::collections::HashSet;
use sapphirespur_core::edge::{RegistryEntry, Router};
use sapphirespur_core::name::Name;

use super::skipped_names::{EntryKind, SkippedNames};

/// Names of the entries that a listing has, or may lack although they are known, by kind. What is not
/// among them is gone.
#[derive(Debug, Default)]
pub(super) struct ListedNames {
    /// Data centres that are out.
    pub data_centres_out: HashSet<Name>,
    /// Services with the order of a roll-out.
    pub orders: HashSet<Name>,
    /// Services with the record of a roll-out.
    pub records: HashSet<Name>,
    /// Upstreams.
    pub upstreams: HashSet<Name>,
}

impl ListedNames {
    /// Adds the name of an entry.
    pub fn add(&mut self, entry: &RegistryEntry) {
        match entry {
            RegistryEntry::Upstream(upstream) => self.upstreams.insert(upstream.id.clone()),
            RegistryEntry::DataCentreOut(name) => self.data_centres_out.insert(name.clone()),
            RegistryEntry::RolloutOrder(order) => self.orders.insert(order.service.clone()),
            RegistryEntry::RolloutRecord { record, .. } => {
                self.records.insert(record.service.clone())
            }
            RegistryEntry::Config(_) | RegistryEntry::Invalid { .. } => false,
        };
    }

    /// Adds the entries that the router knows and the listing may lack.
    pub fn add_skipped(&mut self, router: &Router, skipped: &[SkippedNames]) {
        let upstreams = router.registry().upstreams();
        for gap in skipped {
            let is_skipped = |name: &&Name| gap.contains(name.as_str());
            match gap.kind {
                EntryKind::DataCentreOut => {
                    let known = upstreams.data_centres_out().iter();
                    self.data_centres_out.extend(known.filter(is_skipped).cloned());
                }
                EntryKind::RolloutOrder => {
                    self.orders.extend(router.rollouts().services().filter(is_skipped).cloned());
                }
                EntryKind::RolloutRecord => {
                    self.records.extend(router.rollouts().services().filter(is_skipped).cloned());
                }
                EntryKind::Upstream => {
                    let known = upstreams.iter().map(|upstream| &upstream.entry.id);
                    self.upstreams.extend(known.filter(is_skipped).cloned());
                }
            }
        }
    }
}
