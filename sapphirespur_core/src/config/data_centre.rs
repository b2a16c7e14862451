//! Data centre as operators configure it.

use serde::{Deserialize, Serialize};

/// Whether operators let a data centre take new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DataCentreState {
    /// Takes new work.
    In,
    /// Takes no new work.
    Out,
}

/// Data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Whether the data centre takes new work.
    pub state: DataCentreState,
}
