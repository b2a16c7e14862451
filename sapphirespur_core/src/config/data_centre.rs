//! Data centre in the operators' configuration.

use serde::{Deserialize, Serialize};

/// Whether a data centre accepts new work, set by operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DataCentreState {
    /// Upstreams in the data centre accept new work.
    In,
    /// Upstreams in the data centre accept no new work.
    Out,
}

/// Data centre, keyed by its name in `Config`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Whether the data centre accepts new work.
    pub state: DataCentreState,
}
