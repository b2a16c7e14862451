//! Time limits of calls to the platform's store.

use std::time::Duration;

use tokio::time::timeout;

use super::registry::RegistryError;

/// Time within which the store must answer a call that keeps its items; after that it is made again. A renewal of the
/// lease of 2 s on roll-outs that fails leaves time for two more before the lease ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Waits for a call that keeps items of the store, for as long as it may take.
///
/// # Errors
///
/// Returns an error when the call fails, or the store does not answer in time.
pub(super) async fn in_time<T>(
    call: impl Future<Output = Result<T, RegistryError>>,
) -> Result<T, RegistryError> {
    answered_within(CALL_TIMEOUT, call).await
}

/// Waits at most `max_wait` for a call to the store.
///
/// # Errors
///
/// Returns an error when the call fails, or the store does not answer in time.
pub(super) async fn answered_within<T>(
    max_wait: Duration,
    call: impl Future<Output = Result<T, RegistryError>>,
) -> Result<T, RegistryError> {
    timeout(max_wait, call).await.unwrap_or_else(|_| {
        Err(RegistryError::Unreachable(format!("no answer within {max_wait:?}")))
    })
}
