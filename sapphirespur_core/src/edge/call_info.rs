//! Properties of a call that its placement depends on.

use std::time::Duration;

use crate::edge::{Prompt, QuarantineKey, RequestIdentity, UpstreamEntry};
use crate::name::Name;

/// Call of a client, as opposed to the requests that are sent to upstreams for it.
#[derive(Clone, Debug)]
pub struct CallInfo {
    /// Route that matched the call.
    pub route: Name,
    /// Service that runs the call.
    pub service: Name,
    /// Workspace whose share the call is charged to; none on routes that need no key.
    pub workspace: Option<Name>,
    /// Version of the software that an upstream must have to take the call; none when any may.
    pub version: Option<Name>,
    /// Whether the call goes on with a stream that has begun.
    pub goes_on: bool,
    /// Prompt; none for plain calls.
    pub prompt: Option<Prompt>,
    /// Identity of the call; none while it is not needed.
    pub identity: Option<RequestIdentity>,
    /// Target latency of the first event, or of the response of a plain call; a later one has less
    /// value.
    pub target: Duration,
    /// Time left for the response until the deadline of the client or the route.
    pub remaining: Duration,
    /// Whether the client retries a request that was declined before.
    pub is_client_retry: bool,
}

impl CallInfo {
    /// Returns whether an upstream of the service runs the version that the call needs, if it needs one.
    pub(super) fn fits_version(&self, upstream: &UpstreamEntry) -> bool {
        self.version.as_ref().is_none_or(|version| upstream.version == *version)
    }

    /// Returns what of the call may be quarantined.
    pub(super) fn quarantine_keys(&self) -> impl Iterator<Item = QuarantineKey> {
        let segments = self.prompt.iter().flat_map(|prompt| prompt.shared_ids.iter());
        let request = self.identity.map(QuarantineKey::Request);
        request.into_iter().chain(segments.map(|id| QuarantineKey::Segment(*id)))
    }
}
