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
    /// Signals cannot be waited for.
    #[error("signals cannot be waited for: {0}")]
    Signals(#[from] io::Error),
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

/// Logs the addresses on which a process listens, of which the system may have chosen the ports.
pub fn log_addresses(traffic: SocketAddr, control: SocketAddr, admin: SocketAddr) {
    log::info!(
        traffic = traffic.to_string().as_str(),
        control = control.to_string().as_str(),
        admin = admin.to_string().as_str();
        "listening"
    );
}

/// Returns the address of a bound listener, or the one that was asked for.
pub fn bound_address(requested: SocketAddr, bound: io::Result<SocketAddr>) -> SocketAddr {
    bound.unwrap_or(requested)
}

/// Parses the address of a peer from the configuration or the VM list.
///
/// # Errors
///
/// Returns an error when the text is not `ip:port`.
pub fn parse_peer_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    text.parse()
}
