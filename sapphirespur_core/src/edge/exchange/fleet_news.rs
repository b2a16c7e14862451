//! News that routers pass on to all others.

use serde::{Deserialize, Serialize};

use crate::edge::{LimitReport, SegmentReport};

/// What a router knows of prompt segments and of upstreams that every router has to know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetNews {
    /// Prompt segments under which upstreams were lost.
    pub segments: Vec<SegmentReport>,
    /// Limits that upstreams have named.
    pub limits: Vec<LimitReport>,
}
