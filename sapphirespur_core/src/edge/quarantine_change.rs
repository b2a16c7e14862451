//! Change of the quarantine, for logs.

use crate::edge::QuarantineKey;

/// Request or prompt segment that was quarantined or released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineChange {
    /// What it concerns.
    pub key: QuarantineKey,
    /// Whether it is quarantined now.
    pub is_quarantined: bool,
}
