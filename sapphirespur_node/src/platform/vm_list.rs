//! Client of the platform's VM list.

use std::time::Duration;

use awc::Client;
use sapphirespur_core::vm::Vm;

use crate::platform::PlatformError;

/// Timeout of a request for the list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client that fetches the list of VMs.
#[derive(Clone)]
pub struct VmList {
    url: String,
    client: Client,
}

impl VmList {
    /// Creates a client for the list at `url`.
    pub fn new(url: &str) -> Self {
        Self { url: url.to_owned(), client: Client::builder().timeout(REQUEST_TIMEOUT).finish() }
    }

    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response is invalid.
    pub async fn get(&self) -> Result<Vec<Vm>, PlatformError> {
        let mut response = self.client.get(&self.url).send().await?;
        if !response.status().is_success() {
            return Err(PlatformError::Status(response.status().as_u16()));
        }

        let body = response.body().await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
