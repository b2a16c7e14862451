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
    /// Whether it has the entry that names a router.
    pub has_bootstrap: bool,
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
            RegistryEntry::Bootstrap(_) => std::mem::replace(&mut self.has_bootstrap, true),
            RegistryEntry::Config(_) | RegistryEntry::Invalid { .. } => false,
        };
    }

    /// Adds the entries that the router knows and the listing may lack.
    pub fn add_skipped(&mut self, router: &Router, skipped: &[SkippedNames]) {
        let upstreams = router.registry().upstreams();
        for gap in skipped {
            match gap.kind {
                EntryKind::DataCentreOut => {
                    add_known(&mut self.data_centres_out, gap, upstreams.data_centres_out().iter());
                }
                EntryKind::RolloutOrder => {
                    add_known(&mut self.orders, gap, router.rollouts().services());
                }
                EntryKind::RolloutRecord => {
                    add_known(&mut self.records, gap, router.rollouts().services());
                }
                EntryKind::Upstream => {
                    let known = upstreams.iter().map(|upstream| &upstream.entry.id);
                    add_known(&mut self.upstreams, gap, known);
                }
            }
        }
    }
}

/// Adds the known names that the listing may lack.
fn add_known<'a>(
    names: &mut HashSet<Name>,
    gap: &SkippedNames,
    known: impl Iterator<Item = &'a Name>,
) {
    names.extend(known.filter(|name| gap.contains(name.as_str())).cloned());
}
