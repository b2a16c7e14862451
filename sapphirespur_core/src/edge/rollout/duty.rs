//! Calls to the store that roll-outs need.

use crate::edge::{RolloutRecord, RolloutState};
use crate::name::Name;

/// Call to the store that is due. Each is answered by exactly one of the callbacks of
/// [`Rollouts`](crate::edge::Rollouts).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutDuty {
    /// Reads the leader's item; answered by `on_leader_read`.
    ReadLeader,
    /// Grants a lease and creates the leader's item attached to it, if there is none; answered by
    /// `on_acquired`.
    Acquire,
    /// Renews the lease of this leader; answered by `on_renewed`.
    Renew {
        /// Identity of the lease.
        lease: u64,
    },
    /// Revokes the lease of this leader; answered by `on_released`.
    Release {
        /// Identity of the lease.
        lease: u64,
    },
    /// Writes a record and, if there is one, the state for the operator, in one transaction; answered
    /// by `on_written`.
    Write {
        /// Record to write.
        record: RolloutRecord,
        /// State that the operator reads, if it changes.
        state: Option<RolloutState>,
        /// Revision that the record's item must have; zero when there must be none.
        expected_record: u64,
        /// Revision that the leader's item must have.
        leader_revision: u64,
    },
    /// Reads the record of a service; answered by `on_read`.
    Read {
        /// Name of the service.
        service: Name,
    },
}
