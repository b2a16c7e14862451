//! Connections to upstreams and to the platform.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Idle time after which the other end is asked for a sign of life, and the pause between two
/// asks; the shortest that the system takes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Asks without an answer after which a connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time without acknowledgement of sent data after which a connection counts as broken.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a connection is not opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// Nothing answered in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// Connection was refused or failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// HTTP could not start.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// Open HTTP connection, closed when dropped.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl HttpConnection {
    /// Tells whether the connection can take a request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Tells whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection has closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails before the head of the answer is in.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(req).await
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
/// Returns an error when the connection cannot be opened in time.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<HttpConnection, ConnectError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout(timeout))??;
    set_socket_options(&stream)?;

    let (sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
    let driver = actix_rt::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(address = address.to_string().as_str(), error = e.to_string().as_str(); "connection ended");
        }
    });
    Ok(HttpConnection { sender, driver })
}

/// Sets the options by which a connection that has gone silent is noticed.
///
/// # Errors
///
/// Returns an error when the system refuses an option.
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
