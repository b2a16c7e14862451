//! Versions at which a request may be placed.

use crate::collections::HashSet;
use crate::edge::Upstream;
use crate::name::Name;

/// Upstreams at which a request may be placed, by their version.
#[derive(Clone, Debug, Default)]
pub(crate) enum VersionChoice {
    /// All.
    #[default]
    Any,
    /// Those of the target that are in the subset, if there is one.
    Target {
        /// Version that is rolled out.
        target: Name,
        /// Keys of the upstreams; none for all of the version.
        subset: Option<HashSet<u32>>,
    },
    /// Those of other versions than these.
    NotIn(Vec<Name>),
}

impl VersionChoice {
    /// Returns whether an upstream may take the request.
    pub fn allows(&self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Target { target, subset } => {
                upstream.entry.version == *target
                    && subset.as_ref().is_none_or(|keys| keys.contains(&upstream.key))
            }
            Self::NotIn(versions) => !versions.contains(&upstream.entry.version),
        }
    }
}
