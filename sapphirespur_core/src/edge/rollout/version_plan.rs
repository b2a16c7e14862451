//! Where a request may go while versions are rolled out.

use crate::edge::VersionChoice;

/// Upstreams for a request, and those to try when they don't take it.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionPlan {
    /// Upstreams to try.
    pub first: VersionChoice,
    /// Upstreams to try then.
    pub fallback: Fallback,
}

/// Upstreams to try when the first ones don't take a request.
#[derive(Clone, Debug, Default)]
pub(crate) enum Fallback {
    /// None.
    #[default]
    Never,
    /// These, when none of the first ones is available.
    IfNoneAvailable(VersionChoice),
    /// These, for whatever reason the first ones decline.
    IfDeclined(VersionChoice),
}

impl From<VersionChoice> for VersionPlan {
    fn from(first: VersionChoice) -> Self {
        Self { first, fallback: Fallback::Never }
    }
}
