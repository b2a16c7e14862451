//! Snapshots of the registry state, served to routers that cannot reach the registry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sapphirespur_core::edge::Snapshot;
use sapphirespur_core::time::Time;

use super::peer_client::PeerClient;
use super::shared::Shared;

/// Path on which a router serves its snapshot; builds with another format have another path.
pub(super) const PATH: &str = "/snapshot/3";

/// Interval between checks for whether a snapshot is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which another router must have had a newer configuration: most arrive from the registry
/// soon after.
const CONFIG_LAG: Duration = Duration::from_millis(1_000);

/// Time after the start of the process in which a newer configuration of another router is fetched
/// at once.
const START_TIME: Duration = Duration::from_secs(3);

/// Time without a response from the registry after which a snapshot is fetched from a peer; longer
/// than a watch that returns no changes.
const FETCH_AFTER: Duration = Duration::from_millis(2_500);

/// Time within which a snapshot must be fetched, including the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the encoded snapshot; absent while the router has no configuration.
pub(super) fn encode(cx: &Shared) -> Option<Bytes> {
    let snapshot = cx.router.borrow().snapshot(cx.now())?;

    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "failed to encode snapshot");
            None
        }
    }
}

/// Router to fetch a snapshot from, and why.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The registry is unreachable, and this router has a newer version of it.
    NewerRegistry(SocketAddr),
    /// This router has a newer configuration than the registry has given out here.
    NewerConfig(SocketAddr),
}

impl Source {
    /// Returns the address of the router.
    fn address(self) -> SocketAddr {
        match self {
            Self::NewerRegistry(address) | Self::NewerConfig(address) => address,
        }
    }
}

/// Fetches snapshots from other routers while the registry is unreachable or behind them.
pub(super) async fn run(cx: Rc<Shared>) {
    let started = cx.now();
    let mut behind_since: Option<Time> = None;
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let source =
            find_newer_registry(&cx).or_else(|| find_newer_config(&cx, started, &mut behind_since));
        if let Some(source) = source {
            let peer = source.address();
            match PeerClient::default().fetch(peer, PATH, RESPONSE_TIMEOUT).await {
                Ok(snapshot) => apply(&cx, source, snapshot),
                Err(e) => {
                    log::warn!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "no snapshot from peer");
                }
            }
        }
    }
}

/// Returns a router that reports a newer registry version, while the registry is unreachable.
fn find_newer_registry(cx: &Shared) -> Option<Source> {
    let now = cx.now();
    let is_answered = cx.last_registry_response.get().is_some_and(|at| now.since(at) < FETCH_AFTER);
    if is_answered || cx.is_registry_fresh() {
        return None;
    }

    let router = cx.router.borrow();
    let peer = router.peers().find_newer(now, router.registry().version())?;
    let contact = router.peers().members().contact(peer)?;
    Some(Source::NewerRegistry(contact.address))
}

/// Returns a router that has had a newer configuration for some time, as after the registry was
/// restored from an older copy.
fn find_newer_config(
    cx: &Shared,
    started: Time,
    behind_since: &mut Option<Time>,
) -> Option<Source> {
    let now = cx.now();
    let router = cx.router.borrow();
    let version = router.registry().table().map_or(0, |table| table.version);
    let Some(peer) = router.peers().find_newer_config(now, version) else {
        *behind_since = None;
        return None;
    };

    let since = *behind_since.get_or_insert(now);
    if now.since(since) < CONFIG_LAG && now.since(started) > START_TIME {
        return None;
    }
    let contact = router.peers().members().contact(peer)?;
    Some(Source::NewerConfig(contact.address))
}

/// Applies a snapshot, or the parts of it that the registry lacks, if it is newer than this router's
/// state.
fn apply(cx: &Shared, source: Source, mut snapshot: Snapshot) {
    let (revision, version) = (snapshot.version.revision, snapshot.table.version);
    let (now, peer) = (cx.now(), source.address());
    let mut router = cx.router.borrow_mut();
    for base in std::mem::take(&mut snapshot.bases) {
        router.streams_mut().bases.adopt(base);
    }
    let rollouts = std::mem::take(&mut snapshot.rollouts);
    if matches!(source, Source::NewerConfig(_)) {
        if router.registry_mut().merge_snapshot(now, snapshot) {
            log::info!(peer = peer.to_string().as_str(), version = version; "configuration taken from peer");
        }
        return;
    }
    if router.registry_mut().apply_snapshot(now, snapshot) {
        // The old watch version no longer matches the state, so the registry is listed again.
        cx.watch_version.set(None);
        router.rollouts_mut().apply_snapshot(now, rollouts);
        log::info!(peer = peer.to_string().as_str(), revision = revision, version = version; "snapshot taken from peer");
    }
}
