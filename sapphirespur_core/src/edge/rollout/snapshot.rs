//! Orders and records for routers that cannot reach the store.

use serde::{Deserialize, Deserializer, Serialize};

use crate::edge::{RolloutOrder, RolloutRecord};

/// Orders and records that one router knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutSnapshot {
    /// Orders in force.
    pub orders: Vec<RolloutOrder>,
    /// Records with the revisions of their items.
    pub records: Vec<(RolloutRecord, u64)>,
}

impl RolloutSnapshot {
    /// Reads the last part of a snapshot. Builds that don't know of roll-outs end theirs before it.
    pub(crate) fn read_if_present<'de, D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Ok(Self::deserialize(from).unwrap_or_default())
    }
}
