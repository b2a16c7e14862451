//! Fleet-wide service accounts of workspaces, held by their home router as soft state.

use std::time::Duration;

use crate::collections::HashMap;
use crate::config::Target;
use crate::hash::{rendezvous, stable_hash};
use crate::message::{AccountEntry, AccountUpdate, ReportEntry, ServiceReport};
use crate::name::Name;
use crate::time::Time;

/// Virtual time units per cost unit at a share of one.
pub const VIRTUAL_TIME_SCALE: i64 = 1024;

/// Hash buckets among which the workspaces of one target are spread; each has one home router.
const HOME_BUCKETS: u64 = 8;

/// Time without a report after which a sidecar no longer counts as competing for a workspace.
const COMPETITOR_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a report after which a reporter is removed, and an account with its last reporter.
const REPORTER_TTL: Duration = Duration::from_secs(600);

/// Returns the home router of a workspace's account; `None` when no router is live.
pub fn home_router<'a>(
    target: &Target,
    workspace: &Name,
    routers: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    let bucket = stable_hash(&[workspace.as_str().as_bytes()]) % HOME_BUCKETS;
    let key = format!("{target}#{bucket}");

    rendezvous(key.as_bytes(), routers, 1).into_iter().next()
}

/// Converts cost units into the virtual time of a workspace or class with this share.
pub fn to_virtual_time(cost: i64, share: u32) -> i64 {
    cost.saturating_mul(VIRTUAL_TIME_SCALE) / i64::from(share.max(1))
}

/// Key of an account: each target has its own account of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct AccountKey {
    target: Target,
    workspace: Name,
}

/// Last report of one sidecar about a workspace.
#[derive(Clone, Debug)]
struct Reporter {
    session: u64,
    sequence: u64,
    charged: i64,
    backlogged: bool,
    last_report: Time,
}

/// Virtual time of a workspace and the sidecars that serve it.
#[derive(Clone, Debug)]
struct Account {
    virtual_time: i64,
    reporters: HashMap<Name, Reporter>,
}

/// Accounts whose home is this router.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<AccountKey, Account>,
}

impl AccountTable {
    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Applies a report of the sidecar `reporter` and returns the reported accounts.
    ///
    /// Charges of a repeated or reordered report are ignored.
    pub fn report(
        &mut self,
        now: Time,
        reporter: &Name,
        report: &ServiceReport,
        get_share: impl Fn(&Name) -> u32,
    ) -> AccountUpdate {
        let entries = report
            .entries
            .iter()
            .map(|entry| {
                let key = AccountKey {
                    target: report.target.clone(),
                    workspace: entry.workspace.clone(),
                };
                let account = self.accounts.entry(key).or_insert_with(|| Account {
                    virtual_time: entry.observed_virtual_time,
                    reporters: HashMap::default(),
                });
                account.apply(now, reporter, report, entry, get_share(&entry.workspace))
            })
            .collect();

        AccountUpdate { target: report.target.clone(), entries }
    }

    /// Removes reporters without recent reports, and accounts without reporters.
    pub fn prune(&mut self, now: Time) {
        for account in self.accounts.values_mut() {
            account.reporters.retain(|_, r| now.since(r.last_report) < REPORTER_TTL);
        }

        self.accounts.retain(|_, account| !account.reporters.is_empty());
    }
}

impl Account {
    fn apply(
        &mut self,
        now: Time,
        name: &Name,
        report: &ServiceReport,
        entry: &ReportEntry,
        share: u32,
    ) -> AccountEntry {
        if let Some(floor) = entry.floor.filter(|_| !self.has_other_competitors(now, name)) {
            self.virtual_time = self.virtual_time.max(floor);
        }

        let previous = self.reporters.get(name).filter(|r| r.session == entry.session);
        if previous.is_none() {
            self.virtual_time = self.virtual_time.max(entry.observed_virtual_time);
        }
        let is_stale = previous.is_some_and(|r| r.sequence >= report.sequence);
        if !is_stale {
            let charged_before = previous.map_or(0, |r| r.charged);
            self.virtual_time += to_virtual_time(entry.charged - charged_before, share);
            let reporter = Reporter {
                session: entry.session,
                sequence: report.sequence,
                charged: entry.charged,
                backlogged: entry.backlogged,
                last_report: now,
            };
            self.reporters.insert(name.clone(), reporter);
        }

        AccountEntry {
            workspace: entry.workspace.clone(),
            session: entry.session,
            virtual_time: self.virtual_time,
            acknowledged: self.reporters.get(name).map_or(0, |r| r.charged),
            competitors: self.competitors(now),
        }
    }

    fn has_other_competitors(&self, now: Time, name: &Name) -> bool {
        self.reporters.iter().any(|(other, r)| other != name && r.is_competitor(now))
    }

    /// Returns the number of sidecars at which the workspace has requests waiting, at least one.
    fn competitors(&self, now: Time) -> u32 {
        self.reporters.values().filter(|r| r.is_competitor(now)).count().max(1) as u32
    }
}

impl Reporter {
    fn is_competitor(&self, now: Time) -> bool {
        self.backlogged && now.since(self.last_report) < COMPETITOR_TIMEOUT
    }
}
