//! End-to-end tests of upstreams behind a sidecar that send bytes without end.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use common::{open_stream, replace_upstream, start};
use sapphirespur_standin::processes::Layout;

const ROUTER: &str = "milano-r1";

/// Bytes of a response after which the client gives up: many times the longest line that a sidecar keeps.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Time without a byte after which the client gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers each request on a listener with an event stream whose first line has no end.
fn serve_endless_line(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        std::thread::spawn(move || {
            let _ = stream.read(&mut [0; 4096]);
            let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
            let mut result = stream.write_all(head);
            let filler = "endless ".repeat(1024);
            while result.is_ok() {
                result = stream.write_all(filler.as_bytes());
            }
        });
    }
}

/// Reads a streamed response until it ends; returns its length, with the framing, and whether it looks
/// complete.
fn read_stream(address: &str) -> (usize, bool) {
    let stream = &mut open_stream(address);
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    let (mut buf, mut end, mut total) = (vec![0; 64 * 1024], Vec::new(), 0);
    while total < MAX_RESPONSE_BYTES
        && let Ok(count @ 1..) = stream.read(&mut buf)
    {
        total += count;
        end = buf[..count].to_vec();
    }
    (total, end.ends_with(b"\r\n0\r\n\r\n"))
}

// LOST: the sidecar keeps a line without end to count its tokens, runs out of memory, and takes the requests of
// others along.
#[test]
fn line_without_end_ends_its_response() {
    let mut fleet = start("endless_line", Layout::minimal());
    for sidecar in fleet.layout.engine_names() {
        let listener = replace_upstream(&mut fleet, &sidecar);
        std::thread::spawn(move || serve_endless_line(&listener));
    }
    let (bytes, is_complete) = read_stream(&fleet.router_url(ROUTER).replace("http://", ""));
    assert!(bytes > 0 && bytes < MAX_RESPONSE_BYTES, "{bytes} bytes");
    assert!(!is_complete, "{bytes} bytes");
}
