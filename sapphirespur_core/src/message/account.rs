//! Messages that synchronise the service accounts of workspaces.

use crate::config::Target;
use crate::name::Name;

/// Service that one sidecar provided to one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportEntry {
    /// Workspace that was served.
    pub workspace: Name,
    /// Session of the sidecar with the account's home, unique across restarts of the sidecar.
    pub session: u64,
    /// Cost units charged since the start of the session; refunds lower it.
    pub charged: i64,
    /// Virtual time that the sidecar last received from a home, raised if the workspace has started
    /// after idleness since.
    pub observed_virtual_time: i64,
    /// Lowest virtual time at which the workspace starts if it was idle at all sidecars; absent if
    /// the workspace's virtual time was not below it, and once a home has replied.
    pub floor: Option<i64>,
    /// Whether the workspace has requests waiting for the sidecar.
    pub backlogged: bool,
}

/// Report of the service that a sidecar has provided to workspaces, sent to their accounts' home.
///
/// Its values are absolute within their sessions, so it may be lost or repeated without harm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReport {
    /// Sequence number, increasing within the sidecar's incarnation.
    pub sequence: u64,
    /// Model or service that the sidecar serves.
    pub target: Target,
    /// One entry for each reported workspace.
    pub entries: Vec<ReportEntry>,
}

/// Account of one workspace at its home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountEntry {
    /// Workspace of the account.
    pub workspace: Name,
    /// Session of the answered report.
    pub session: u64,
    /// Fleet-wide virtual time of the workspace.
    pub virtual_time: i64,
    /// Cost units charged by the reporter in this session that the virtual time includes.
    pub acknowledged: i64,
    /// Number of sidecars at which the workspace has requests waiting, at least one.
    pub competitors: u32,
}

/// Reply of a home to a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountUpdate {
    /// Model or service of the accounts.
    pub target: Target,
    /// Accounts of the reported workspaces.
    pub entries: Vec<AccountEntry>,
}
