//! Responses of a runner as text.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Writes the first piece, and then the second one again and again until the connection is closed.
pub(super) async fn write_without_end(
    stream: &mut TcpStream,
    (first, repeated): (String, String),
    pause: Duration,
) -> io::Result<bool> {
    /// Repetitions that are written at once without a pause.
    const REPETITIONS: usize = 128;

    stream.write_all(first.as_bytes()).await?;
    let piece = repeated.repeat(if pause.is_zero() { REPETITIONS } else { 1 });
    loop {
        stream.write_all(piece.as_bytes()).await?;
        // Also lets other tasks run.
        tokio::time::sleep(pause).await;
    }
}

/// Writes a response with a content length.
pub(super) async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await
}

/// Writes a refusal of a request that was not executed; `headers` are further ones.
pub(super) async fn write_refusal(stream: &mut TcpStream, headers: &str) -> io::Result<()> {
    let headers = format!("{headers}X-Sapphirespur-Request-Not-Executed: 1\r\n");
    write_response(stream, "503 Service Unavailable", &headers, "").await
}

/// Writes a chunk of the chunked transfer encoding.
pub(super) async fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
