//! Processor time and memory of single parts, by size.

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

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Cost of one part at one size.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Size.
    pub size: usize,
    /// Memory that it holds, in bytes.
    pub memory_bytes: u64,
    /// Time of one operation.
    pub time_per_operation: Duration,
}

/// Returns the memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());

    pages.unwrap_or(0) * PAGE_BYTES
}

fn workspace(index: usize) -> Name {
    Name::new(&format!("workspace-{index}"))
}

fn set_workspace(index: usize, share: u32) -> Change {
    let name = workspace(index);
    let key_digests = vec![sha256_hex(name.as_str().as_bytes())];

    Change::SetWorkspace(name, Workspace { share, key_digests })
}

/// Returns a configuration with so many workspaces.
///
/// # Panics
///
/// Never: the changes are right.
pub fn config_with_workspaces(workspaces: usize) -> Config {
    let mut changes = Topology::agenzia().changes();
    changes.retain(|change| !matches!(change, Change::SetWorkspace(..)));
    changes.extend((0..workspaces).map(|index| set_workspace(index, 1)));

    Config::default().with_changes(&changes).expect("the changes are right")
}

/// Measures the configuration in force at a node: its memory, and one change that a peer tells.
///
/// # Panics
///
/// Never: the changes are right.
pub fn config_update(workspaces: usize, repeats: u32) -> Cost {
    let before = resident_bytes();
    let mut controller = ConfigSync::default();
    controller.accept(config_with_workspaces(workspaces));
    let memory_bytes = resident_bytes().saturating_sub(before);

    let mut spent = Duration::ZERO;
    for repeat in 0..repeats {
        let changes = vec![set_workspace(0, repeat + 2)];
        let next = controller.config().with_changes(&changes).expect("the change is right");
        let base = controller.revision();
        let delta = ConfigDelta { base, revisions: vec![changes], digest: next.digest() };
        let start = Instant::now();
        controller.accept_delta(&delta).expect("the change is right");
        spent += start.elapsed();
    }
    Cost { size: workspaces, memory_bytes, time_per_operation: spent / repeats }
}

/// Measures a home with so many accounts, each reported by eight sidecars: one report entry.
pub fn account_table(accounts: usize, repeats: u32) -> Cost {
    const SIDECARS: usize = 8;

    let before = resident_bytes();
    let mut book = AccountTable::default();
    let names: Vec<Name> = (0..accounts).map(workspace).collect();
    let sidecars: Vec<Name> =
        (0..SIDECARS).map(|index| Name::new(&format!("sidecar-{index}"))).collect();
    let mut charge = 0;
    let mut round = |book: &mut AccountTable| {
        charge += 100;
        for sidecar in &sidecars {
            let entries = names.iter().map(|name| entry(name, charge)).collect();
            let target = Target::Model(Name::new(MODEL));
            let report = ServiceReport { sequence: charge as u64, target, entries };
            book.report(START, sidecar, &report, |_| 1);
        }
    };
    round(&mut book);
    let memory_bytes = resident_bytes().saturating_sub(before);

    let start = Instant::now();
    for _ in 0..repeats {
        round(&mut book);
    }
    let entries = repeats * (accounts * SIDECARS) as u32;
    Cost { size: accounts, memory_bytes, time_per_operation: start.elapsed() / entries }
}

fn entry(name: &Name, charged: i64) -> ReportEntry {
    ReportEntry {
        workspace: name.clone(),
        session: 1,
        charged,
        observed_virtual_time: 0,
        floor: None,
        backlogged: true,
    }
}

/// Measures the order of a sidecar with so many backlogged workspaces: one choice and its charge.
pub fn scheduler(workspaces: usize, repeats: u32) -> Cost {
    let before = resident_bytes();
    let mut order = FairScheduler::new(1);
    for index in 0..workspaces {
        let choice = ClassQueue { workspace: workspace(index), class: Name::new("ordinary") };
        order.set_waiting(START, &choice, 1, 1);
    }
    let memory_bytes = resident_bytes().saturating_sub(before);

    let start = Instant::now();
    for _ in 0..repeats {
        if let Some(choice) = order.choose(|_, _| true) {
            order.charge_request(START, &choice, 100);
        }
    }
    Cost { size: workspaces, memory_bytes, time_per_operation: start.elapsed() / repeats }
}
