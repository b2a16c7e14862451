//! Token usage of workspaces and their max-min fair shares of the capacity.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::WorkspaceUsage;
use crate::edge::others_admitted::OthersAdmitted;
use crate::edge::others_demand::OthersDemand;
use crate::edge::share_totals::{ShareTotals, WorkspaceTotal};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Workspace and route to which the tokens of a request are charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageKey {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the route's name.
    pub route: u32,
}

/// Token usage of a workspace, or of one of its routes, at this router, which decays with time.
///
/// Usage that counted in full for a while and was then forgotten at once would make room for a burst
/// as large as the one that it forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requested_tokens: f64,
    admitted_tokens: f64,
    /// Admitted tokens, each divided by the share when it was admitted: after a fall of the shares, usage
    /// of before that was within them does not count as more than that.
    admitted_shares: f64,
    decayed_at: Time,
}

/// Token usage of all workspaces.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Time in which requested tokens decay by a factor of e.
    window: Duration,
    /// Time in which admitted tokens decay by a factor of e.
    admission_window: Duration,
    /// Hash of this router's name, by which its draws differ from those of the others.
    seed: u64,
    by_workspace: HashMap<u32, Usage>,
    /// Usage by workspace and route, at this router only.
    by_route: HashMap<(u32, u32), Usage>,
    /// Demand at the other routers, of workspaces with requests here.
    others_demand: HashMap<u32, OthersDemand>,
    /// What the other routers admitted, by workspace.
    others_admitted: HashMap<u32, OthersAdmitted>,
    /// Usage at all routers.
    totals: ShareTotals,
    /// Share of each workspace that asks for more, in admitted tokens; none before it is known.
    share: Option<f64>,
}

impl Shares {
    /// Pseudo-count of admitted requests that smooths a route's ratio to its workspace: at this
    /// many admitted requests, the route's own usage has half of the weight.
    const PRIOR_REQUESTS: u64 = 4;

    /// Usage below which a record is removed, in tokens.
    const NEGLIGIBLE_TOKENS: f64 = 1.0;

    /// Ratio of the window of requested tokens to that of admitted ones. With a shorter one, a
    /// workspace that begins to ask for more than its share is less ahead of the others; a longer one
    /// has room for large requests.
    const ADMISSION_WINDOWS: u32 = 2;

    /// Creates empty usage records at the router whose name has the hash `seed`. A workspace that asks
    /// for its share of `window` or less may use it at once.
    pub fn new(window: Duration, seed: u64) -> Self {
        Self {
            window,
            admission_window: window / Self::ADMISSION_WINDOWS,
            seed,
            by_workspace: HashMap::default(),
            by_route: HashMap::default(),
            others_demand: HashMap::default(),
            others_admitted: HashMap::default(),
            totals: ShareTotals::default(),
            share: None,
        }
    }

    /// Returns the hash that identifies a workspace, route or service in reports.
    pub fn name_hash(name: &Name) -> u32 {
        stable_hash(&[name.as_str().as_bytes()]) as u32
    }

    /// Charges the tokens of a request to a workspace and route.
    pub fn charge(&mut self, now: Time, key: UsageKey, tokens: u64, is_admitted: bool) {
        let (window, admission_window) = (self.window, self.admission_window);
        let shares = self.share.map_or(0.0, |share| tokens as f64 / share);
        for usage in [
            self.by_workspace.entry(key.workspace).or_default(),
            self.by_route.entry((key.workspace, key.route)).or_default(),
        ] {
            usage.decay(now, window, admission_window);
            usage.add(tokens, is_admitted);
            usage.admitted_shares += if is_admitted { shares } else { 0.0 };
        }
        self.totals.charge(key.workspace, tokens, is_admitted);
    }

    /// Returns the usage of each workspace now.
    pub fn usage(&mut self, now: Time) -> Vec<WorkspaceUsage> {
        let (window, admission_window) = (self.window, self.admission_window);
        let is_used = |usage: &mut Usage| {
            usage.decay(now, window, admission_window);
            usage.requested_tokens >= Self::NEGLIGIBLE_TOKENS
        };
        self.by_workspace.retain(|_, usage| is_used(usage));
        self.by_route.retain(|_, usage| is_used(usage));
        self.others_demand.retain(|_, demand| now.since(demand.sampled_at) < window);
        self.others_admitted.retain(|_, admitted| now.since(admitted.sampled_at) < window);

        let to_report = |(workspace, usage): (&u32, &Usage)| WorkspaceUsage {
            workspace: *workspace,
            asked: usage.requested_tokens as u64,
            admitted: usage.admitted_tokens as u64,
        };
        self.by_workspace.iter().map(to_report).collect()
    }

