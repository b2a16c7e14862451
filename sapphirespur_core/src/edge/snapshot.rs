//! What one router knows of the platform's record, for routers that cannot reach it.

use serde::{Deserialize, Serialize};

use crate::edge::{RouteTable, UpstreamEntry};
use crate::name::Name;

/// State of the record as of a revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    /// Revision.
    pub revision: u64,
    /// Configuration in force.
    pub table: RouteTable,
    /// Upstreams with an entry; their cold time runs from when the snapshot was taken.
    pub upstreams: Vec<UpstreamEntry>,
    /// Data centres that are out.
    pub out: Vec<Name>,
}
