//! What requests have in common that crash upstreams.

use std::fmt;

use crate::edge::{LossEvidence, RequestIdentity};

/// Part of a request that may crash upstreams: one that other requests share, or all of it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QuarantineKey {
    /// The request itself, which comes again.
    Request(RequestIdentity),
    /// Segment of its prompt.
    Segment(u64),
}

impl QuarantineKey {
    /// Losses after which a request is quarantined, and after which if it was fine before.
    const REQUEST_LOSSES: u32 = 2;
    const PROVEN_REQUEST_LOSSES: u32 = 3;

    /// The same for a segment, in losses of the stronger kind.
    const SEGMENT_LOSSES: u32 = 2;
    const PROVEN_SEGMENT_LOSSES: u32 = 4;

    /// Returns whether it is a request.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Returns the identity as a number, as reports and ranks use it.
    pub fn id(self) -> u64 {
        match self {
            Self::Request(identity) => identity.to_bits(),
            Self::Segment(id) => id,
        }
    }

    /// Returns the suspicion that the loss of an upstream adds.
    ///
    /// Requests share their segments with many others that are in flight at the same upstream, so it
    /// matters how far the response had come. That the same request is there once more is evidence
    /// enough.
    pub(super) fn weight(self, evidence: LossEvidence) -> u32 {
        match self {
            Self::Request(_) => LossEvidence::MidStart.weight(),
            Self::Segment(_) => evidence.weight(),
        }
    }

    /// Returns the suspicion at which the key is quarantined.
    ///
    /// A segment that was fine before needs more: it is more likely that another segment of the same
    /// requests is the cause, which is quarantined first.
    pub(super) fn limit(self, is_proven: bool) -> u32 {
        let losses = match (self, is_proven) {
            (Self::Request(_), false) => Self::REQUEST_LOSSES,
            (Self::Request(_), true) => Self::PROVEN_REQUEST_LOSSES,
            (Self::Segment(_), false) => Self::SEGMENT_LOSSES,
            (Self::Segment(_), true) => Self::PROVEN_SEGMENT_LOSSES,
        };
        losses * LossEvidence::MidStart.weight()
    }
}

impl fmt::Display for QuarantineKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(identity) => write!(f, "{identity}"),
            Self::Segment(id) => write!(f, "{id:x}"),
        }
    }
}
