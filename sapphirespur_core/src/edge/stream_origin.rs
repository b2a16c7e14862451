//! What is known of the software version that began a stream.

use crate::name::Name;

/// Version that began a stream, as one source tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamOrigin {
    /// The stream began at this version.
    Version(Name),
    /// Streams of the same key began at several versions, as after an attempt identifier came twice.
    Ambiguous,
}

impl StreamOrigin {
    /// Adds what another source tells of the same key.
    pub fn merge(&mut self, other: &Self) {
        if self != other {
            *self = Self::Ambiguous;
        }
    }
}
