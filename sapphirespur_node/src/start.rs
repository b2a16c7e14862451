//! Startup of the daemons before the control loop runs: listeners, addresses and errors.

use std::io;
use std::net::{AddrParseError, SocketAddr};

use thiserror::Error;
use tokio::net::TcpListener;

use crate::logging::LoggingError;
use crate::metrics::MetricsError;
use crate::settings::SettingsError;

/// Reason why a daemon cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Logging cannot be started.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Signal handlers cannot be registered.
    #[error("failed to register signal handlers: {0}")]
    Signals(#[from] io::Error),
    /// A listener cannot be opened.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// I/O error of the listener.
        source: io::Error,
    },
}

/// Opens an asynchronous listener on `address` for the control thread.
///
/// # Errors
///
/// Returns an error when the listener cannot be opened.
pub async fn listen_control(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

/// Opens a listener on `address` for an HTTP server.
///
/// # Errors
///
/// Returns an error when the listener cannot be opened.
pub fn listen_traffic(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    std::net::TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

/// Logs the listen addresses of a process, with the ports that the system has assigned.
pub fn log_addresses(traffic: SocketAddr, control: SocketAddr, admin: SocketAddr) {
    log::info!(
        traffic = traffic.to_string().as_str(),
        control = control.to_string().as_str(),
        admin = admin.to_string().as_str();
        "listening"
    );
}

/// Returns the local address of a listener, or the requested one when it cannot be determined.
pub fn bound_address(requested: SocketAddr, bound: io::Result<SocketAddr>) -> SocketAddr {
    bound.unwrap_or(requested)
}

/// Parses the address of a peer, as it is in the configuration or the VM list.
///
/// # Errors
///
/// Returns an error when the text is not `ip:port`.
pub fn parse_peer_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    text.parse()
}
