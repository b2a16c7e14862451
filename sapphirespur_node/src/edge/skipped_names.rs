//! Entries that a listing of the registry may lack.

use sapphirespur_core::name::Name;

/// Kind of an entry whose absence from a listing has a meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// Data centre that is out, by its name.
    DataCentreOut,
    /// Order of a roll-out, by its service.
    RolloutOrder,
    /// Record of a roll-out, by its service.
    RolloutRecord,
    /// Upstream, by its identifier.
    Upstream,
}

/// Names of a kind of entries that a listing may lack although the registry has them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SkippedNames {
    /// Kind of the entries.
    pub kind: EntryKind,
    /// Name below all of them; empty when any may be missing.
    pub after: Name,
    /// Largest of them; absent when there is no bound.
    pub up_to: Option<Name>,
}

impl SkippedNames {
    /// Returns whether a name is among them.
    pub fn contains(&self, name: &str) -> bool {
        name > self.after.as_str() && self.up_to.as_ref().is_none_or(|up_to| name <= up_to.as_str())
    }
}
