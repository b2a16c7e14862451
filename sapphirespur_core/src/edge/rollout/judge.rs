//! Verdict on the target from the evidence of the fleet.

use std::time::Duration;

use crate::collections::{HashMap, HashSet};
use crate::edge::rollout::counts::Counts;
use crate::edge::rollout::hypotheses::Hypotheses;
use crate::edge::rollout::reference::{Rates, Reference};
use crate::edge::rollout::seen::Seen;
use crate::edge::rollout::sequential_test::SequentialTest;
use crate::edge::{EvidenceKey, RolloutEvidence, RolloutRole, RolloutVerdict};
use crate::time::Time;

/// Route of the row that tells how a router takes part, rather than of responses.
pub(super) const CONTROL_ROUTE: u32 = 0;

/// Tests of one route, and its responses since the roll-out began.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTests {
    reference: Reference,
    failures: SequentialTest,
    /// Failures, with rates between which few responses decide.
    coarse: SequentialTest,
    slow: SequentialTest,
    target: Counts,
    old: Counts,
}

/// Bad responses of one upstream of the target.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    /// Evidence against it; its weight halves with time.
    evidence: f64,
    /// Recent losses; their weight halves with time.
    losses: f64,
    /// When a loss was last counted while most were at this upstream.
    loss_counted_at: Option<Time>,
}

/// Tests of the target of one roll-out against the old versions.
#[derive(Clone, Debug, Default)]
pub(super) struct Judge {
    rollout: u32,
    seen: HashMap<EvidenceKey, Seen>,
    routes: HashMap<u32, RouteTests>,
    /// Old versions on all routes.
    reference: Reference,
    /// Failures on all routes.
    pooled: SequentialTest,
    suspects: HashMap<u32, Suspect>,
    verdict: RolloutVerdict,
    observed_at: Option<Time>,
}

impl Judge {
    /// Time in which the weight of evidence against a single upstream halves.
    const SUSPECT_HALF_LIFE: Duration = Duration::from_secs(4);

    /// Interval within which the losses of a crashed upstream count as one.
    const LOSS_INTERVAL: Duration = Duration::from_secs(1);

    /// Fewest upstreams in use for which the worst one is left out.
    const MIN_UPSTREAMS: usize = 3;

    /// Part of the service's responses up to which a route cannot hold up a good verdict.
    const NEGLIGIBLE_PART: f64 = 0.02;

    /// Creates the tests of a roll-out.
    pub fn new(rollout: u32) -> Self {
        Self { rollout, ..Self::default() }
    }

    /// Returns the verdict. A bad one is final.
    pub fn verdict(&self) -> RolloutVerdict {
        self.verdict
    }

    /// Returns the responses of the target and of the old versions since the roll-out began.
    pub fn totals(&self) -> (Counts, Counts) {
        let add = |(target, old): (Counts, Counts), route: &RouteTests| {
            (target.plus(route.target), old.plus(route.old))
        };
        self.routes.values().fold(Default::default(), add)
    }

    /// Returns whether a route needs responses of the target more than the other routes do.
    pub fn is_needy(&self, route: u32) -> bool {
        let total = self.total();
        match self.routes.get(&route) {
            Some(tests) => !tests.is_negligible(total) && !tests.is_good(),
            None => true,
        }
    }

    /// Returns whether any route needs responses of the target.
    pub fn is_any_needy(&self) -> bool {
        let total = self.total();
        self.routes.values().any(|tests| !tests.is_negligible(total) && !tests.is_good())
    }

    /// Takes the evidence of this router and the sums of the others. `upstreams` is the number of
    /// upstreams that the target's requests go to.
    pub fn observe(
        &mut self,
        now: Time,
        own: &[RolloutEvidence],
        others: &[RolloutEvidence],
        upstreams: usize,
    ) {
        let elapsed = self.observed_at.map_or(Duration::ZERO, |at| now.since(at));
        self.observed_at = Some(now);
        let mut new = self.new_counts(now, own, others);
        self.update_suspects(now, elapsed, &mut new, upstreams);

        let worst = self.worst_upstream().filter(|_| upstreams >= Self::MIN_UPSTREAMS);
        let routes: HashSet<u32> = new.keys().map(|key| key.route).collect();
        for route in routes {
            let mut take = |role, upstream| {
                let key = EvidenceKey { rollout: self.rollout, route, role, upstream };
                new.remove(&key).unwrap_or_default()
            };
            let (target, old) = (take(RolloutRole::Target, 0), take(RolloutRole::Old, 0));
            let left_out = worst.map(|key| take(RolloutRole::Target, key)).unwrap_or_default();
            self.test_route(elapsed, route, target, old, target.since(left_out));
        }
        self.update_verdict();
    }

    /// Returns what is new in each row.
    fn new_counts(
        &mut self,
        now: Time,
        own: &[RolloutEvidence],
        others: &[RolloutEvidence],
    ) -> HashMap<EvidenceKey, Counts> {
        let mut new: HashMap<EvidenceKey, Counts> = HashMap::default();
        let mut add = |key: EvidenceKey, counts: Counts| {
            if counts != Counts::default() {
                let sum = new.entry(key).or_default();
                *sum = sum.plus(counts);
            }
        };
        let is_used =
            |row: &&RolloutEvidence| row.rollout == self.rollout && row.route != CONTROL_ROUTE;
        for row in own.iter().filter(is_used) {
            let seen = self.seen.entry(row.key()).or_default();
            add(row.key(), seen.update_own(Counts::from(row)));
        }
        for row in others.iter().filter(is_used) {
            let seen = self.seen.entry(row.key()).or_default();
            add(row.key(), seen.update_others(now, Counts::from(row)));
        }
        new
    }