    /// Records what the other routers have admitted by now, as parts of the present shares of
    /// `tokens_per_s`; to be called several times a second.
    pub fn observe(
        &mut self,
        now: Time,
        tokens_per_s: u64,
        others: impl Iterator<Item = WorkspaceUsage>,
    ) {
        self.renew_totals(now, others);
        let highest = self.totals.iter().last().copied().unwrap_or_default();
        let share = self.update_share(highest.workspace, highest.asked, tokens_per_s).1;
        for total in self.totals.iter().filter(|total| total.is_known_by_others) {
            let known = self.others_admitted.entry(total.workspace).or_default();
            known.sample(now, total.others_admitted as f64, share, self.admission_window);
        }
    }

    /// Takes over the usage of this router and of the others.
    fn renew_totals(&mut self, now: Time, others: impl Iterator<Item = WorkspaceUsage>) {
        let own = self.usage(now);
        self.totals.renew(now, own.into_iter(), others);
    }

    /// Updates the share, where `workspace` asks for `asked` tokens. Returns the level up to which
    /// demands are covered, and the share.
    fn update_share(&mut self, workspace: u32, asked: u64, tokens_per_s: u64) -> (u64, f64) {
        let capacity = (tokens_per_s as f64 * self.window.as_secs_f64()) as u64;
        let level = self.totals.level(workspace, asked, capacity).max(1);
        let share = (level.min(capacity) / u64::from(Self::ADMISSION_WINDOWS)).max(1) as f64;
        if self.share.is_none() {
            for usage in self.by_workspace.values_mut() {
                usage.admitted_shares = usage.admitted_tokens / share;
            }
        }
        self.share = Some(share);
        (level, share)
    }

    /// Lead over the least served workspace beyond which another one gets nothing beyond its share:
    /// less than twice, since usage is known with a delay.
    const MAX_LEAD: f64 = 1.5;

    /// Part of what a workspace asked for below which it counts as unserved.
    const UNSERVED_FRACTION: f64 = 0.7;

