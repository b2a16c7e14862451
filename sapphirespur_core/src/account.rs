//! Accounts of service over the whole fleet, held at their home router as soft state.

use std::time::Duration;

use crate::collections::HashMap;
use crate::config::Target;
use crate::hash::{rendezvous, stable_hash};
use crate::message::{AccountEntry, AccountUpdate, ReportEntry, ServiceReport};
use crate::name::Name;
use crate::time::Time;

/// Virtual time units for one cost unit at share one.
pub const VIRTUAL_TIME_SCALE: i64 = 1024;

/// Homes among which the workspaces of one target are spread.
const HOME_BUCKETS: u64 = 8;

/// Time without a report after which a sidecar no longer counts as a competitor.
const COMPETITOR_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without a report after which an account or reporter is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Returns the home of a workspace's account among the live routers.
pub fn home_router<'a>(
    target: &Target,
    workspace: &Name,
    routers: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    let bucket = stable_hash(&[workspace.as_str().as_bytes()]) % HOME_BUCKETS;
    let key = format!("{target}#{bucket}");

    rendezvous(key.as_bytes(), routers, 1).into_iter().next()
}

/// Converts cost units into virtual time.
pub fn to_virtual_time(cost: i64, share: u32) -> i64 {
    cost.saturating_mul(VIRTUAL_TIME_SCALE) / i64::from(share.max(1))
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct AccountKey {
    target: Target,
    workspace: Name,
}

/// What a home knows of one sidecar that serves a workspace.
#[derive(Clone, Debug)]
struct Reporter {
    session: u64,
    sequence: u64,
    charged: i64,
    backlogged: bool,
    last_report: Time,
}

#[derive(Clone, Debug)]
struct Account {
    virtual_time: i64,
    reporters: HashMap<Name, Reporter>,
}

/// Controller of the accounts whose home is this router.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<AccountKey, Account>,
}

impl AccountTable {
    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes a report of `reporter` and returns the answer.
    pub fn report(
        &mut self,
        now: Time,
        reporter: &Name,
        report: &ServiceReport,
        share_of: impl Fn(&Name) -> u32,
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
                account.take(now, reporter, report, entry, share_of(&entry.workspace))
            })
            .collect();

        AccountUpdate { target: report.target.clone(), entries }
    }

    /// Forgets reporters and accounts without recent reports.
    pub fn prune(&mut self, now: Time) {
        for account in self.accounts.values_mut() {
            account.reporters.retain(|_, r| now.since(r.last_report) < FORGET_AFTER);
        }

        self.accounts.retain(|_, account| !account.reporters.is_empty());
    }
}

impl Account {
    fn take(
        &mut self,
        now: Time,
        name: &Name,
        report: &ServiceReport,
        entry: &ReportEntry,
        share: u32,
    ) -> AccountEntry {
        if let Some(floor) = entry.floor.filter(|_| !self.is_busy_besides(now, name)) {
            self.virtual_time = self.virtual_time.max(floor);
        }

        let known = self.reporters.get(name).filter(|r| r.session == entry.session);
        if known.is_none() {
            self.virtual_time = self.virtual_time.max(entry.observed_virtual_time);
        }
        let is_old = known.is_some_and(|r| r.sequence >= report.sequence);
        if !is_old {
            let before = known.map_or(0, |r| r.charged);
            self.virtual_time += to_virtual_time(entry.charged - before, share);
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

    fn is_busy_besides(&self, now: Time, name: &Name) -> bool {
        self.reporters.iter().any(|(other, r)| other != name && r.is_competitor(now))
    }

    fn competitors(&self, now: Time) -> u32 {
        self.reporters.values().filter(|r| r.is_competitor(now)).count().max(1) as u32
    }
}

impl Reporter {
    fn is_competitor(&self, now: Time) -> bool {
        self.backlogged && now.since(self.last_report) < COMPETITOR_TIMEOUT
    }
}
