//! Simulated clients in a closed loop.

use std::time::Duration;

use sapphirespur_core::config::Target;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

/// Repeatability of a client's calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Calls to a model, or idempotent calls to a service.
    Idempotent,
    /// Calls that must run at most once; each has an idempotency key.
    Keyed,
    /// Calls that must run at most once and have no idempotency key.
    Unkeyed,
}

/// Closed-loop client that keeps a number of requests in flight.
#[derive(Clone, Debug)]
pub struct Client {
    /// Workspace that it calls for.
    pub workspace: Name,
    /// Class of its requests.
    pub class: Name,
    /// Model or service that it calls.
    pub target: Target,
    /// Repeatability of its calls.
    pub kind: CallKind,
    /// Number of requests in flight.
    pub concurrency: usize,
    /// Minimum and maximum number of tokens of an answer.
    pub token_range: (u32, u32),
    /// Cost hint of a request, in per cent of the real cost.
    pub cost_hint_percent: u32,
    /// Weight of each router in the distribution of its requests; 1 for a router without entry.
    pub router_weights: Vec<u32>,
    /// Time between a complete answer and the next request.
    pub think_time: Duration,
    /// Time at which it stops sending requests.
    pub until: Time,
    /// Number of times that a request with a key is sent again after it was refused or interrupted.
    pub retries: u32,
}

/// Request in flight.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the client.
    pub client: usize,
    /// Router that received it.
    pub router: Name,
    /// Number of tokens of its answer.
    pub tokens: u32,
    /// Idempotency key, if it has one.
    pub key: Option<String>,
    /// Number of times that it may still be sent again after it was refused or interrupted.
    pub retries_left: u32,
}
