//! Snapshots of the registry state, served to routers that cannot reach the registry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use hyper::http::HeaderValue;
use sapphirespur_core::edge::Snapshot;
use thiserror::Error;
use tokio::time::timeout;

use super::connect::{ConnectError, connect};
use super::shared::Shared;

/// Path on which a router serves its snapshot.
pub(super) const PATH: &str = "/snapshot";

/// Interval between checks for whether a snapshot is needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a response from the registry after which a snapshot is fetched from a peer; longer
/// than a watch that returns no changes.
const FETCH_AFTER: Duration = Duration::from_millis(2_500);

/// Time within which a connection to a peer must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which a snapshot must be fetched, including the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason why a snapshot cannot be fetched.
#[derive(Debug, Error)]
enum FetchError {
    /// The connection to the peer cannot be opened.
    #[error("cannot connect: {0}")]
    Open(#[from] ConnectError),
    /// The connection failed during the request.
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The snapshot did not arrive in time.
    #[error("timed out")]
    Timeout,
    /// The response is not a snapshot.
    #[error("invalid snapshot: {0}")]
    Decode(#[from] postcard::Error),
}

/// Returns the encoded snapshot; absent while the router has no configuration.
pub(super) fn encode(cx: &Shared) -> Option<Bytes> {
    let snapshot = cx.router.borrow().registry().snapshot(cx.now())?;

    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "failed to encode snapshot");
            None
        }
    }
}

/// Fetches snapshots from other routers while the registry is unreachable.
pub(super) async fn run(cx: Rc<Shared>) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Some(peer) = find_source(&cx) {
            match timeout(RESPONSE_TIMEOUT, fetch(peer)).await.unwrap_or(Err(FetchError::Timeout)) {
                Ok(snapshot) => apply(&cx, peer, snapshot),
                Err(e) => {
                    log::warn!(peer = peer.to_string().as_str(), error = e.to_string().as_str(); "no snapshot from peer");
                }
            }
        }
    }
}

/// Returns the address of a router to fetch from: one that reports a newer registry version, while
/// the registry is unreachable.
fn find_source(cx: &Shared) -> Option<SocketAddr> {
    let now = cx.now();
    if cx.last_registry_response.get().is_some_and(|at| now.since(at) < FETCH_AFTER) {
        return None;
    }

    let router = cx.router.borrow();
    let peer = router.peers().find_newer(now, router.registry().version())?;
    router.peers().members().contact(peer).map(|contact| contact.address)
}

/// Fetches a snapshot from a router.
async fn fetch(peer: SocketAddr) -> Result<Snapshot, FetchError> {
    let mut connection = connect(peer, CONNECT_TIMEOUT).await?;
    connection.ready().await?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = hyper::Uri::from_static(PATH);
    req.headers_mut().insert(HOST, HeaderValue::from_static("router"));

    let body = connection.send(req).await?.into_body().collect().await?.to_bytes();
    Ok(postcard::from_bytes(&body)?)
}

/// Applies a snapshot if it is newer than this router's state.
fn apply(cx: &Shared, peer: SocketAddr, snapshot: Snapshot) {
    let (revision, version) = (snapshot.version.revision, snapshot.table.version);
    let now = cx.now();
    if cx.router.borrow_mut().registry_mut().apply_snapshot(now, snapshot) {
        // The old watch version no longer matches the state, so the registry is listed again.
        cx.watch_version.set(None);
        log::info!(peer = peer.to_string().as_str(), revision = revision, version = version; "snapshot taken from peer");
    }
}
