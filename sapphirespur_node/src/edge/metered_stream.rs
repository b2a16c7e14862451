//! Connection whose reads are counted until they complete a part of a response, and whose write side can be closed
//! meanwhile.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::half_close::HalfClose;
use super::read_progress::ReadProgress;

/// Most bytes that are read at once. Fewer than the first read buffer of a connection, which grows when it is
/// filled: it is not worth its memory where responses wait for their clients.
pub(super) const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Stream that fails when too much is read without a part of a response.
#[derive(Debug)]
pub(super) struct MeteredStream<S> {
    stream: S,
    progress: ReadProgress,
    half_close: HalfClose,
}

impl<S> MeteredStream<S> {
    /// Wraps a connected stream.
    pub fn new(stream: S, progress: ReadProgress) -> Self {
        Self { stream, progress, half_close: HalfClose::default() }
    }

    /// Returns the handle that closes the write side.
    pub fn half_close(&self) -> HalfClose {
        self.half_close.clone()
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.half_close.take_due(cx) {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        let mut piece = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
        let bytes = piece.filled().len();
        buf.advance(bytes);
        Poll::Ready(self.progress.on_read(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
