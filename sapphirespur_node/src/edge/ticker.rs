//! What falls due with time.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use super::shared::Shared;
use crate::clock::time_since_boot;
use crate::settings::EdgeSettings;

/// Pause between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Ticks in a second.
const TICKS_PER_S: u32 = 10;

/// Ticks between two looks at whether the settings file has changed.
const TICKS_PER_SETTINGS_CHECK: u32 = 20;

/// Time by which a tick may be late before the process counts as having been paused.
const MAX_LATE: Duration = Duration::from_millis(700);

/// Ticks until the process ends.
pub(super) async fn run(cx: Rc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = time_since_boot();
    let mut ticks = 0_u32;
    let mut settings_file = WatchedFile::new(&cx.settings().path);
    loop {
        interval.tick().await;
        let boot = time_since_boot();
        let elapsed = boot.saturating_sub(last);
        last = boot;
        ticks = ticks.wrapping_add(1);

        let now = cx.now();
        cx.router.borrow_mut().tick(now);
        if elapsed > TICK + MAX_LATE {
            log::warn!(paused_ms = elapsed.as_millis() as u64; "process was paused");
            cx.router.borrow_mut().on_process_pause(now);
            cx.pool.borrow_mut().clear();
        }
        if ticks.is_multiple_of(TICKS_PER_SETTINGS_CHECK) && settings_file.has_changed() {
            reload(&cx);
        }
        if ticks.is_multiple_of(TICKS_PER_S) {
            every_second(&cx);
        }
    }
}

/// Reads the settings again; refused ones leave the old ones in force.
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

/// File that is looked at for changes.
struct WatchedFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl WatchedFile {
    fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), modified: modified(path) }
    }

    fn has_changed(&mut self) -> bool {
        let modified = modified(&self.path);
        // A file that cannot be looked at for a moment is being replaced.
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
    cx.pool.borrow_mut().sweep(cx.now());
    let left_out = cx.log_budget.renew();
    cx.metrics.leave_out(left_out);
    if left_out > 0 {
        log::info!(lines = left_out; "lines about requests left out");
    }
}