    /// Adds new counts to the evidence against single upstreams. Losses at the upstream with the most
    /// of them count at most once in an interval, in its rows and in those over all upstreams: it has
    /// crashed, which says little of the version.
    fn update_suspects(
        &mut self,
        now: Time,
        elapsed: Duration,
        new: &mut HashMap<EvidenceKey, Counts>,
        upstreams: usize,
    ) {
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / Self::SUSPECT_HALF_LIFE.as_secs_f64());
        for suspect in self.suspects.values_mut() {
            suspect.evidence *= kept;
            suspect.losses *= kept;
        }
        for (key, counts) in new.iter().filter(|(key, _)| key.upstream != 0) {
            let suspect = self.suspects.entry(key.upstream).or_default();
            suspect.losses += f64::from(counts.lost);
        }
        if upstreams > 1 {
            self.cap_losses(now, new);
        }
        for (key, counts) in new.iter().filter(|(key, _)| key.upstream != 0) {
            let reference = self.routes.get(&key.route).map(|tests| tests.reference);
            let rates = reference.unwrap_or_default().rates(&self.reference);
            let suspect = self.suspects.entry(key.upstream).or_default();
            suspect.evidence += rates.evidence(*counts);
        }
    }

    fn cap_losses(&mut self, now: Time, new: &mut HashMap<EvidenceKey, Counts>) {
        let most = self.suspects.iter().max_by(|a, b| a.1.losses.total_cmp(&b.1.losses));
        let Some((crashed, _)) = most.filter(|(_, suspect)| suspect.losses > 0.0) else { return };
        let crashed = *crashed;
        let Some(suspect) = self.suspects.get_mut(&crashed) else { return };
        let is_due = suspect.loss_counted_at.is_none_or(|at| now.since(at) >= Self::LOSS_INTERVAL);
        let mut allowed = u32::from(is_due);
        let rows: Vec<EvidenceKey> =
            new.keys().filter(|key| key.upstream == crashed).copied().collect();
        for key in rows {
            let Some(counts) = new.get_mut(&key).filter(|counts| counts.lost > 0) else { continue };
            let counted = counts.lost.min(allowed);
            let dropped = counts.lost - counted;
            allowed -= counted;
            counts.lost = counted;
            if counted > 0 {
                suspect.loss_counted_at = Some(now);
            }
            if let Some(all) = new.get_mut(&EvidenceKey { upstream: 0, ..key }) {
                all.lost = all.lost.saturating_sub(dropped);
            }
        }
    }

    /// Returns the upstream with the most evidence against it.
    fn worst_upstream(&self) -> Option<u32> {
        let worst = self.suspects.iter().max_by(|a, b| a.1.evidence.total_cmp(&b.1.evidence));
        worst.filter(|(_, suspect)| suspect.evidence > 0.0).map(|(key, _)| *key)
    }

    /// Adds new responses on a route to its tests; `tested` are those of the target that count.
    fn test_route(
        &mut self,
        elapsed: Duration,
        route: u32,
        target: Counts,
        old: Counts,
        tested: Counts,
    ) {
        self.reference.add(elapsed, old);
        let tests = self.routes.entry(route).or_default();
        tests.target = tests.target.plus(target);
        tests.old = tests.old.plus(old);
        tests.reference.add(elapsed, old);
        let rates = tests.reference.rates(&self.reference);
        let (answered, failed) = (tested.answered, tested.failed + tested.lost);
        let failures = Hypotheses::failures(rates.failures).evidence(answered, failed);
        tests.failures.add(failures);
        let all = Hypotheses::all_failures(rates.failures).evidence(answered, failed);
        self.pooled.add(all);
        let coarse = Hypotheses::coarse_failures(rates.failures);
        tests.coarse.add(coarse.evidence(answered, failed));
        let slow = Hypotheses::slow(rates.slow);
        tests.slow.add(slow.evidence(answered, tested.slow));
    }

    fn update_verdict(&mut self) {
        if self.verdict == RolloutVerdict::Bad {
            return;
        }

        let is_bad = |tests: &RouteTests| {
            tests.failures.is_bad() || tests.coarse.is_bad() || tests.slow.is_bad()
        };
        self.verdict = if self.pooled.is_bad() || self.routes.values().any(is_bad) {
            RolloutVerdict::Bad
        } else if self.pooled.is_good() && !self.is_any_needy() {
            RolloutVerdict::Good
        } else {
            RolloutVerdict::Open
        };
    }

    /// Returns the number of responses since the roll-out began.
    fn total(&self) -> u32 {
        self.routes.values().map(RouteTests::total).sum()
    }
}

impl RouteTests {
    fn total(&self) -> u32 {
        self.target.answered + self.old.answered
    }

    fn is_negligible(&self, total: u32) -> bool {
        f64::from(self.total()) <= f64::from(total) * Judge::NEGLIGIBLE_PART
    }

    fn is_good(&self) -> bool {
        self.coarse.is_good() && self.slow.is_good()
    }
}

impl Rates {
    /// Returns how much more likely responses of one upstream are for a bad version.
    fn evidence(&self, counts: Counts) -> f64 {
        let failed = counts.failed + counts.lost;
        Hypotheses::failures(self.failures).evidence(counts.answered, failed)
            + Hypotheses::slow(self.slow).evidence(counts.answered, counts.slow)
    }
}
