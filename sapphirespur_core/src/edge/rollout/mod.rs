//! Roll-outs of versions: moves the traffic of a service to another version, and back if that version
//! fails or is slow.
//!
//! [`Rollouts`] holds all roll-outs at one router. The design and the error rates are in
//! `docs/design/rollouts.md`.

mod duty;
mod evidence;
mod notice;
mod order;
mod phase;
mod reason;
mod record;
mod rollouts;
mod settings;
mod snapshot;
mod state;
mod summary;
mod verdict;

pub use duty::RolloutDuty;
pub(crate) use evidence::EvidenceKey;
pub use evidence::{RolloutEvidence, RolloutRole};
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
