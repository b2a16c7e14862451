//! Responses of a runner that begin before it has read their requests.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::super::early_cut::EarlyCut;
use super::super::early_end::EarlyEnd;
use super::super::received_request::ReceivedRequest;
use super::super::resumption::{Framing, Resumption};
use super::{RESET_DELAY, is_stream_path};

/// Bytes of data in an event of a stream that is not completed.
const EARLY_EVENT_BYTES: usize = 1_000;

/// Begins a response to a request whose body is still being sent, and ends the connection.
pub(super) async fn write_early_cut(
    id: &str,
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    request: &ReceivedRequest,
    cut: EarlyCut,
) -> io::Result<()> {
    while buf.len() < cut.read_bytes.min(request.body_length()) {
        if stream.read_buf(buf).await? == 0 {
            return Ok(());
        }
    }
    if cut.is_announced {
        stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").await?;
    }
    let attempt = request.header("x-sapphirespur-attempt-id").unwrap_or_default();
    let head = Resumption {
        status: "200 OK",
        headers: if is_stream_path(&request.line) {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        },
        body: "",
        framing: Framing::UntilClose,
    };
    stream.write_all(head.signed_text(id, attempt).as_bytes()).await?;
    let mut body = String::new();
    while body.len() < cut.sent_bytes {
        let event = body.lines().count() / 3 + 1;
        body.push_str(&format!("id: {event}\ndata: {}\n\n", "a".repeat(EARLY_EVENT_BYTES)));
    }
    let (first, second) = body.as_bytes().split_at(body.len() / 2);
    let pause = Duration::from_millis(cut.pause_ms);
    stream.write_all(first).await?;
    tokio::time::sleep(RESET_DELAY).await;
    stream.write_all(second).await?;
    tokio::time::sleep(RESET_DELAY + pause).await;
    if cut.end == EarlyEnd::HalfClosedAndReset {
        stream.shutdown().await?;
        tokio::time::sleep(RESET_DELAY + pause).await;
    }
    SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
}
