//! Headers and paths that the clients and upstreams of a platform use.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use sapphirespur_core::edge::{Prompt, ToldLoad};
use sapphirespur_core::name::Name;
use thiserror::Error;

/// Information from the head of a client's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Identifier of this attempt, chosen by the client.
    pub attempt_id: String,
    /// Time that the client waits for the response; absent when it sets no deadline.
    pub remaining: Option<Duration>,
    /// API key of a workspace; absent when the client sends none.
    pub key: Option<String>,
    /// Token counts and segments of the prompt; absent for requests that run no model.
    pub prompt: Option<Prompt>,
    /// Whether the client's estimate of the output tokens was ignored, because it is malformed or
    /// absurd.
    pub is_hint_malformed: bool,
    /// Last event that the client received; present when it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Identifier of the attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<String>,
}

impl RequestHead {
    /// Returns the attempt by which a split route chooses the service: a stream goes on at the service
    /// that began it.
    pub fn split_id(&self) -> &str {
        let resumes = self.resumes.as_deref().filter(|_| self.last_event_id.is_some());
        resumes.unwrap_or(&self.attempt_id)
    }
}

/// Reason why the head of a request is malformed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RequestHeadError {
    /// The attempt identifier is missing or empty.
    #[error("the attempt identifier is missing")]
    MissingAttemptId,
    /// A header that may occur once occurs more often; holds the description of the header.
    #[error("header {0} occurs more than once")]
    Duplicate(&'static str),
    /// A header has an invalid value; holds the description of the header.
    #[error("header {0} has an invalid value")]
    Invalid(&'static str),
}

/// Information that the router adds to the client's headers when it forwards a request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestHead<'a> {
    /// Process instance of the upstream that the request is meant for.
    pub instance: &'a Name,
    /// Upstream from which this one fetches cached segments of the prompt, if any.
    pub fetch_from: Option<SocketAddr>,
    /// Workspace that is charged; absent for anonymous requests.
    pub workspace: Option<&'a Name>,
    /// Time left until the response is due.
    pub remaining: Duration,
    /// Event after which a stream resumes; absent when it starts from the beginning.
    pub last_event_id: Option<u64>,
}

/// Information from the head of an upstream's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the response carries the identifier of the attempt that was sent.
    pub matches_attempt: bool,
    /// Whether the response carries the identifier of another attempt, as a late second copy does.
    pub is_of_other_attempt: bool,
    /// Whether the response carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether an instance other than the expected one responded.
    pub is_misdirected: bool,
    /// Whether the body has a content coding, which the client did not ask for.
    pub is_encoded: bool,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this router; absent when it does not say.
    pub pause: Option<Duration>,
    /// Requests per second that the upstream takes from all routers together; absent when it names no
    /// limit.
    pub limit_per_s: Option<f64>,
    /// Load that the upstream reports of itself; absent when it reports none, or a malformed one.
    pub load: Option<ToldLoad>,
    /// Whether it reports a load that is malformed or absurd.
    pub is_load_malformed: bool,
}

/// HTTP conventions of a platform; implemented by its adapter.
pub trait Dialect {
    /// Returns the path of the load balancer's readiness checks.
    fn readiness_path(&self) -> &str;

    /// Parses the head of a client's request.
    ///
    /// # Errors
    ///
    /// Returns an error when a header is missing, duplicate or invalid.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, RequestHeadError>;

    /// Writes the headers for the upstream over those of the client.
    fn write_upstream_headers(&self, headers: &mut HeaderMap, head: UpstreamRequestHead<'_>);

    /// Parses the head of a response to the attempt `attempt_id`.
    fn parse_response_head(
        &self,
        status: u16,
        headers: &HeaderMap,
        attempt_id: &str,
    ) -> ResponseHead;

    /// Writes the attempt identifier to the headers of a response of the router itself.
    fn write_response_headers(&self, headers: &mut HeaderMap, attempt_id: &str);
}
