//! Messages that keep the service accounts of the workspaces.

use crate::config::Target;
use crate::name::Name;

/// Service that one sidecar gave to one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportEntry {
    /// Workspace that was served.
    pub workspace: Name,
    /// Session of the sidecar with the account's home, unique over its restarts.
    pub session: u64,
    /// Cost units charged since the session began; refunds lower it.
    pub charged: i64,
    /// Virtual time that the sidecar last learned from a home.
    pub observed_virtual_time: i64,
    /// Virtual time at which the workspace starts when it was idle everywhere.
    pub floor: Option<i64>,
    /// Whether the workspace has work waiting at the sidecar.
    pub backlogged: bool,
}

/// Report of a sidecar; absolute within its session, so loss and repeats do no harm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReport {
    /// Number of the report, rising within the sidecar's incarnation.
    pub sequence: u64,
    /// Model or service of the sidecar.
    pub target: Target,
    /// Changed workspaces.
    pub entries: Vec<ReportEntry>,
}

/// Account of one workspace as its home holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountEntry {
    /// Workspace.
    pub workspace: Name,
    /// Session of the report that is answered.
    pub session: u64,
    /// Virtual time over the whole fleet.
    pub virtual_time: i64,
    /// Part of the reporter's charges that the virtual time includes.
    pub acknowledged: i64,
    /// Sidecars that serve the workspace now.
    pub competitors: u32,
}

/// Answer of a home to a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountUpdate {
    /// Model or service of the accounts.
    pub target: Target,
    /// Accounts of the reported workspaces.
    pub entries: Vec<AccountEntry>,
}
