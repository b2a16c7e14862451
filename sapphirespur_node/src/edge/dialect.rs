//! Headers and paths by which callers and upstreams of a platform speak.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use sapphirespur_core::edge::Prompt;
use sapphirespur_core::name::Name;
use thiserror::Error;

/// What the head of a call tells.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Identifier of this attempt of the client.
    pub attempt_id: String,
    /// Time that the client waits.
    pub remaining: Option<Duration>,
    /// Key of a workspace.
    pub key: Option<String>,
    /// Prompt, for calls of a model.
    pub prompt: Option<Prompt>,
    /// Last event that the client has, when it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Reason why the head of a call cannot be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RequestHeadError {
    /// Attempt has no identifier, or more than one.
    #[error("the attempt has no single identifier")]
    MissingAttemptId,
    /// Header that may stand once stands more often.
    #[error("header {0} stands more than once")]
    Duplicate(&'static str),
    /// Header has a value that cannot be read.
    #[error("header {0} has a value that cannot be read")]
    Invalid(&'static str),
}

/// What the router tells an upstream beside what the client sent.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestHead<'a> {
    /// Start of the upstream that is meant.
    pub instance: &'a Name,
    /// Upstream from which this one takes over kept parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Workspace that pays.
    pub workspace: Option<&'a Name>,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Event after which a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What the head of an answer tells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Whether it answers the attempt that was asked about.
    pub matches_attempt: bool,
    /// Whether the upstream has signed it.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream than the expected one answered.
    pub is_misdirected: bool,
    /// Whether the body is in a form that the client did not ask for.
    pub is_encoded: bool,
}

/// Speech of a platform; implemented by its adapter.
pub trait Dialect {
    /// Returns the path on which the balancer asks whether the router takes connections.
    fn readiness_path(&self) -> &str;

    /// Reads the head of a call.
    ///
    /// # Errors
    ///
    /// Returns an error when a header is missing, repeated or unreadable.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, RequestHeadError>;

    /// Writes what the router tells the upstream over the headers of the client.
    fn write_upstream_headers(&self, headers: &mut HeaderMap, head: UpstreamRequestHead<'_>);

    /// Reads the head of an answer to the attempt `attempt_id`.
    fn parse_response_head(
        &self,
        status: u16,
        headers: &HeaderMap,
        attempt_id: &str,
    ) -> ResponseHead;

    /// Writes the identifier of the attempt on an answer of the router itself.
    fn write_response_headers(&self, headers: &mut HeaderMap, attempt_id: &str);
}
