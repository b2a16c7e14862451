//! Connection of a client whose writes are watched.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use sapphirespur_core::edge::ReaderWatch;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use super::client_stream::ClientStream;
use super::connect::ACK_TIMEOUT;
use super::delivery::Delivery;

/// Least time that sent data may stay unacknowledged once a client may have no room for the response; its
/// deadline if that is later. The system counts the whole time for which a client that pauses or reads slowly
/// has hardly any room. The router ends the response by itself after the deadline.
const SLOW_ACK_TIMEOUT: Duration = Duration::from_secs(60);

/// Length of a response, in bytes, that fits into the smallest receive buffer of a client.
const SMALL_RESPONSE_BYTES: usize = 1_024;

/// Bytes that the system keeps unsent for a client; they count toward no limit of the process. Few, so that
/// a write is blocked, and watched, before the system gives a slow reader up.
pub(super) const MAX_UNSENT_BYTES: u32 = 4 * 1024;

/// Stream that fails when its client does not read what waits for it.
pub(super) struct DeliveryStream {
    stream: ClientStream,
    delivery: Rc<Delivery>,
    /// Next check of a blocked write.
    check: Option<Pin<Box<Sleep>>>,
    /// Time that sent data may stay unacknowledged.
    ack_timeout: Duration,
    /// Bytes written since the last request.
    written: usize,
    /// Whether the system takes all that it has room for.
    is_unlimited: bool,
}

impl DeliveryStream {
    /// Wraps the connection of a client.
    pub fn new(stream: ClientStream, delivery: Rc<Delivery>) -> Self {
        Self {
            stream,
            delivery,
            check: None,
            ack_timeout: ACK_TIMEOUT,
            written: 0,
            is_unlimited: false,
        }
    }

    /// Records the result of a write, and watches a blocked one; `buf` is what waits.
    fn on_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(bytes)) => {
                self.on_written(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(self.on_error(e))),
            Poll::Pending => self.poll_blocked(cx, buf),
        }
    }

    /// Waits for the checks of a blocked write, and tries it again at each.
    ///
    /// The system reports a connection as writable only when a good part of its buffer is free, which
    /// takes a slow reader long.
    fn poll_blocked(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.delivery.on_blocked(cx.waker());
        self.allow_pauses();
        loop {
            if let Some(reason) = self.delivery.unread_reason() {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
            }
            if self.delivery.is_left_to_system() && !self.is_unlimited {
                self.lift_limit();
                if let Some(result) = self.try_again(buf) {
                    return Poll::Ready(result);
                }
            }
            let check =
                self.check.get_or_insert_with(|| Box::pin(sleep(ReaderWatch::CHECK_INTERVAL)));
            ready!(check.as_mut().poll(cx));
            self.check = None;
            if let Some(result) = self.try_again(buf) {
                return Poll::Ready(result);
            }
            // Only now, so that a pause of the process is not taken for one of the client.
            self.delivery.check();
        }
    }

    /// Tries a blocked write again; returns none if it still is.
    fn try_again(&mut self, buf: &[u8]) -> Option<io::Result<usize>> {
        match SockRef::from(self.stream.socket()).send(buf) {
            Ok(bytes) => {
                self.on_written(bytes);
                Some(Ok(bytes))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            Err(e) => Some(Err(self.on_error(e))),
        }
    }

    fn on_written(&mut self, bytes: usize) {
        self.delivery.on_written(bytes);
        self.check = None;
        self.written += bytes;
        if self.written > SMALL_RESPONSE_BYTES {
            self.allow_pauses();
        }
    }

    /// Lets the client pause until its deadline.
    fn allow_pauses(&mut self) {
        if self.ack_timeout == ACK_TIMEOUT {
            self.set_ack_timeout(SLOW_ACK_TIMEOUT.max(self.delivery.time_left()));
        }
    }

    /// Expects acknowledgements soon again: a client that sends a request has the response before.
    fn on_awaited(&mut self) {
        self.written = 0;
        self.set_ack_timeout(ACK_TIMEOUT);
    }

    /// Lets the system take all that waits.
    fn lift_limit(&mut self) {
        self.is_unlimited = true;
        let socket = SockRef::from(self.stream.socket());
        let room = self.delivery.system_room();
        let result =
            socket.set_send_buffer_size(room).and_then(|()| socket.set_tcp_notsent_lowat(u32::MAX));
        if let Err(e) = result {
            log::debug!(error = e.to_string().as_str(); "failed to set socket options");
        }
    }

    /// Sets the time that sent data may stay unacknowledged.
    fn set_ack_timeout(&mut self, timeout: Duration) {
        if std::mem::replace(&mut self.ack_timeout, timeout) == timeout {
            return;
        }
        let socket = SockRef::from(self.stream.socket());
        if let Err(e) = socket.set_tcp_user_timeout(Some(timeout)) {
            log::debug!(error = e.to_string().as_str(); "failed to set socket options");
        }
    }

    /// Records an error if it says that the system has given the connection up.
    fn on_error(&self, e: io::Error) -> io::Error {
        if e.kind() == io::ErrorKind::TimedOut {
            self.delivery.on_unacknowledged();
        }
        e
    }
}

impl AsyncRead for DeliveryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.written > 0 && self.delivery.is_awaited() {
            self.on_awaited();
        }
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        Poll::Ready(result.map_err(|e| self.on_error(e)))
    }
}

impl AsyncWrite for DeliveryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(cx, result, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let first = bufs.iter().find(|buf| !buf.is_empty()).map_or(&[][..], |buf| &buf[..]);
        self.on_write(cx, result, first)
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
