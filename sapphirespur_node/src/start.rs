//! What the daemons do before their control loop runs.

use std::io;
use std::net::{AddrParseError, SocketAddr};

use thiserror::Error;
use tokio::net::TcpListener;

use crate::logging::LoggingError;
use crate::metrics::MetricsError;
use crate::settings::SettingsError;

/// Reason why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging cannot start.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// Metrics cannot start.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// An address cannot be listened on.
    #[error("{address}: cannot be listened on: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Listens on `address` for the control thread.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub async fn listen_control(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

/// Listens on `address` for traffic threads.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub fn listen_traffic(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    std::net::TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

/// Parses the address of a peer from the configuration or the VM list.
///
/// # Errors
///
/// Returns an error when the text is not `ip:port`.
pub fn peer_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    text.parse()
}
