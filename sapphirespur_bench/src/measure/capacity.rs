//! Measures processor time and memory of single components at different sizes.

use std::time::{Duration, Instant};

use sapphirespur_core::account::AccountTable;
use sapphirespur_core::config::{Change, Config, Target, Workspace};
use sapphirespur_core::config_sync::ConfigSync;
use sapphirespur_core::fair_scheduler::{ClassQueue, FairScheduler};
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::message::{ConfigDelta, ReportEntry, ServiceReport};
use sapphirespur_core::name::Name;

use crate::fleet::START;
use crate::topology::{MODEL, Topology};

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Cost of one component at one size.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Number of workspaces or accounts that the component holds.
    pub size: usize,
    /// Growth of the process's resident memory while the component was filled, in bytes.
    pub memory_bytes: u64,
    /// Mean time of one operation.
    pub time_per_operation: Duration,
}

/// Returns the resident memory of the process, in bytes; zero when it is not available.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());

    pages.unwrap_or(0) * PAGE_BYTES
}

fn workspace_name(index: usize) -> Name {
    Name::new(&format!("workspace-{index}"))
}

fn set_workspace(index: usize, share: u32) -> Change {
    let name = workspace_name(index);
    let key_digests = vec![sha256_hex(name.as_str().as_bytes())];

    Change::SetWorkspace(name, Workspace { share, key_digests })
}

/// Returns the Agenzia's configuration with `workspaces` workspaces of share one in place of its
/// own.
///
/// # Panics
///
/// Panics if the configuration rejects the changes, which are valid by construction.
pub fn config_with_workspaces(workspaces: usize) -> Config {
    let mut changes = Topology::agenzia().changes();
    changes.retain(|change| !matches!(change, Change::SetWorkspace(..)));
    changes.extend((0..workspaces).map(|index| set_workspace(index, 1)));

    Config::default().with_changes(&changes).expect("the changes are right")
}

/// Measures a node's active configuration: its memory, and the time to apply one change that a
/// peer sends.
///
/// # Panics
///
/// Panics if the configuration rejects a change; the changes are valid by construction.
pub fn config_update(workspaces: usize, repeats: u32) -> Cost {
    let before = resident_bytes();
    let mut sync = ConfigSync::default();
    sync.accept(config_with_workspaces(workspaces));
    let memory_bytes = resident_bytes().saturating_sub(before);

    let mut elapsed = Duration::ZERO;
    for repeat in 0..repeats {
        let changes = vec![set_workspace(0, repeat + 2)];
        let next = sync.config().with_changes(&changes).expect("the change is right");
        let base = sync.revision();
        let delta = ConfigDelta { base, revisions: vec![changes], digest: next.digest() };
        let start = Instant::now();
        sync.accept_delta(&delta).expect("the change is right");
        elapsed += start.elapsed();
    }
    Cost { size: workspaces, memory_bytes, time_per_operation: elapsed / repeats }
}

/// Measures a home router's table of `accounts` accounts, each reported by eight sidecars: its
/// memory, and the time to apply one report entry.
pub fn account_table(accounts: usize, repeats: u32) -> Cost {
    const SIDECARS: usize = 8;

    let before = resident_bytes();
    let mut table = AccountTable::default();
    let names: Vec<Name> = (0..accounts).map(workspace_name).collect();
    let sidecars: Vec<Name> =
        (0..SIDECARS).map(|index| Name::new(&format!("sidecar-{index}"))).collect();
    let mut charged = 0;
    let mut report_all = |table: &mut AccountTable| {
        charged += 100;
        for sidecar in &sidecars {
            let entries = names.iter().map(|name| report_entry(name, charged)).collect();
            let target = Target::Model(Name::new(MODEL));
            let report = ServiceReport { sequence: charged as u64, target, entries };
            table.report(START, sidecar, &report, |_| 1);
        }
    };
    report_all(&mut table);
    let memory_bytes = resident_bytes().saturating_sub(before);

    let start = Instant::now();
    for _ in 0..repeats {
        report_all(&mut table);
    }
    let entries = repeats * (accounts * SIDECARS) as u32;
    Cost { size: accounts, memory_bytes, time_per_operation: start.elapsed() / entries }
}

fn report_entry(name: &Name, charged: i64) -> ReportEntry {
    ReportEntry {
        workspace: name.clone(),
        session: 1,
        charged,
        observed_virtual_time: 0,
        floor: None,
        backlogged: true,
    }
}

/// Measures a sidecar's fair scheduler with `workspaces` backlogged workspaces: its memory, and the
/// time of one choice with its charge.
pub fn scheduler(workspaces: usize, repeats: u32) -> Cost {
    let before = resident_bytes();
    let mut scheduler = FairScheduler::new(1);
    for index in 0..workspaces {
        let queue = ClassQueue { workspace: workspace_name(index), class: Name::new("ordinary") };
        scheduler.set_waiting(START, &queue, 1, 1);
    }
    let memory_bytes = resident_bytes().saturating_sub(before);

    let start = Instant::now();
    for _ in 0..repeats {
        if let Some(queue) = scheduler.choose(|_, _| true) {
            scheduler.charge_request(START, &queue, 100);
        }
    }
    Cost { size: workspaces, memory_bytes, time_per_operation: start.elapsed() / repeats }
}
