//! Write of the entry of the registry that names a router.

use crate::edge::exchange::Contact;

/// Write of the entry by which a router names itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BootstrapWrite {
    /// Router that names itself.
    pub contact: Contact,
    /// Revision that the entry must have; zero when there must be none.
    pub expected_revision: u64,
}
