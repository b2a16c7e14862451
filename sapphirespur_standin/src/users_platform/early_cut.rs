//! Response that a runner begins before it has read its request, and does not complete.

use super::early_end::EarlyEnd;

/// Success without a length that a runner begins before it has read the body of its request, and does not
/// complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlyCut {
    /// Bytes of the request's body that it reads first.
    pub read_bytes: usize,
    /// Least bytes of its own body that it sends, as whole events in two pieces.
    pub sent_bytes: usize,
    /// Pause before the connection ends, and between the two steps of the end, in milliseconds.
    pub pause_ms: u64,
    /// Whether an informational response comes first.
    pub is_announced: bool,
    /// How the connection ends.
    pub end: EarlyEnd,
}
