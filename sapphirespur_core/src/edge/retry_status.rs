//! State of the retry budget of one service, as operators see it.

use crate::edge::RetryPortion;
use crate::name::Name;

/// Retry budget of one service at one router.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryStatus {
    /// Service whose requests are retried.
    pub service: Name,
    /// Requests of clients at this router, in the window of the limits.
    pub requests: usize,
    /// Retries of this router in the window.
    pub retries: usize,
    /// Requests at the other routers in the window, as they report.
    pub others_requests: u32,
    /// Retries of the other routers in the window, as they report.
    pub others_retries: u32,
    /// Retries of the other routers that count, which include those that nobody reports any longer.
    pub counted_retries: u32,
    /// What this process may spend.
    pub portion: RetryPortion,
    /// Retries that this router's portion still allows.
    pub left: usize,
    /// Retries spent since the counts were reset.
    pub spent: u64,
    /// Retries that the budget did not allow since the counts were reset.
    pub refused: u64,
}
