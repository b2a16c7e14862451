//! Wait for the head of a response.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use super::half_close::HalfClose;
use super::run_end::{RunEnd, end_run};
use super::send::Call;
use super::shared::Shared;

/// How long a send waits for the response head.
#[derive(Clone, Copy, Debug)]
pub(super) enum HeadWait {
    /// For this time.
    Until(Duration),
    /// For this time, and on while the upstream is reached and may still work on the request.
    UntilEnded(Duration),
}

impl HeadWait {
    /// Waits for the response head, or for the end of the connection; returns none when it does not come in
    /// time.
    pub async fn await_head<T>(
        self,
        cx: &Shared,
        call: &Call,
        half_close: &HalfClose,
        address: SocketAddr,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let mut response = pin!(response);
        let (Self::Until(head_timeout) | Self::UntilEnded(head_timeout)) = self;
        let head = timeout(head_timeout, response.as_mut()).await.ok();
        let has_time = !call.time_left(cx.now()).is_zero();
        if head.is_some() || matches!(self, Self::Until(_)) || !has_time {
            return head;
        }

        match end_run(cx, call, half_close, address, response.as_mut()).await {
            RunEnd::Came(head) => Some(head),
            RunEnd::Unreached => None,
            RunEnd::Runs => timeout(call.time_left(cx.now()), response).await.ok(),
        }
    }
}
