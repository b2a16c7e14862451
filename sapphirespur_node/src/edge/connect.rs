//! HTTP connections to upstreams, peer routers and the platform's registry.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::buffers::Buffers;
use super::half_close::HalfClose;
use super::hop_headers;
use super::metered_stream::MeteredStream;
use super::read_progress::ReadProgress;
use super::received_body::ReceivedBody;
use crate::http::{MAX_UNSENT_REQUEST_BYTES, RequestProgress, WatchedStream, limit_unsent};

/// Idle time before the first TCP keepalive probe, and the interval between probes; the shortest
/// that the system accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time that sent data may stay unacknowledged before a connection counts as broken.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest read buffer of a connection, and largest head of a response, in bytes.
pub(super) const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Reason why a connection cannot be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The TCP connection was not established within this time.
    #[error("connection timed out after {0:?}")]
    Timeout(Duration),
    /// The connection was refused or failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The HTTP handshake failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Open HTTP/1 connection, closed when dropped.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    progress: ReadProgress,
    request: RequestProgress,
    half_close: HalfClose,
}

impl HttpConnection {
    /// Returns whether the connection can accept a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the handle that closes the write side of the connection.
    pub(super) fn half_close(&self) -> &HalfClose {
        &self.half_close
    }

    /// Waits until the connection can accept a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection has closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails before the response head is received.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<ReceivedBody>> {
        self.progress.on_part();
        let response = self.sender.send_request(req).await?;
        let head = self.progress.on_head();
        let is_framed = hop_headers::is_framed(response.headers());
        let end = (!is_framed).then(|| (self.request.clone(), self.half_close.clone()));
        Ok(response.map(|body| ReceivedBody::new(body, self.progress.clone(), end, head)))
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens an HTTP connection within `timeout`.
///
/// # Errors
///
/// Returns an error when the connection is refused, fails or is not open within `timeout`.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<HttpConnection, ConnectError> {
    open(address, timeout, ReadProgress::default()).await
}

/// Opens a TCP connection within `timeout` and closes it.
///
/// # Errors
///
/// Returns an error when the connection is refused, fails or is not open within `timeout`.
pub(super) async fn probe(address: SocketAddr, timeout: Duration) -> Result<(), ConnectError> {
    open_socket(address, timeout).await.map(drop)
}

/// Opens an HTTP connection to an upstream within `timeout`. What was read of it and is of no use yet counts as
/// part of a response.
///
/// # Errors
///
/// Returns an error when the connection is refused, fails or is not open within `timeout`.
pub(super) async fn connect_counted(
    address: SocketAddr,
    timeout: Duration,
    buffers: &Rc<Buffers>,
) -> Result<HttpConnection, ConnectError> {
    open(address, timeout, ReadProgress::counted(buffers)).await
}

async fn open_socket(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    Ok(connecting.await.map_err(|_| ConnectError::Timeout(timeout))??)
}

async fn open(
    address: SocketAddr,
    timeout: Duration,
    progress: ReadProgress,
) -> Result<HttpConnection, ConnectError> {
    let stream = open_socket(address, timeout).await?;
    set_socket_options(&stream)?;
    limit_unsent(&stream, MAX_UNSENT_REQUEST_BYTES)?;
    start(stream, Some(address), progress).await
}

/// Begins an HTTP connection on an open stream.
///
/// # Errors
///
/// Returns an error when the handshake fails.
pub async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> Result<HttpConnection, ConnectError> {
    start(stream, None, ReadProgress::default()).await
}

async fn start(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    peer: Option<SocketAddr>,
    progress: ReadProgress,
) -> Result<HttpConnection, ConnectError> {
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_READ_BUFFER_BYTES);
    let stream = WatchedStream::new(stream);
    let request = stream.request();
    let stream = MeteredStream::new(stream, progress.clone());
    let half_close = stream.half_close();
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let driver = actix_rt::spawn(async move {
        if let Err(e) = connection.await {
            let address = peer.map(|address| address.to_string()).unwrap_or_default();
            log::debug!(address = address.as_str(), error = e.to_string().as_str(); "connection closed with an error");
        }
    });
    Ok(HttpConnection { sender, driver, progress, request, half_close })
}

/// Disables Nagle's algorithm and enables the keepalive and timeout options that detect a peer that
/// no longer responds.
///
/// # Errors
///
/// Returns an error when the system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
