//! Callers in a closed loop.

use std::time::Duration;

use sapphirespur_core::config::Target;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

/// Whether a client's calls may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Calls of a model, or idempotent calls of a service.
    Idempotent,
    /// Calls that must not repeat; each carries an idempotency key.
    Keyed,
    /// Calls that must not repeat and carry no key.
    Unkeyed,
}

/// Client that keeps a number of requests under way.
#[derive(Clone, Debug)]
pub struct Client {
    /// Workspace.
    pub workspace: Name,
    /// Class of its requests.
    pub class: Name,
    /// Model or service that it calls.
    pub target: Target,
    /// Whether its calls may be repeated.
    pub kind: CallKind,
    /// Requests under way at once.
    pub concurrency: usize,
    /// Fewest and most tokens of an answer.
    pub token_range: (u32, u32),
    /// Factor by which the hint exceeds the real cost, in per cent.
    pub cost_hint_percent: u32,
    /// Weight of each router in the spread of its requests.
    pub router_weights: Vec<u32>,
    /// Time between an answer and the next request.
    pub think_time: Duration,
    /// Time after which no more requests start.
    pub until: Time,
    /// Times that a request is sent again with its key after an answer that leaves it open.
    pub retries: u32,
}

/// Request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the client.
    pub client: usize,
    /// Router that holds it.
    pub router: Name,
    /// Tokens of its answer.
    pub tokens: u32,
    /// Idempotency key.
    pub key: Option<String>,
    /// Times that it may still be sent again.
    pub retries_left: u32,
}
