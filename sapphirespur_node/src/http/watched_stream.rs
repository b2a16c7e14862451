//! Connection whose writes are watched.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::request_progress::RequestProgress;

/// Bytes that the system keeps unsent for an upstream. Few, so that a request counts as written only when the
/// upstream's system has taken most of it.
pub(crate) const MAX_UNSENT_REQUEST_BYTES: u32 = 16 * 1024;

/// Stream that tells whether the request of its connection is written.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    stream: S,
    request: RequestProgress,
}

impl<S> WatchedStream<S> {
    /// Wraps a connected stream.
    pub fn new(stream: S) -> Self {
        Self { stream, request: RequestProgress::default() }
    }

    /// Returns what tells whether the request is written.
    pub fn request(&self) -> RequestProgress {
        self.request.clone()
    }
}

impl<S> Connection for WatchedStream<S> {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.request())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.request.on_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.request.on_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `hyper` flushes when it has written all that it has.
        self.request.on_written();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
