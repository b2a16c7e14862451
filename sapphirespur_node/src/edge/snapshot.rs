//! Snapshots of the platform's record, from routers that reach it to those that don't.

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

/// Path on which a router gives its snapshot.
pub(super) const PATH: &str = "/snapshot";

/// Pause between two looks at whether a snapshot is wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without word from the record after which other routers are asked; a watch that waits in
/// vain answers sooner.
const MAX_REGISTRY_AGE: Duration = Duration::from_millis(2_500);

/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which a snapshot must be in.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason why no snapshot is taken.
#[derive(Debug, Error)]
enum FetchError {
    #[error("no connection: {0}")]
    Open(#[from] ConnectError),
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("not in time")]
    Timeout,
    #[error("cannot be read: {0}")]
    Decode(#[from] postcard::Error),
}

/// Returns the encoded snapshot, if there is a configuration.
pub(super) fn encode(cx: &Shared) -> Option<Bytes> {
    let snapshot = cx.router.borrow().registry().snapshot(cx.now())?;

    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "snapshot cannot be encoded");
            None
        }
    }
}

/// Asks other routers for snapshots while the record is out of reach.
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

/// Returns the router to ask, if the record is out of reach and another router knows more of it.
fn find_source(cx: &Shared) -> Option<SocketAddr> {
    let now = cx.now();
    if cx.registry_last_received.get().is_some_and(|at| now.since(at) < MAX_REGISTRY_AGE) {
        return None;
    }

    let router = cx.router.borrow();
    let peer = router.peers().find_newer(now, router.registry().revision())?;
    cx.peer_addresses.borrow().get(&peer).copied()
}

async fn fetch(peer: SocketAddr) -> Result<Snapshot, FetchError> {
    let mut connection = connect(peer, CONNECT_TIMEOUT).await?;
    connection.ready().await?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = hyper::Uri::from_static(PATH);
    req.headers_mut().insert(HOST, HeaderValue::from_static("router"));

    let body = connection.send(req).await?.into_body().collect().await?.to_bytes();
    Ok(postcard::from_bytes(&body)?)
}

fn apply(cx: &Shared, peer: SocketAddr, snapshot: Snapshot) {
    let (revision, version) = (snapshot.revision, snapshot.table.version);
    let now = cx.now();
    if cx.router.borrow_mut().registry_mut().apply_snapshot(now, snapshot) {
        // What changed since is not known by the old place in the record.
        cx.watch_revision.set(None);
        log::info!(peer = peer.to_string().as_str(), revision = revision, version = version; "snapshot taken from peer");
    }
}
