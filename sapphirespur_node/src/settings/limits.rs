//! Settings in the section `[limits]`.

use std::time::Duration;

use sapphirespur_core::router::RouterPolicy;
use sapphirespur_core::sidecar::SidecarPolicy;

use crate::settings::{SettingsError, SettingsFile};

/// Limits of a router process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the shutdown signal until the process exits.
    pub drain_timeout: Duration,
    /// Policy of the router; the section sets the maximum wait and the maximum number of waiting
    /// requests.
    pub policy: RouterPolicy,
}

impl RouterLimits {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["max-body-bytes", "max-wait-s", "max-waiting", "drain-s"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a value is not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        let default = Self::default();
        let max_wait = default.policy.max_wait.as_secs();
        let max_waiting = default.policy.max_waiting as u64;
        let max_body = default.max_body_bytes as u64;

        Ok(Self {
            max_body_bytes: f.number("limits", "max-body-bytes", 1..=67_108_864, max_body)?
                as usize,
            drain_timeout: read_drain_timeout(f, default.drain_timeout)?,
            policy: RouterPolicy {
                max_wait: Duration::from_secs(f.number(
                    "limits",
                    "max-wait-s",
                    1..=600,
                    max_wait,
                )?),
                max_waiting: f.number("limits", "max-waiting", 1..=1_000_000, max_waiting)?
                    as usize,
                ..default.policy
            },
        })
    }
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            drain_timeout: Duration::from_secs(60),
            policy: RouterPolicy::default(),
        }
    }
}

/// Limits of a sidecar process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarLimits {
    /// Maximum time from the shutdown signal until the process exits.
    pub drain_timeout: Duration,
    /// Policy of the sidecar; the section sets the report interval.
    pub policy: SidecarPolicy,
}

impl SidecarLimits {
    /// Keys that the section may have.
    pub const KEYS: &[&str] = &["drain-s", "report-interval-ms"];

    /// Reads the section.
    ///
    /// # Errors
    ///
    /// Returns an error when a value is not allowed.
    pub fn read(f: &SettingsFile) -> Result<Self, SettingsError> {
        let default = Self::default();
        let report_interval = default.policy.report_interval.as_millis() as u64;

        Ok(Self {
            drain_timeout: read_drain_timeout(f, default.drain_timeout)?,
            policy: SidecarPolicy {
                report_interval: Duration::from_millis(f.number(
                    "limits",
                    "report-interval-ms",
                    50..=10_000,
                    report_interval,
                )?),
                ..default.policy
            },
        })
    }
}

impl Default for SidecarLimits {
    fn default() -> Self {
        Self { drain_timeout: Duration::from_secs(60), policy: SidecarPolicy::default() }
    }
}

fn read_drain_timeout(f: &SettingsFile, default: Duration) -> Result<Duration, SettingsError> {
    Ok(Duration::from_secs(f.number("limits", "drain-s", 1..=3_600, default.as_secs())?))
}
