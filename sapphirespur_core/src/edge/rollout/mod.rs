//! Roll-outs of versions: moves the traffic of a service to another version, and back if that version
//! fails or is slow.
//!
//! [`Rollouts`] holds all roll-outs at one router. The design and the error rates are in
//! `docs/design/rollouts.md`.

mod counts;
mod credit;
mod decision;
mod duty;
mod duty_view;
mod evidence;
mod fault;
mod hypotheses;
mod judge;
mod judged;
mod judging;
mod known_order;
mod leader_view;
mod leadership;
mod mark;
mod measure;
mod notice;
mod order;
mod phase;
mod placing;
mod ramp;
mod reason;
mod record;
mod reference;
mod rollouts;
mod samples;
mod seen;
mod sequential_test;
mod service_rollout;
mod service_view;
mod settings;
mod snapshot;
mod state;
mod stored_record;
mod summary;
mod tally;
mod verdict;
mod version_choice;
mod version_plan;
mod waiting;

pub use duty::RolloutDuty;
pub(crate) use duty_view::DutyView;
pub(crate) use evidence::EvidenceKey;
pub use evidence::{RolloutEvidence, RolloutRole};
pub use judged::Judged;
pub use mark::RolloutMark;
pub use notice::{RolloutEvent, RolloutNotice};
pub use order::RolloutOrder;
pub use phase::RolloutPhase;
pub use reason::RolloutReason;
pub use record::RolloutRecord;
pub use rollouts::Rollouts;
pub use settings::RolloutSettings;
pub use snapshot::RolloutSnapshot;
pub use state::RolloutState;
pub use summary::RolloutSummary;
pub use verdict::RolloutVerdict;
pub(crate) use version_choice::VersionChoice;
pub(crate) use version_plan::{Fallback, VersionPlan};
