//! Load of the upstreams: work of this router there, and what they report of themselves.
//!
//! Upstreams of some services tell in each response how many requests they run, how many wait and how
//! many slots they have; some add their pace. [`KnownLoad`] keeps the newest figures of one upstream,
//! [`ServiceLoad`] what the upstreams of a service have in common. Upstreams that tell no load are
//! treated as if this module did not exist.

mod draw;
mod known_load;
mod load;
mod load_report;
mod load_use;
mod pace_step;
mod pace_time;
mod plain_choice;
mod plain_option;
mod service_load;
mod told_load;
mod upstream_loads;

pub(super) use draw::Draw;
pub use known_load::KnownLoad;
pub use load::Load;
pub use load_report::LoadReport;
pub use load_use::LoadUse;
pub(super) use pace_step::PaceStep;
pub use pace_time::PaceTime;
pub(super) use plain_choice::choose_plain;
pub(super) use plain_option::PlainOption;
pub use service_load::ServiceLoad;
pub use told_load::ToldLoad;
