//! Changes of the registry by way of the relay, which saves calls to the registry.

use std::time::Duration;

use bytes::Bytes;
use sapphirespur_core::edge::{RegistryChanges, RegistryVersion};
use sapphirespur_core::time::Time;

use super::peer_client::PeerClient;
use super::shared::Shared;

/// Prefix of the paths on which a router serves changes; era and revision follow, after which they
/// were made. Builds with another format have another prefix.
pub(super) const PREFIX: &str = "/changes/3/";

/// Time within which the relay must answer; then the registry is asked.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after a failure in which the registry is asked instead.
const FAILURE_TIME: Duration = Duration::from_secs(2);

/// Returns the encoded changes after the version that a path names; none when this router does not
/// know all of them.
pub(super) fn encode(cx: &Shared, path: &str) -> Option<Bytes> {
    let (era, revision) = path.strip_prefix(PREFIX)?.split_once('/')?;
    let after = RegistryVersion { era: era.parse().ok()?, revision: revision.parse().ok()? };
    if cx.is_registry_failing() {
        return None;
    }
    let changes = cx.change_log.borrow().after(after)?;
    match postcard::to_stdvec(&changes) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "failed to encode changes");
            None
        }
    }
}

/// Reads changes at the relay that tells this router of them.
#[derive(Debug, Default)]
pub(super) struct ToldChanges {
    client: PeerClient,
    /// When the relay last did not answer.
    failed_at: Option<Time>,
}

impl ToldChanges {
    /// Reads the changes after a version; none when the registry is to be asked.
    ///
    /// `newest` is the version of which the relay has told: what ends before it is of no use.
    pub async fn fetch(
        &mut self,
        cx: &Shared,
        after: RegistryVersion,
        newest: RegistryVersion,
    ) -> Option<RegistryChanges> {
        let now = cx.now();
        if self.failed_at.is_some_and(|at| now.since(at) < FAILURE_TIME) {
            return None;
        }
        let relay = cx.router.borrow().exchange().sums_source(now)?.0.address;
        let path = format!("{PREFIX}{}/{}", after.era, after.revision);
        let result = self.client.fetch(relay, &path, RESPONSE_TIMEOUT).await;
        cx.metrics.record_relay_call(result.is_ok());
        match result {
            Ok(changes) => Some(changes).filter(|changes| ends_at(changes) >= newest),
            Err(e) => {
                self.failed_at = Some(now);
                log::info!(relay = relay.to_string().as_str(), error = e.to_string().as_str(); "changes not read at the relay");
                None
            }
        }
    }
}

/// Returns the newest version of which changes tell: no later one has any, or it is one of them.
fn ends_at(changes: &RegistryChanges) -> RegistryVersion {
    changes.version.max(changes.changed)
}
