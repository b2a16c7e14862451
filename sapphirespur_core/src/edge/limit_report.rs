//! What routers tell each other of the limits that upstreams name.

use serde::{Deserialize, Serialize};

/// Limit of one upstream, as its latest response to some router said.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Requests per second from all routers together, in thousandths; none without a limit.
    pub per_s_milli: Option<u32>,
    /// Time since that response, in milliseconds.
    pub age_ms: u32,
}
