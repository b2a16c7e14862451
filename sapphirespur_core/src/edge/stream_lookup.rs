//! Conclusion from what the store holds about a stream.

use crate::edge::{BaseVersion, StreamKey, StreamOrigin, StreamRecord};
use crate::name::Name;

/// What the store tells of a stream.
#[derive(Clone, Debug, Default)]
pub struct StreamLookup {
    /// Era of the store.
    pub era: u64,
    /// Records of the shard of the stream.
    pub records: Vec<StreamRecord>,
    /// Base version of the service; none when there is none.
    pub base: Option<BaseVersion>,
}

/// Where a stream that a client takes up may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamVerdict {
    /// At upstreams of this version.
    Version(Name),
    /// Nowhere: it is certain that the version that began it will not be known.
    Unknowable,
}

impl StreamLookup {
    /// Returns where a stream may go on.
    pub fn verdict(&self, key: StreamKey) -> StreamVerdict {
        if let Some(origin) = StreamRecord::find(&self.records, key) {
            return StreamVerdict::from(origin);
        }
        match &self.base {
            // After a restore, the absence of a record tells nothing.
            Some(base) if base.is_settled && base.era == self.era => {
                StreamVerdict::Version(base.version.clone())
            }
            _ => StreamVerdict::Unknowable,
        }
    }
}

impl From<StreamOrigin> for StreamVerdict {
    fn from(origin: StreamOrigin) -> Self {
        match origin {
            StreamOrigin::Version(version) => Self::Version(version),
            StreamOrigin::Ambiguous => Self::Unknowable,
        }
    }
}
