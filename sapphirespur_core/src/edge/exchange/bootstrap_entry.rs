//! Entry of the registry that names a router.

use serde::{Deserialize, Serialize};

use crate::edge::exchange::Contact;

/// Router that the registry names, for those whose seeds do not answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BootstrapEntry {
    /// Router that named itself; none when there is no entry, or it cannot be read.
    pub contact: Option<Contact>,
    /// Revision of the entry; zero when there is none.
    pub revision: u64,
}
