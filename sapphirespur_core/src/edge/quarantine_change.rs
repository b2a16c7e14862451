//! Change of the quarantine, for logs.

/// Prompt segment that was quarantined or released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineChange {
    /// Identity of the segment.
    pub segment: u64,
    /// Whether it is quarantined now.
    pub is_quarantined: bool,
}
