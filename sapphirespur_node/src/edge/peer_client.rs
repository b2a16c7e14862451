//! Client of what other routers serve.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::header::HOST;
use hyper::http::HeaderValue;
use hyper::http::uri::InvalidUri;
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use super::connect::{ConnectError, HttpConnection, connect, probe};
use super::received_body::ReceivedBody;
use super::received_body_error::ReceivedBodyError;

/// Time within which a connection to a router must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response, in bytes: a snapshot has the configuration, a megabyte at most, and 2,200 upstreams with their
/// departed instances, which take some 500 bytes each.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Reason why a router's response is not available.
#[derive(Debug, Error)]
pub(super) enum PeerError {
    /// The connection cannot be opened.
    #[error("cannot connect: {0}")]
    Open(#[from] ConnectError),
    /// The connection failed during the request.
    #[error("connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The response is incomplete.
    #[error("incomplete response: {0}")]
    Body(#[from] ReceivedBodyError),
    /// The response is larger than any that a router of this build sends.
    #[error("response of more than {MAX_BYTES} bytes")]
    TooLarge,
    /// The response did not arrive in time.
    #[error("timed out")]
    Timeout,
    /// The router does not have what it was asked for.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The path is not a URI.
    #[error("invalid path: {0}")]
    InvalidPath(#[from] InvalidUri),
    /// The response cannot be decoded.
    #[error("invalid response: {0}")]
    Decode(#[from] postcard::Error),
}

/// Returns whether the address of a router refuses connections: its process has ended. One that is frozen
/// or cut off leaves the question open.
pub(super) async fn refuses_connections(router: SocketAddr) -> bool {
    let result = probe(router, CONNECT_TIMEOUT).await;
    matches!(result, Err(ConnectError::Io(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Client that keeps its connection to the router that it asked last.
#[derive(Debug, Default)]
pub(super) struct PeerClient {
    connection: Option<(SocketAddr, HttpConnection)>,
}

impl PeerClient {
    /// Fetches what a router serves on `path`, within `max_wait`, connection included.
    ///
    /// # Errors
    ///
    /// Returns an error when the router does not answer in time, or without what was asked for.
    pub async fn fetch<T: DeserializeOwned>(
        &mut self,
        router: SocketAddr,
        path: &str,
        max_wait: Duration,
    ) -> Result<T, PeerError> {
        // After an error, the connection is dropped: a late response must not answer the next request.
        timeout(max_wait, self.get(router, path)).await.unwrap_or(Err(PeerError::Timeout))
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        router: SocketAddr,
        path: &str,
    ) -> Result<T, PeerError> {
        let mut connection = match self.connection.take() {
            Some((address, connection)) if address == router && !connection.is_closed() => {
                connection
            }
            _ => connect(router, CONNECT_TIMEOUT).await?,
        };
        connection.ready().await?;
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = path.parse()?;
        req.headers_mut().insert(HOST, HeaderValue::from_static("router"));

        let response = connection.send(req).await?;
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        self.connection = Some((router, connection));
        if status != StatusCode::OK {
            return Err(PeerError::Refused(status));
        }
        Ok(postcard::from_bytes(&body)?)
    }
}

/// Reads a response to its end.
async fn read_body(mut body: ReceivedBody) -> Result<Bytes, PeerError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let piece = frame?.into_data().unwrap_or_default();
        if buf.len() + piece.len() > MAX_BYTES {
            return Err(PeerError::TooLarge);
        }
        buf.extend_from_slice(&piece);
    }
    Ok(buf.freeze())
}
