//! Decisions of an edge router in simulated time, grouped by the traffic pattern or feature under
//! test.

#![allow(missing_docs)]

#[macro_use]
#[path = "../common/properties.rs"]
mod properties;

mod admission;
mod bootstrap;
mod buffer_account;
mod change_log;
mod clock_set_back;
mod cold_return;
mod crash_scene;
mod crashing_prompt;
mod crashing_request;
mod entries_of_other_writers;
mod event_order;
mod exchange;
mod falling_shares;
mod finely_divided_prompts;
mod fleet;
mod fleet_sums;
mod flooded_router;
mod hot_key;
mod hot_tenant;
mod hot_tenant_at_one_router;
mod late_reports;
mod leaving_and_pause;
mod membership;
mod named_limit;
mod over_share;
mod placement_reference;
mod prefix_fetch;
mod reader_watch;
mod registry_outage;
mod reported_load;
mod restored_registry;
mod retries;
mod retry_storm;
mod rollout;
mod rollout_faults;
mod rollout_orders;
mod rollout_scene;
mod rollout_store;
mod routes;
mod stop_schedule;
mod stream_origins;
mod stream_scene;
mod stream_store;
mod stream_version;
mod support;
mod work_estimates;
