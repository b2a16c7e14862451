//! Request for which an upstream is chosen.

use crate::edge::{CallInfo, LengthOutlook, QuarantineKey, Upstream, VersionChoice};
use crate::name::Name;

/// Call with what is known of it beyond its own properties.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) struct PlacementRequest<'a> {
    /// Call to place.
    pub call: &'a CallInfo,
    /// Upstreams that were tried for it before.
    pub tried: &'a [Name],
    /// Usage of its workspace with this request included, as a ratio to its share.
    pub share_usage: f64,
    /// What the request tries although it is quarantined.
    pub trial: Option<QuarantineKey>,
    /// Distribution of the length of its response.
    pub outlook: LengthOutlook,
    /// Versions at which roll-outs allow it.
    pub versions: &'a VersionChoice,
}

impl PlacementRequest<'_> {
    /// Returns whether the request may go to all upstreams of its service.
    pub fn is_unrestricted(&self) -> bool {
        self.tried.is_empty()
            && self.call.version.is_none()
            && matches!(self.versions, VersionChoice::Any)
    }

    /// Returns whether an upstream runs a version at which the request may be placed.
    pub fn fits_version(&self, upstream: &Upstream) -> bool {
        self.call.fits_version(&upstream.entry) && self.versions.allows(upstream)
    }
}
