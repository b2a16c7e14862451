//! News that routers pass on to all others.

use serde::{Deserialize, Serialize};

use crate::edge::SegmentReport;

/// What a router knows that every other one has to know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetNews {
    /// Prompt segments under which upstreams were lost.
    pub segments: Vec<SegmentReport>,
}
