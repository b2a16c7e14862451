//! Shares of workspaces in what the upstreams give.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::WorkspaceUsage;
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Tokens of one request.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at: Time,
    tokens: u64,
    is_admitted: bool,
}

/// Workspace that pays for a request, and the route that it takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Payer {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the route's name.
    pub route: u32,
}

/// Use of one workspace at this router.
#[derive(Clone, Debug, Default)]
struct Account {
    charges: VecDeque<Charge>,
    asked: u64,
    admitted: u64,
}

/// Use of all workspaces over a sliding window.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    accounts: HashMap<u32, Account>,
    /// Use by workspace and route, at this router alone.
    routes: HashMap<(u32, u32), Account>,
}

impl Shares {
    /// Admitted requests of a route at which its own part weighs half.
    const UNKNOWN_REQUESTS: u64 = 4;

    /// Creates accounts over a window.
    pub fn new(window: Duration) -> Self {
        Self { window, accounts: HashMap::default(), routes: HashMap::default() }
    }

    /// Returns the key of a workspace or route.
    pub fn key(name: &Name) -> u32 {
        stable_hash(&[name.as_str().as_bytes()]) as u32
    }

    /// Notes a request.
    pub fn charge(&mut self, now: Time, payer: Payer, tokens: u64, is_admitted: bool) {
        let charge = Charge { at: now, tokens, is_admitted };
        self.accounts.entry(payer.workspace).or_default().add(charge);
        self.routes.entry((payer.workspace, payer.route)).or_default().add(charge);
    }

    /// Returns the use of each workspace in the window that ends now.
    pub fn uses(&mut self, now: Time) -> Vec<WorkspaceUsage> {
        let window = self.window;
        self.accounts.retain(|_, account| account.forget(now, window));
        self.routes.retain(|_, account| account.forget(now, window));

        let used = |(key, account): (&u32, &Account)| WorkspaceUsage {
            workspace: *key,
            asked: account.asked,
            admitted: account.admitted,
        };
        self.accounts.iter().map(used).collect()
    }

    /// Returns what a workspace would have with `tokens` more, as a part of its share of
    /// `tokens_per_s`; above one means beyond it.
    ///
    /// `others` is what other routers report.
    pub fn share_usage(
        &mut self,
        now: Time,
        payer: Payer,
        tokens: u64,
        tokens_per_s: u64,
        others: impl Iterator<Item = WorkspaceUsage>,
    ) -> f64 {
        let mut fleet: HashMap<u32, (u64, u64)> = HashMap::default();
        for used in self.uses(now).into_iter().chain(others) {
            let sum = fleet.entry(used.workspace).or_default();
            sum.0 += used.asked;
            sum.1 += used.admitted;
        }
        let own = fleet.entry(payer.workspace).or_default();
        own.0 += tokens;
        let admitted = own.1 + tokens;

        let capacity = (tokens_per_s as f64 * self.window.as_secs_f64()) as u64;
        let demands: Vec<u64> = fleet.values().map(|(asked, _)| *asked).collect();
        let part = admitted as f64 / water_fill(&demands, capacity).max(1) as f64;
        part * self.lead_of_route(payer, tokens)
    }

    /// Returns how much better a route of a workspace was served than all its routes together, so
    /// that small requests don't use up the share before large ones.
    fn lead_of_route(&self, payer: Payer, tokens: u64) -> f64 {
        let (Some(all), Some(route)) =
            (self.accounts.get(&payer.workspace), self.routes.get(&(payer.workspace, payer.route)))
        else {
            return 1.0;
        };

        // A route of which few requests would be admitted here by the usual part counts as served
        // like the others: it may have none by chance.
        let usual = all.served_part(tokens) * route.asked as f64;
        let weight = (tokens * Self::UNKNOWN_REQUESTS) as f64;
        (route.admitted as f64 + weight) / (usual + weight)
    }
}

impl Account {
    fn add(&mut self, charge: Charge) {
        self.asked += charge.tokens;
        if charge.is_admitted {
            self.admitted += charge.tokens;
        }
        self.charges.push_back(charge);
    }

    /// Returns the part of the tokens asked for that was admitted, with `tokens` more of both.
    fn served_part(&self, tokens: u64) -> f64 {
        (self.admitted + tokens) as f64 / (self.asked + tokens).max(1) as f64
    }

    /// Forgets charges before the window, and tells whether some are left.
    fn forget(&mut self, now: Time, window: Duration) -> bool {
        while let Some(charge) = self.charges.front().filter(|c| now.since(c.at) > window) {
            self.asked -= charge.tokens;
            if charge.is_admitted {
                self.admitted -= charge.tokens;
            }
            self.charges.pop_front();
        }

        !self.charges.is_empty()
    }
}

/// Returns the max-min fair level: what each demand gets at most when all share `capacity`.
pub fn water_fill(demands: &[u64], capacity: u64) -> u64 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();

    let mut left = capacity;
    for (index, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as u64;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    u64::MAX
}
