//! Connector of the client of an upstream.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::http::{MAX_UNSENT_REQUEST_BYTES, WatchedStream, limit_unsent};

/// Time within which a connection to the upstream must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens connections whose responses have a [`RequestProgress`] among their extensions.
///
/// [`RequestProgress`]: crate::http::RequestProgress
#[derive(Clone, Debug)]
pub(super) struct UpstreamConnector(HttpConnector);

impl UpstreamConnector {
    /// Creates a connector.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self(connector)
    }
}

impl Service<Uri> for UpstreamConnector {
    type Response = TokioIo<WatchedStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            if let Err(e) = limit_unsent(&stream, MAX_UNSENT_REQUEST_BYTES) {
                log::debug!(error = e.to_string().as_str(); "failed to set socket options");
            }
            Ok(TokioIo::new(WatchedStream::new(stream)))
        })
    }
}
