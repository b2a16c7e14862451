//! Decisions of a router that sends requests to upstreams itself, without sidecars.
//!
//! [`Router`] owns the state; its methods take the time and return what to do. Nothing here opens a
//! socket or reads a clock.

mod admission;
mod call;
mod candidate;
mod cold_bound;
mod fetch;
mod fleet_sums;
mod in_flight;
mod load;
mod outputs;
mod pace;
mod peers;
mod prefix_cache;
mod pressure;
mod pressures;
mod prompt;
mod refusals;
mod registry_state;
mod repeat_budget;
mod report;
mod route;
mod route_table;
mod router;
mod router_settings;
mod service;
mod shares;
mod snapshot;
mod table_index;
mod upstream;
mod upstream_entry;
mod upstreams;

pub use admission::{Admission, Decline, DeclineReason, Placement};
pub use call::CallInfo;
pub use in_flight::{InFlightRequest, SendOutcome};
pub use load::Load;
pub use outputs::Outputs;
pub use pace::Pace;
pub use peers::Peers;
pub use prefix_cache::PrefixCache;
pub use pressure::{Pressure, SeenPressure};
pub use pressures::Pressures;
pub use prompt::{Prompt, PromptSegment};
pub use refusals::Refusals;
pub use registry_state::RegistryState;
pub use repeat_budget::{RepeatBudget, RetryLimits};
pub use report::{PeerReport, PrefilledSegments, ServicePressure, UpstreamLoad, WorkspaceUsage};
pub use route::{Route, RouteKind, Split};
pub use route_table::{ClientLimits, RouteError, RouteTable, WorkspaceKeys};
pub use router::Router;
pub use router_settings::RouterSettings;
pub use service::{EngineSpec, ServiceSpec};
pub use shares::{Payer, Shares, water_fill};
pub use snapshot::Snapshot;
pub use table_index::{ServiceRoutes, TableIndex};
pub use upstream::{Condition, Upstream};
pub use upstream_entry::{UpstreamEntry, UpstreamState};
pub use upstreams::Upstreams;
