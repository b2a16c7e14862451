//! Requests of callers and how they end.

mod call;
mod head;
mod id;
mod meta;
mod queue_key;
mod refusal;

pub use call::Call;
pub use head::RequestHead;
pub use id::{AttemptId, RequestId};
pub use meta::RequestMeta;
pub use queue_key::QueueKey;
pub use refusal::{Outcome, Refusal, RefusalCode};
