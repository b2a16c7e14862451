//! Evidence of this router.

use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::Upstream;
use crate::edge::rollout::fault::Fault;
use crate::edge::rollout::measure::Measure;
use crate::edge::rollout::samples::Samples;
use crate::edge::{EvidenceKey, InFlightRequest, Judged, RolloutEvidence, RolloutRole, Shares};
use crate::time::Time;

/// Counts of this router's responses in one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    rollout: u32,
    rows: HashMap<EvidenceKey, RolloutEvidence>,
    /// Recent times of the old versions, by route.
    samples: HashMap<(u32, Measure), Samples>,
    /// When a loss was last counted, by upstream of the old versions.
    losses: HashMap<u32, Time>,
    /// Requests sent to old versions.
    old_sent: u32,
}

impl Tally {
    /// Interval within which the losses of an old upstream count as one.
    const LOSS_INTERVAL: Duration = Duration::from_secs(1);

    /// Rows of single upstreams in a report, those with the most bad responses first.
    const MAX_UPSTREAM_ROWS: usize = 48;

    /// Creates the counts of a roll-out.
    pub fn new(rollout: u32) -> Self {
        Self { rollout, ..Self::default() }
    }

    /// Returns the requests that were sent to old versions.
    pub fn old_sent(&self) -> u32 {
        self.old_sent
    }

    /// Returns the requests that were sent to the target.
    pub fn target_sent(&self) -> u32 {
        let rows = self.rows.values().filter(|row| row.role == RolloutRole::Target);
        rows.filter(|row| row.upstream == 0).map(|row| row.sent).sum()
    }

    /// Counts a request that is sent.
    pub fn on_sent(&mut self, route: u32, role: RolloutRole) {
        self.row(route, role, 0).sent += 1;
        self.old_sent += u32::from(role == RolloutRole::Old);
    }

    /// Records a time of a response. Returns whether it is slow.
    pub fn is_slow(&mut self, route: u32, role: RolloutRole, measure: Measure, ms: f64) -> bool {
        let samples = self.samples.entry((route, measure)).or_default();
        let is_slow = samples.is_slow(ms);
        if role == RolloutRole::Old {
            samples.record(ms);
        }
        is_slow
    }

    /// Counts a response without fault. Returns how far it is judged.
    pub fn on_fine(&mut self, request: &InFlightRequest, role: RolloutRole) -> Judged {
        if request.judged == Judged::Open {
            self.count(request, role, None);
        }
        Judged::Fine
    }

    /// Counts a bad response. Returns how far it is judged.
    pub fn on_fault(
        &mut self,
        now: Time,
        request: &InFlightRequest,
        role: RolloutRole,
        fault: Fault,
    ) -> Judged {
        let is_repeated = fault == Fault::Lost
            && role == RolloutRole::Old
            && self.is_repeated_loss(now, Upstream::hash_id(&request.upstream));
        if !is_repeated {
            self.count(request, role, Some(fault));
        }
        Judged::Bad
    }

    /// Returns whether a loss at an upstream follows another one closely: one crash cuts all of its
    /// requests.
    fn is_repeated_loss(&mut self, now: Time, upstream: u32) -> bool {
        let last = self.losses.get(&upstream);
        if last.is_some_and(|at| now.since(*at) < Self::LOSS_INTERVAL) {
            return true;
        }
        self.losses.insert(upstream, now);
        false
    }

    fn count(&mut self, request: &InFlightRequest, role: RolloutRole, fault: Option<Fault>) {
        let route = Shares::name_hash(&request.route);
        let is_new = u32::from(request.judged == Judged::Open);
        let mut upstreams = vec![0];
        if role == RolloutRole::Target {
            upstreams.push(Upstream::hash_id(&request.upstream));
        }
        for upstream in upstreams {
            let row = self.row(route, role, upstream);
            row.answered += is_new;
            match fault {
                None => {}
                Some(Fault::Failed) => row.failed += 1,
                Some(Fault::Lost) => row.lost += 1,
                Some(Fault::Slow) => row.slow += 1,
            }
        }
    }

    /// Returns the rows to report: those over all upstreams, and those of upstreams with bad responses.
    pub fn rows(&self) -> Vec<RolloutEvidence> {
        let is_all = |row: &&RolloutEvidence| row.upstream == 0;
        let is_bad = |row: &&RolloutEvidence| row.upstream != 0 && row.bad() > 0;
        let mut single: Vec<RolloutEvidence> = self.rows.values().filter(is_bad).copied().collect();
        single.sort_unstable_by_key(|row| std::cmp::Reverse(row.bad()));
        single.truncate(Self::MAX_UPSTREAM_ROWS);
        self.rows.values().filter(is_all).copied().chain(single).collect()
    }

    fn row(&mut self, route: u32, role: RolloutRole, upstream: u32) -> &mut RolloutEvidence {
        let empty = RolloutEvidence::empty(self.rollout, route, role, upstream);
        self.rows.entry(empty.key()).or_insert(empty)
    }
}
