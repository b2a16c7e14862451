//! How strongly the loss of an upstream speaks against a request.

/// State of a request when its upstream was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossEvidence {
    /// Its response had not begun, or had gone on after its first event.
    Nearby,
    /// The head of its response had arrived, and no event.
    MidStart,
}

impl LossEvidence {
    /// Returns the weight in the suspicion against the segments of the request.
    pub(super) const fn weight(self) -> u32 {
        match self {
            Self::Nearby => 1,
            Self::MidStart => 2,
        }
    }
}
