//! What a router knows of a call before it places it.

use std::time::Duration;

use crate::edge::Prompt;
use crate::name::Name;

/// Call of a client as far as decisions need it.
#[derive(Clone, Debug)]
pub struct CallInfo {
    /// Route that takes the call.
    pub route: Name,
    /// Service that runs the call.
    pub service: Name,
    /// Workspace that pays for it; none on routes that need no key.
    pub workspace: Option<Name>,
    /// Prompt, for calls of a model.
    pub prompt: Option<Prompt>,
    /// Time within which the answer has its full worth.
    pub target: Duration,
    /// Time that the client or the route leaves for the answer.
    pub remaining: Duration,
    /// Whether the client was refused before and has come back.
    pub is_client_retry: bool,
}
