//! Periodic work: router ticks, detection of process pauses, settings reload and log limits.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use sapphirespur_core::edge::{OverloadGuard, QuarantineChange, QuarantineKey};
use sapphirespur_core::time::Time;

use super::shared::Shared;
use crate::settings::EdgeSettings;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks per second.
const TICKS_PER_S: u32 = 10;

/// Ticks between checks for a changed settings file.
const TICKS_PER_SETTINGS_CHECK: u32 = 20;

/// Workspaces with refused requests that are logged each second.
const LOGGED_WORKSPACES: usize = 3;

/// Runs the periodic work until the process exits.
pub(super) async fn run(cx: Rc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0_u32;
    let mut settings_file = WatchedFile::new(&cx.settings().path);
    let mut last_tick = cx.now();
    loop {
        interval.tick().await;
        let lateness = cx.now().since(last_tick).saturating_sub(TICK_INTERVAL);
        last_tick = cx.now();
        ticks = ticks.wrapping_add(1);

        let pause = cx.check_pause();
        let now = cx.now();
        record_lateness(&cx, now, lateness);
        cx.router.borrow_mut().tick(now);
        check_bootstrap(&cx, now);
        log_quarantine(&cx);
        if let Some(pause) = pause {
            log::warn!(paused_ms = pause.as_millis() as u64; "process was paused");
            cx.router.borrow_mut().on_process_pause(now);
            cx.pool.borrow_mut().clear();
            cx.request_registry_check();
        }
        if ticks.is_multiple_of(TICKS_PER_SETTINGS_CHECK) && settings_file.has_changed() {
            reload(&cx);
        }
        if ticks.is_multiple_of(TICKS_PER_S) {
            every_second(&cx, now, lateness);
        }
    }
}

/// Wakes the write by which this router names itself if it is due and the store answers.
fn check_bootstrap(cx: &Shared, now: Time) {
    let is_due = cx.router.borrow().exchange().is_bootstrap_due(now);
    if is_due && cx.has_registry_answered() && !cx.is_registry_failing() {
        cx.bootstrap_due.notify_one();
    }
}

/// Records how late a tick came, and logs when the router begins or ends to refuse requests for it.
fn record_lateness(cx: &Shared, now: Time, lateness: Duration) {
    let mut overload = cx.overload.borrow_mut();
    let (was_refusing, wanted_relief) = (overload.is_refusing(), overload.wants_relief(now));
    overload.on_tick(now, lateness);
    overload.expect_tick(now + TICK_INTERVAL);
    if (overload.is_refusing(), overload.wants_relief(now)) != (was_refusing, wanted_relief) {
        log_shortage(cx, now, &overload, lateness);
    }
}

/// Logs how short of processor time the router is.
fn log_shortage(cx: &Shared, now: Time, overload: &OverloadGuard, lateness: Duration) {
    log::warn!(
        late_ms = lateness.as_millis() as u64,
        refuses = overload.is_refusing(),
        refused_percent = (overload.refused_fraction() * 100.0) as u64,
        ready = !overload.wants_relief(now),
        connections = cx.connections.get();
        "short of processor time"
    );
}

/// Counts the retries of the last second, and logs what allowed or refused them.
fn record_retries(cx: &Shared, now: Time) {
    let statuses = cx.router.borrow_mut().retry_statuses(now);
    cx.router.borrow_mut().reset_retry_counts();
    for status in statuses {
        cx.metrics.retries().count(&status);
        if status.spent == 0 && status.refused == 0 {
            continue;
        }
        log::info!(
            service = status.service.as_str(),
            spent = status.spent,
            refused = status.refused,
            left = status.left,
            requests = status.requests,
            retries = status.retries,
            others_requests = status.others_requests,
            others_retries = status.others_retries,
            counted_retries = status.counted_retries,
            routers = status.portion.routers.unwrap_or_default(),
            portion_percent = (status.portion.fraction * 100.0) as u64;
            "requests sent again"
        );
    }
}

/// Logs which requests and prompt segments were quarantined or released.
fn log_quarantine(cx: &Shared) {
    let changes = cx.router.borrow_mut().quarantine_mut().take_changes();
    for QuarantineChange { key, is_quarantined } in changes {
        let id = key.to_string();
        match (key, is_quarantined) {
            (QuarantineKey::Request(_), true) => {
                log::warn!(identity = id.as_str(); "request quarantined")
            }
            (QuarantineKey::Request(_), false) => {
                log::info!(identity = id.as_str(); "request released")
            }
            (QuarantineKey::Segment(_), true) => {
                log::warn!(segment = id.as_str(); "prompt segment quarantined")
            }
            (QuarantineKey::Segment(_), false) => {
                log::info!(segment = id.as_str(); "prompt segment released")
            }
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

fn every_second(cx: &Shared, now: Time, lateness: Duration) {
    cx.pool.borrow_mut().remove_expired(cx.now());
    let suppressed = cx.log_budget.refill();
    cx.metrics.record_suppressed_log_lines(suppressed);
    if suppressed > 0 {
        log::info!(lines = suppressed; "log lines left out");
    }
    record_retries(cx, now);
    let overload = cx.overload.borrow();
    if overload.is_refusing() {
        log_shortage(cx, now, &overload, lateness);
    }
    let refused = cx.workspace_counts.borrow_mut().take_refused(LOGGED_WORKSPACES);
    for (workspace, count) in refused {
        log::info!(
            workspace = workspace.as_str(),
            admitted = count.admitted,
            admitted_tokens = count.admitted_tokens,
            refused = count.refused_by_reason().as_str(),
            refused_tokens = count.refused_tokens;
            "requests of a workspace refused"
        );
    }
}
