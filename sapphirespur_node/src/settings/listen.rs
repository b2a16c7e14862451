//! Section `[listen]`.

use std::net::SocketAddr;

use crate::settings::{SettingsError, SettingsFile};

/// Highest number of traffic threads.
const MAX_WORKERS: u64 = 64;

/// Traffic threads when the settings do not tell.
const DEFAULT_WORKERS: u64 = 2;

/// Addresses of a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterListen {
    /// Callers' requests.
    pub http: SocketAddr,
    /// Control links.
    pub control: SocketAddr,
    /// Operators' requests.
    pub admin: SocketAddr,
    /// Threads for traffic.
    pub workers: usize,
}

impl RouterListen {
    /// Known keys.
    pub const KEYS: &[&str] = &["http", "control", "admin", "workers"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            http: f.address("listen", "http")?,
            control: f.address("listen", "control")?,
            admin: f.address("listen", "admin")?,
            workers: read_workers(f)?,
        })
    }
}

/// Addresses of a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarListen {
    /// Attempts of routers.
    pub attempts: SocketAddr,
    /// Control links.
    pub control: SocketAddr,
    /// Operators' requests.
    pub admin: SocketAddr,
    /// Threads for traffic.
    pub workers: usize,
}

impl SidecarListen {
    /// Known keys.
    pub const KEYS: &[&str] = &["attempts", "control", "admin", "workers"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a key is missing or not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            attempts: f.address("listen", "attempts")?,
            control: f.address("listen", "control")?,
            admin: f.address("listen", "admin")?,
            workers: read_workers(f)?,
        })
    }
}

fn read_workers(f: &SettingsFile) -> Result<usize, SettingsError> {
    Ok(f.number("listen", "workers", 1..=MAX_WORKERS, DEFAULT_WORKERS)? as usize)
}
