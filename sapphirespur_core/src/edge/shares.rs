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
pub struct UsageKey {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the route's name.
    pub route: u32,
}

/// Use of one workspace at this router.
#[derive(Clone, Debug, Default)]
struct Usage {
    charges: VecDeque<Charge>,
    asked: u64,
    admitted: u64,
}

/// Use of all workspaces over a sliding window.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    by_workspace: HashMap<u32, Usage>,
    /// Use by workspace and route, at this router alone.
    by_route: HashMap<(u32, u32), Usage>,
}

impl Shares {
    /// Admitted requests of a route at which its own part weighs half.
    const PRIOR_REQUESTS: u64 = 4;

    /// Creates accounts over a window.
    pub fn new(window: Duration) -> Self {
        Self { window, by_workspace: HashMap::default(), by_route: HashMap::default() }
    }

    /// Returns the key of a workspace or route.
    pub fn name_hash(name: &Name) -> u32 {
        stable_hash(&[name.as_str().as_bytes()]) as u32
    }

    /// Notes a request.
    pub fn charge(&mut self, now: Time, key: UsageKey, tokens: u64, is_admitted: bool) {
        let charge = Charge { at: now, tokens, is_admitted };
        self.by_workspace.entry(key.workspace).or_default().add(charge);
        self.by_route.entry((key.workspace, key.route)).or_default().add(charge);
    }

    /// Returns the use of each workspace in the window that ends now.
    pub fn usage(&mut self, now: Time) -> Vec<WorkspaceUsage> {
        let window = self.window;
        self.by_workspace.retain(|_, usage| usage.expire(now, window));
        self.by_route.retain(|_, usage| usage.expire(now, window));

        let used = |(workspace, usage): (&u32, &Usage)| WorkspaceUsage {
            workspace: *workspace,
            asked: usage.asked,
            admitted: usage.admitted,
        };
        self.by_workspace.iter().map(used).collect()
    }

    /// Returns what a workspace would have with `tokens` more, as a part of its share of
    /// `tokens_per_s`; above one means beyond it.
    ///
    /// `others` is what other routers report.
    pub fn share_usage(
        &mut self,
        now: Time,
        key: UsageKey,
        tokens: u64,
        tokens_per_s: u64,
        others: impl Iterator<Item = WorkspaceUsage>,
    ) -> f64 {
        let mut totals: HashMap<u32, (u64, u64)> = HashMap::default();
        for used in self.usage(now).into_iter().chain(others) {
            let sum = totals.entry(used.workspace).or_default();
            sum.0 += used.asked;
            sum.1 += used.admitted;
        }
        let own = totals.entry(key.workspace).or_default();
        own.0 += tokens;
        let admitted = own.1 + tokens;

        let capacity = (tokens_per_s as f64 * self.window.as_secs_f64()) as u64;
        let demands: Vec<u64> = totals.values().map(|(asked, _)| *asked).collect();
        let share_usage = admitted as f64 / water_fill(&demands, capacity).max(1) as f64;
        share_usage * self.route_advantage(key, tokens)
    }

    /// Returns how much better a route of a workspace was served than all its routes together, so
    /// that small requests don't use up the share before large ones.
    fn route_advantage(&self, key: UsageKey, tokens: u64) -> f64 {
        let (Some(all), Some(route)) =
            (self.by_workspace.get(&key.workspace), self.by_route.get(&(key.workspace, key.route)))
        else {
            return 1.0;
        };

        // A route of which few requests would be admitted here by the usual part counts as served
        // like the others: it may have none by chance.
        let usual = all.admitted_fraction(tokens) * route.asked as f64;
        let weight = (tokens * Self::PRIOR_REQUESTS) as f64;
        (route.admitted as f64 + weight) / (usual + weight)
    }
}

impl Usage {
    fn add(&mut self, charge: Charge) {
        self.asked += charge.tokens;
        if charge.is_admitted {
            self.admitted += charge.tokens;
        }
        self.charges.push_back(charge);
    }

    /// Returns the part of the tokens asked for that was admitted, with `tokens` more of both.
    fn admitted_fraction(&self, tokens: u64) -> f64 {
        (self.admitted + tokens) as f64 / (self.asked + tokens).max(1) as f64
    }

    /// Forgets charges before the window, and tells whether some are left.
    fn expire(&mut self, now: Time, window: Duration) -> bool {
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
