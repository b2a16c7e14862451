//! Upstreams that must not get a request, whatever their score.

use std::time::Duration;

use crate::edge::placement::{ColdLimit, PlacementRequest};
use crate::edge::{Condition, Upstream};
use crate::time::Time;

/// Why an upstream must not get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Exclusion {
    /// This router's part of the limit that the upstream has named is used up for this time.
    Limited(Duration),
    /// It is cold, and this router's limit is reached.
    Cold,
    /// It was tried for the request before.
    Tried,
    /// It runs a version at which the request may not be placed.
    OtherVersion,
}

/// Conditions that an upstream must meet to get a request.
#[derive(Clone, Debug)]
pub(in crate::edge) struct Filter<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Request to place.
    pub request: PlacementRequest<'a>,
    /// Limits for cold upstreams, and this router's share of named ones.
    pub cold_limit: ColdLimit<'a>,
}

impl Filter<'_> {
    /// Checks an upstream that accepts requests against all conditions, in order.
    pub(super) fn check(
        &self,
        upstream: &mut Upstream,
        condition: Condition,
    ) -> Result<(), Exclusion> {
        self.check_named_limit(upstream)?;
        self.check_cold_limit(upstream, condition)?;
        self.check_tried(upstream)?;
        self.check_version(upstream)
    }

    fn check_named_limit(&self, upstream: &mut Upstream) -> Result<(), Exclusion> {
        let (now, key, share) = (self.now, upstream.key, &self.cold_limit.share);
        let Some(limit) = &mut upstream.limit else { return Ok(()) };
        let part = share.part(now, &self.request.call.service);
        let wait = limit.wait(now, part, share.routers(now), || share.phase(now, key));
        if wait.is_zero() { Ok(()) } else { Err(Exclusion::Limited(wait)) }
    }

    fn check_cold_limit(
        &self,
        upstream: &mut Upstream,
        condition: Condition,
    ) -> Result<(), Exclusion> {
        if condition != Condition::Cold {
            return Ok(());
        }
        let limit = self.cold_limit.max_requests(self.now, upstream.key);
        let has_capacity = upstream.send_limiter.has_capacity(self.now, limit);
        if has_capacity { Ok(()) } else { Err(Exclusion::Cold) }
    }

    fn check_tried(&self, upstream: &Upstream) -> Result<(), Exclusion> {
        let was_tried = self.request.tried.contains(&upstream.entry.id);
        if was_tried { Err(Exclusion::Tried) } else { Ok(()) }
    }

    fn check_version(&self, upstream: &Upstream) -> Result<(), Exclusion> {
        let fits = self.request.fits_version(upstream);
        if fits { Ok(()) } else { Err(Exclusion::OtherVersion) }
    }
}
