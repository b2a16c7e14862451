//! Requests of callers, their identifiers and refusals.

mod head;
mod id;
mod meta;
mod queue_key;
mod refusal;
mod repeatability;

pub use head::RequestHead;
pub use id::{AttemptId, RequestId};
pub use meta::RequestMeta;
pub use queue_key::QueueKey;
pub use refusal::{Outcome, Refusal, RefusalCode};
pub use repeatability::Repeatability;
