//! Settings in the section `[rollouts]`.

use std::time::Duration;

use sapphirespur_core::edge::RolloutSettings;

use crate::settings::{SettingsError, SettingsFile};

/// Keys that the section may have.
pub(super) const ROLLOUTS_KEYS: &[&str] = &["share", "allowance", "rollback-ms"];

/// Requests beyond the share that a bad version may get, unless the section says otherwise.
const DEFAULT_ALLOWANCE: f64 = 50.0;

/// Time within which a bad version must be left, in milliseconds, unless the section says otherwise.
const DEFAULT_ROLLBACK_MS: f64 = 5_000.0;

/// Reads the section; none when it has no share, without which there are no roll-outs.
///
/// # Errors
///
/// Returns an error when a value is not allowed, also when there are no roll-outs.
pub(super) fn read_rollouts(f: &SettingsFile) -> Result<Option<RolloutSettings>, SettingsError> {
    let allowance = f.decimal("rollouts", "allowance", 0.0..=1_000_000.0, DEFAULT_ALLOWANCE)?;
    let rollback_ms =
        f.decimal("rollouts", "rollback-ms", 1.0..=3_600_000.0, DEFAULT_ROLLBACK_MS)?;
    if f.optional("rollouts", "share").is_none() {
        return Ok(None);
    }

    let share = f.decimal("rollouts", "share", 0.0..=1.0, 0.0)?;
    let rollback = Duration::from_secs_f64(rollback_ms / 1_000.0);
    Ok(Some(RolloutSettings { share, allowance, rollback }))
}
