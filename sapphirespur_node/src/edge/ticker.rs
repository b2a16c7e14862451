//! Periodic work: router ticks, detection of process pauses, settings reload and log limits.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use super::shared::Shared;
use crate::settings::EdgeSettings;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks per second.
const TICKS_PER_S: u32 = 10;

/// Ticks between checks for a changed settings file.
const TICKS_PER_SETTINGS_CHECK: u32 = 20;

/// Runs the periodic work until the process exits.
pub(super) async fn run(cx: Rc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0_u32;
    let mut settings_file = WatchedFile::new(&cx.settings().path);
    loop {
        interval.tick().await;
        ticks = ticks.wrapping_add(1);

        let pause = cx.check_pause();
        let now = cx.now();
        cx.router.borrow_mut().tick(now);
        if let Some(pause) = pause {
            log::warn!(paused_ms = pause.as_millis() as u64; "process was paused");
            cx.router.borrow_mut().on_process_pause(now);
            cx.pool.borrow_mut().clear();
            cx.unverified_since.set(Some(now));
            cx.registry_check.notify_one();
        }
        if ticks.is_multiple_of(TICKS_PER_SETTINGS_CHECK) && settings_file.has_changed() {
            reload(&cx);
        }
        if ticks.is_multiple_of(TICKS_PER_S) {
            every_second(&cx);
        }
    }
}

/// Reloads the settings; invalid settings leave the old ones in force.
pub(super) fn reload(cx: &Shared) {
    match EdgeSettings::read(&cx.settings().path) {
        Ok(settings) => {
            log::info!(grace_s = settings.limits.grace.as_secs(); "settings reloaded");
            cx.set_settings(settings);
        }
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "settings refused; the old ones stay")
        }
    }
}

/// File that is checked for changes by its modification time.
struct WatchedFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl WatchedFile {
    fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), modified: modified(path) }
    }

    /// Returns whether the file has changed since the last call.
    fn has_changed(&mut self) -> bool {
        let modified = modified(&self.path);
        // A file without metadata is being replaced at this moment.
        let has_changed = modified.is_some() && modified != self.modified;
        if has_changed {
            self.modified = modified;
        }
        has_changed
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn every_second(cx: &Shared) {
    cx.pool.borrow_mut().remove_expired(cx.now());
    let suppressed = cx.log_budget.refill();
    cx.metrics.record_suppressed_log_lines(suppressed);
    if suppressed > 0 {
        log::info!(lines = suppressed; "lines about requests left out");
    }
}
