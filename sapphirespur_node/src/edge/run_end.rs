//! Ends the run of a request at its upstream before the request is sent elsewhere.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use super::connect::probe;
use super::half_close::HalfClose;
use super::send::Call;
use super::shared::Shared;

/// Time within which an upstream that drops the request closes its connection, and one that is reached accepts
/// another one. Both add to the time for which a stalled stream stands still, and clients give up after two
/// seconds.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// What became of a run that was to end.
#[derive(Debug)]
pub(super) enum RunEnd<T> {
    /// What was awaited came: the next part of the response, or the end of the connection.
    Came(T),
    /// The upstream is reached and has not closed the connection, so it may still work on the request.
    Runs,
    /// The upstream is not reached.
    Unreached,
}

/// Closes the write side of a connection, at which most upstreams drop the request and close the connection,
/// and waits for `next`, the next part of the response to `call`.
pub(super) async fn end_run<T>(
    cx: &Shared,
    call: &Call,
    half_close: &HalfClose,
    address: SocketAddr,
    next: impl Future<Output = T>,
) -> RunEnd<T> {
    half_close.close();
    if let Ok(came) = timeout(END_TIMEOUT, next).await {
        return RunEnd::Came(came);
    }
    if probe(address, END_TIMEOUT).await.is_err() {
        return RunEnd::Unreached;
    }
    if cx.may_log_failure() {
        log::info!(request = call.head.attempt_id.as_str(), address = address.to_string().as_str(); "upstream goes on with a stalled request");
    }
    RunEnd::Runs
}
