//! Changes of phase, with the figures that decided them.

use std::time::Duration;

use crate::edge::{RolloutPhase, RolloutReason};
use crate::name::Name;

/// Change of phase, or a verdict of this router, for a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutNotice {
    /// Name of the service.
    pub service: Name,
    /// Version that the order names.
    pub target: Name,
    /// What happened.
    pub event: RolloutEvent,
    /// Time since the roll-out began.
    pub elapsed: Duration,
    /// Responses of the target that were judged, over the fleet.
    pub answered: u32,
    /// Bad responses among them.
    pub bad: u32,
    /// Responses of old versions that were judged, over the fleet.
    pub old_answered: u32,
    /// Bad responses among them.
    pub old_bad: u32,
}

/// What happened to a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutEvent {
    /// The record has a new phase.
    Phase(RolloutPhase, RolloutReason),
    /// This router stops sending to the target, ahead of the record.
    Stopped,
    /// An order cannot be decoded, or was deleted.
    OrderLost,
}
