//! Token usage of workspaces and their max-min fair shares of the capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::WorkspaceUsage;
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Tokens of one request, and whether it was admitted.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at: Time,
    tokens: u64,
    is_admitted: bool,
}

/// Workspace and route to which the tokens of a request are charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageKey {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the route's name.
    pub route: u32,
}

/// Token usage of a workspace, or of one of its routes, at this router.
#[derive(Clone, Debug, Default)]
struct Usage {
    charges: VecDeque<Charge>,
    requested_tokens: u64,
    admitted_tokens: u64,
}

/// Token usage of all workspaces over a sliding window.
#[derive(Clone, Debug)]
pub struct Shares {
    window: Duration,
    /// Hash of this router's name, by which its draws differ from those of the others.
    seed: u64,
    by_workspace: HashMap<u32, Usage>,
    /// Usage by workspace and route, at this router only.
    by_route: HashMap<(u32, u32), Usage>,
}

impl Shares {
    /// Pseudo-count of admitted requests that smooths a route's ratio to its workspace: at this
    /// many admitted requests, the route's own usage has half of the weight.
    const PRIOR_REQUESTS: u64 = 4;

    /// Creates empty usage records over a window, at the router whose name has the hash `seed`.
    pub fn new(window: Duration, seed: u64) -> Self {
        Self { window, seed, by_workspace: HashMap::default(), by_route: HashMap::default() }
    }

    /// Returns the hash that identifies a workspace, route or service in reports.
    pub fn name_hash(name: &Name) -> u32 {
        stable_hash(&[name.as_str().as_bytes()]) as u32
    }

    /// Charges the tokens of a request to a workspace and route.
    pub fn charge(&mut self, now: Time, key: UsageKey, tokens: u64, is_admitted: bool) {
        let charge = Charge { at: now, tokens, is_admitted };
        self.by_workspace.entry(key.workspace).or_default().add(charge);
        self.by_route.entry((key.workspace, key.route)).or_default().add(charge);
    }

    /// Returns the usage of each workspace in the window that ends now.
    pub fn usage(&mut self, now: Time) -> Vec<WorkspaceUsage> {
        let window = self.window;
        self.by_workspace.retain(|_, usage| usage.expire(now, window));
        self.by_route.retain(|_, usage| usage.expire(now, window));

        let to_report = |(workspace, usage): (&u32, &Usage)| WorkspaceUsage {
            workspace: *workspace,
            asked: usage.requested_tokens,
            admitted: usage.admitted_tokens,
        };
        self.by_workspace.iter().map(to_report).collect()
    }

    /// Lead over the least served workspace beyond which another one gets nothing beyond its share:
    /// less than twice, since usage is known with a delay.
    const MAX_LEAD: f64 = 1.5;

    /// Part of what a workspace asked for below which it counts as unserved.
    const UNSERVED_FRACTION: f64 = 0.7;

    /// Returns the usage of a workspace with `tokens` more, as a ratio to its share of
    /// `tokens_per_s`; it is above one when the share is exceeded. It is infinite for a workspace
    /// beyond its share that is far ahead of one that asks for its share and does not get it.
    ///
    /// `others` is the usage reported by other routers, and `report_lag` the age up to which it may
    /// lack what they have admitted. The ratio is scaled by `route_advantage`.
    pub fn share_usage(
        &mut self,
        now: Time,
        key: UsageKey,
        tokens: u64,
        tokens_per_s: u64,
        others: impl Iterator<Item = WorkspaceUsage>,
        report_lag: Duration,
    ) -> f64 {
        let mut totals: HashMap<u32, (u64, u64)> = HashMap::default();
        for used in self.usage(now).into_iter().chain(others) {
            let sum = totals.entry(used.workspace).or_default();
            sum.0 += used.asked;
            sum.1 += used.admitted;
        }
        let total = totals.entry(key.workspace).or_default();
        let unreported = self.unreported_tokens(now, key, tokens, total.0, report_lag);
        total.0 += tokens;
        let admitted = total.1 + unreported + tokens;

        let capacity = (tokens_per_s as f64 * self.window.as_secs_f64()) as u64;
        let demands: Vec<u64> = totals.values().map(|(asked, _)| *asked).collect();
        let level = water_fill(&demands, capacity).max(1);
        let share_usage = admitted as f64 / level as f64;
        totals.remove(&key.workspace);
        if share_usage > 1.0 && admitted as f64 > max_usage(level, totals.values()) {
            return f64::INFINITY;
        }
        share_usage * self.route_advantage(key, tokens)
    }

