//! Settings in the section `[listen]`.

use std::net::SocketAddr;

use crate::settings::{SettingsError, SettingsFile};

/// Maximum number of threads that serve traffic.
const MAX_WORKERS: u64 = 64;

/// Number of threads that serve traffic when the key is missing.
const DEFAULT_WORKERS: u64 = 2;

/// Listen addresses and traffic threads of a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterListen {
    /// Address for HTTP requests of callers.
    pub http: SocketAddr,
    /// Address for control links.
    pub control: SocketAddr,
    /// Address for HTTP requests of operators.
    pub admin: SocketAddr,
    /// Number of threads that serve traffic.
    pub workers: usize,
}

impl RouterListen {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["http", "control", "admin", "workers"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a required key is missing or a value is not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            http: f.address("listen", "http")?,
            control: f.address("listen", "control")?,
            admin: f.address("listen", "admin")?,
            workers: read_workers(f)?,
        })
    }
}

/// Listen addresses and traffic threads of a sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarListen {
    /// Address for the attempts that routers send.
    pub attempts: SocketAddr,
    /// Address for control links.
    pub control: SocketAddr,
    /// Address for HTTP requests of operators.
    pub admin: SocketAddr,
    /// Number of threads that serve traffic.
    pub workers: usize,
}

impl SidecarListen {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["attempts", "control", "admin", "workers"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a required key is missing or a value is not allowed.
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