    /// Returns the usage of a workspace as [`share_usage`](Self::share_usage) does, where the usage of the
    /// others is at most a tick old.
    pub fn recent_share_usage(
        &mut self,
        now: Time,
        key: UsageKey,
        tokens: u64,
        tokens_per_s: u64,
        others: impl Iterator<Item = WorkspaceUsage>,
        report_lag: Duration,
    ) -> f64 {
        if self.totals.is_outdated(now) {
            self.renew_totals(now, others);
        }
        self.usage_by_totals(now, key, tokens, tokens_per_s, report_lag)
    }

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
        self.renew_totals(now, others);
        self.usage_by_totals(now, key, tokens, tokens_per_s, report_lag)
    }

    fn usage_by_totals(
        &mut self,
        now: Time,
        key: UsageKey,
        tokens: u64,
        tokens_per_s: u64,
        report_lag: Duration,
    ) -> f64 {
        self.decay(now, key);
        let total = self.totals.get(key.workspace);
        let (left, since) = self.admitted_by_others(now, key.workspace, total, report_lag);
        let own = self.by_workspace.get(&key.workspace).copied().unwrap_or_default();
        let asked = total.others_asked + own.requested_tokens as u64 + tokens;
        let (level, share) = self.update_share(key.workspace, asked, tokens_per_s);
        let own = self.by_workspace.get(&key.workspace).copied().unwrap_or_default();
        let admitted = own.admitted_tokens + left + since + tokens as f64;
        if asked <= level {
            let windows = f64::from(Self::ADMISSION_WINDOWS);
            return (admitted / (level as f64 / windows)).min(1.0);
        }
        let others = self.others_admitted.get(&key.workspace).copied().unwrap_or_default();
        let share_usage = own.admitted_shares
            + left * others.shares_per_token(share)
            + (since + tokens as f64) / share;
        let others = self.totals.iter().filter(|total| total.workspace != key.workspace);
        if share_usage > 1.0 && admitted > max_usage(level, others) {
            return f64::INFINITY;
        }
        share_usage * self.route_advantage(key, tokens)
    }

    /// Lets the usage of a workspace and of one of its routes decay until now.
    fn decay(&mut self, now: Time, key: UsageKey) {
        let (window, admission_window) = (self.window, self.admission_window);
        let workspace = self.by_workspace.get_mut(&key.workspace);
        let route = self.by_route.get_mut(&(key.workspace, key.route));
        for usage in workspace.into_iter().chain(route) {
            usage.decay(now, window, admission_window);
        }
    }

    /// Returns the tokens that other routers have probably admitted of a workspace: what is left of those
    /// in their reports, and apart from that a part, drawn by this router, of what was asked for there
    /// since.
    ///
    /// Without the draw, all routers would admit a hot workspace at the same time whenever its usage
    /// has decayed. With it, the part of the routers that admits it is what is left of its share, as a
    /// ratio to what they would admit together.
    fn admitted_by_others(
        &mut self,
        now: Time,
        workspace: u32,
        total: WorkspaceTotal,
        lag: Duration,
    ) -> (f64, f64) {
        let own = self.by_workspace.get(&workspace).copied().unwrap_or_default();
        let (asked, admitted) = (total.others_asked as f64, total.others_admitted as f64);
        let lag_s = lag.as_secs_f64();
        let left = admitted * (-lag_s / self.admission_window.as_secs_f64()).exp();

        let window = self.window;
        let demand = self.others_demand.entry(workspace);
        let demand = demand.or_insert_with(|| OthersDemand::new(now, asked, window));
        demand.sample(now, asked, window, lag);
        let others_per_s = demand.per_s;

        // Where a router is asked for more than what is left, one of them takes it all.
        let own_per_s = own.requested_tokens / window.as_secs_f64();
        let draw = self.draw(now, workspace, lag);
        if draw * (own_per_s + others_per_s) < own_per_s {
            return (left, 0.0);
        }
        (left, others_per_s * lag_s * draw)
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
        let expected_admitted = workspace.admitted_fraction(tokens as f64) * route.requested_tokens;
        let prior = (tokens * Self::PRIOR_REQUESTS) as f64;
        (route.admitted_tokens + prior) / (expected_admitted + prior)
    }
}

impl Usage {
    fn add(&mut self, tokens: u64, is_admitted: bool) {
        self.requested_tokens += tokens as f64;
        if is_admitted {
            self.admitted_tokens += tokens as f64;
        }
    }

    /// Returns the fraction of the requested tokens that was admitted, with `tokens` more of both.
    fn admitted_fraction(&self, tokens: f64) -> f64 {
        (self.admitted_tokens + tokens) / (self.requested_tokens + tokens).max(1.0)
    }

    /// Lets the usage decay until now.
    fn decay(&mut self, now: Time, window: Duration, admission_window: Duration) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.requested_tokens *= (-elapsed / window.as_secs_f64()).exp();
        let kept = (-elapsed / admission_window.as_secs_f64()).exp();
        self.admitted_tokens *= kept;
        self.admitted_shares *= kept;
        self.decayed_at = now;
    }
}

/// Returns the tokens that a workspace may use beyond its share at the `level` of all workspaces,
/// where `others` are the totals of the other ones.
///
/// A workspace whose clients all use one flooded router gets less than its share for lack of that
/// router's time, and not of upstreams; the others must not run away from it.
fn max_usage<'a>(level: u64, others: impl Iterator<Item = &'a WorkspaceTotal>) -> f64 {
    let windows = u64::from(Shares::ADMISSION_WINDOWS);
    let is_unserved = |total: &&WorkspaceTotal| {
        let served = (total.admitted * windows) as f64;
        total.asked > level && served < total.asked as f64 * Shares::UNSERVED_FRACTION
    };
    let least_served = others.filter(is_unserved).map(|total| total.admitted).min();
    let share = (level / windows) as f64;
    least_served.map_or(f64::INFINITY, |least| (least as f64 * Shares::MAX_LEAD).max(share))
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