    /// Returns the tokens that other routers have probably admitted since their last reports, of a
    /// workspace of which `asked` tokens were asked for in all: as this one has, in proportion to the
    /// requests.
    ///
    /// Without them, all routers would admit a hot workspace at the same time whenever its usage has
    /// fallen. Where its share does not suffice for one request at each router, the draws of the
    /// routers decide which of them count this request as admitted by few others.
    fn unreported_tokens(
        &self,
        now: Time,
        key: UsageKey,
        tokens: u64,
        asked: u64,
        lag: Duration,
    ) -> u64 {
        let Some(own) = self.by_workspace.get(&key.workspace) else { return 0 };
        let recent = own.charges.iter().rev().take_while(|charge| now.since(charge.at) < lag);
        let admitted: u64 =
            recent.filter(|charge| charge.is_admitted).map(|charge| charge.tokens).sum();
        let others_asked = asked.saturating_sub(own.requested_tokens);
        let ratio = others_asked as f64 / own.requested_tokens.max(1) as f64;
        let estimate =
            (admitted as f64 + tokens as f64 * self.draw(now, key.workspace, lag)) * ratio;

        // They can't have admitted more than was asked for in that time.
        let asked_since = others_asked as f64 * lag.as_secs_f64() / self.window.as_secs_f64();
        estimate.min(asked_since) as u64
    }

    /// Returns a number from zero to one that is drawn anew after each `lag`.
    fn draw(&self, now: Time, workspace: u32, lag: Duration) -> f64 {
        let turn = now.since(Time::default()).as_micros() / lag.as_micros().max(1);
        let parts =
            [&self.seed.to_le_bytes()[..], &workspace.to_le_bytes()[..], &turn.to_le_bytes()[..]];
        stable_hash(&parts) as f64 / u64::MAX as f64
    }

    /// Returns the ratio of a route's admitted fraction to that of its whole workspace; one without
    /// usage. The factor keeps small requests from using up the share before large ones.
    fn route_advantage(&self, key: UsageKey, tokens: u64) -> f64 {
        let (Some(workspace), Some(route)) =
            (self.by_workspace.get(&key.workspace), self.by_route.get(&(key.workspace, key.route)))
        else {
            return 1.0;
        };

        // A route of which only few requests would be admitted here at the workspace's mean counts
        // as average: that none was admitted may be due to chance.
        let expected_admitted = workspace.admitted_fraction(tokens) * route.requested_tokens as f64;
        let prior = (tokens * Self::PRIOR_REQUESTS) as f64;
        (route.admitted_tokens as f64 + prior) / (expected_admitted + prior)
    }
}

impl Usage {
    fn add(&mut self, charge: Charge) {
        self.requested_tokens += charge.tokens;
        if charge.is_admitted {
            self.admitted_tokens += charge.tokens;
        }
        self.charges.push_back(charge);
    }

    /// Returns the fraction of the requested tokens that was admitted, with `tokens` more of both.
    fn admitted_fraction(&self, tokens: u64) -> f64 {
        (self.admitted_tokens + tokens) as f64 / (self.requested_tokens + tokens).max(1) as f64
    }

    /// Removes charges older than the window. Returns whether any are left.
    fn expire(&mut self, now: Time, window: Duration) -> bool {
        while let Some(charge) = self.charges.front().filter(|c| now.since(c.at) > window) {
            self.requested_tokens -= charge.tokens;
            if charge.is_admitted {
                self.admitted_tokens -= charge.tokens;
            }
            self.charges.pop_front();
        }

        !self.charges.is_empty()
    }
}

/// Returns the tokens that a workspace may use beyond its share at the `level` of all workspaces,
/// where `others` are the tokens that the other ones asked for and were admitted.
///
/// A workspace whose clients all use one flooded router gets less than its share for lack of that
/// router's time, and not of upstreams; the others must not run away from it.
fn max_usage<'a>(level: u64, others: impl Iterator<Item = &'a (u64, u64)>) -> f64 {
    let is_unserved = |(asked, admitted): &&(u64, u64)| {
        *asked > level && (*admitted as f64) < *asked as f64 * Shares::UNSERVED_FRACTION
    };
    let least_served = others.filter(is_unserved).map(|(_, admitted)| *admitted).min();
    least_served.map_or(f64::INFINITY, |least| (least as f64 * Shares::MAX_LEAD).max(level as f64))
}

/// Returns the max-min fair level: the largest amount that any demand gets when all demands share
/// `capacity`. It is `u64::MAX` when the capacity covers all demands.
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
