//! Choice of the upstream on which a request is placed.
//!
//! A choice takes three steps. [`filter`] leaves out upstreams that must not get the request,
//! [`candidate`] scores the others, and [`choice`] takes the best one that has no reason to decline.

mod candidate;
mod choice;
mod cold_limit;
mod cost;
mod filter;
mod fleet_share;
mod prefix_sources;
mod recent_choice;
mod request;
mod scoring_context;
mod selection;
mod share_status;
mod upstream_work;
mod work_context;

pub(super) use candidate::{Candidate, PlacementEstimate};
pub(super) use choice::Choice;
pub(super) use cold_limit::ColdLimit;
pub(super) use filter::Filter;
pub(super) use fleet_share::FleetShare;
pub(super) use prefix_sources::PrefixSources;
pub(super) use recent_choice::{RecentChoice, RecentChoices};
pub(super) use request::PlacementRequest;
pub(super) use scoring_context::ScoringContext;
pub(super) use selection::Selection;
pub(super) use share_status::ShareStatus;
pub(super) use work_context::WorkContext;
