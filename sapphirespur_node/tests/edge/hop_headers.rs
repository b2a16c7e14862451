//! Hop-by-hop headers are removed, and keep-alive parameters are read.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::http::HeaderValue;
use sapphirespur_node::edge::hop_headers::{
    closes_connection, keep_alive_timeout, remove_hop_by_hop,
};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn hop_by_hop_headers_are_removed_and_others_kept() {
    let mut headers = headers(&[
        ("connection", "close, X-Named"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "keep-alive"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("x-named", "1"),
        ("x-other", "2"),
        ("x-other", "3"),
    ]);
    remove_hop_by_hop(&mut headers);
    let left: Vec<_> =
        headers.iter().map(|(name, value)| (name.as_str(), value.to_str().ok())).collect();
    assert_eq!(left, [("x-other", Some("2")), ("x-other", Some("3"))]);
}

macro_rules! keep_alive_timeouts {
    ($($name:ident: $value:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(keep_alive_timeout(&headers(&[("keep-alive", $value)])), $expected);
            }
        )*
    };
}

keep_alive_timeouts! {
    timeout_alone_is_read: "timeout=5" => Some(Duration::from_secs(5));
    timeout_beside_other_parameters_is_read: "max=100, timeout=7" => Some(Duration::from_secs(7));
    missing_timeout_is_none: "max=100" => None;
    non_numeric_timeout_is_none: "timeout=soon" => None;
}

#[test]
fn connection_close_is_detected_case_insensitively() {
    assert!(closes_connection(&headers(&[("connection", "x, Close")])));
    assert!(!closes_connection(&headers(&[("connection", "keep-alive")])));
    assert!(!closes_connection(&headers(&[])));
}
