//! Hop-by-hop headers, which apply to a single connection only.

use std::time::Duration;

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, StatusCode};

/// Hop-by-hop header for which `hyper` has no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop header for which `hyper` has no constant.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers and the headers named in `Connection`, as well as
/// `Content-Length` and `Expect`; the body is framed again for the next connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();

    let fixed = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed.into_iter().chain(named) {
        headers.remove(name);
    }
}

/// Returns the idle timeout that the other end advertises in `Keep-Alive`, if any.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;

    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether the message says where its body ends; otherwise it ends with the connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a success with an empty body has lost it: the connection may have ended with the head, and a
/// whole response without a body says so.
pub fn has_lost_body(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = method == Method::HEAD || status == StatusCode::NO_CONTENT;
    status.is_success() && !has_no_body && !is_framed(headers)
}

/// Returns whether the other end closes the connection after this message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|name| name.trim().eq_ignore_ascii_case("close"))
}
