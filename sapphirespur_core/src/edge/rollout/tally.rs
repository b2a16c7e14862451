//! Evidence of this router.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::HashMap;
use crate::edge::Upstream;
use crate::edge::rollout::fault::Fault;
use crate::edge::rollout::measure::Measure;
use crate::edge::rollout::samples::Samples;
use crate::edge::rollout::waiting::Waiting;
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
    /// Requests at the target without a response, by their numbers.
    waiting: BTreeMap<u32, Waiting>,
    last_number: u32,
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

    /// Time to the first event without prefill to which times are adjusted, in milliseconds.
    const BASE_MS: f64 = 20.0;

    /// Counts a request that is sent.
    pub fn on_sent(&mut self, route: u32, role: RolloutRole) {
        self.row(route, role, 0).sent += 1;
        self.old_sent += u32::from(role == RolloutRole::Old);
    }

    /// Remembers a request to the target until it has a response. Returns its number.
    pub fn await_response(&mut self, waiting: Waiting) -> u32 {
        self.last_number += 1;
        self.waiting.insert(self.last_number, waiting);
        self.last_number
    }

    /// Forgets a request that has a response, or has ended. Returns whether it was counted as slow
    /// before.
    pub fn stop_waiting(&mut self, number: u32) -> bool {
        self.waiting.remove(&number).is_some_and(|waiting| waiting.is_slow)
    }

    /// Counts requests that have waited for longer than is slow: responses that never come are known
    /// as bad only from this.
    pub fn count_waiting(&mut self, now: Time) {
        let mut slow: Vec<Waiting> = Vec::new();
        for waiting in self.waiting.values_mut().filter(|waiting| !waiting.is_slow) {
            let ms = adjusted_ms(now.since(waiting.placed_at), waiting.prefill_ms);
            let samples = self.samples.get(&(waiting.route, Measure::FirstEvent));
            if samples.is_some_and(|samples| samples.is_slow(ms)) {
                waiting.is_slow = true;
                slow.push(*waiting);
            }
        }
        for Waiting { route, upstream, .. } in slow {
            self.count(route, RolloutRole::Target, upstream, true, Some(Fault::Slow));
        }
    }

    /// Returns whether the time to a first event is slow.
    pub fn is_first_slow(&self, route: u32, delay: Duration, prefill_ms: f64) -> bool {
        let samples = self.samples.get(&(route, Measure::FirstEvent));
        samples.is_some_and(|samples| samples.is_slow(adjusted_ms(delay, prefill_ms)))
    }

    /// Records the time to the first event of a response of an old version.
    pub fn record_first(&mut self, route: u32, delay: Duration, prefill_ms: f64) {
        let samples = self.samples.entry((route, Measure::FirstEvent)).or_default();
        samples.record(adjusted_ms(delay, prefill_ms));
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
            self.count_request(request, role, None);
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
            self.count_request(request, role, Some(fault));
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

    fn count_request(
        &mut self,
        request: &InFlightRequest,
        role: RolloutRole,
        fault: Option<Fault>,
    ) {
        let (route, upstream) =
            (Shares::name_hash(&request.route), Upstream::hash_id(&request.upstream));
        self.count(route, role, upstream, request.judged == Judged::Open, fault);
    }

    /// Counts a response in the row over all upstreams and, at the target, in that of its upstream.
    fn count(
        &mut self,
        route: u32,
        role: RolloutRole,
        upstream: u32,
        is_new: bool,
        fault: Option<Fault>,
    ) {
        let single = (role == RolloutRole::Target).then_some(upstream);
        for upstream in [Some(0), single].into_iter().flatten() {
            let row = self.row(route, role, upstream);
            row.answered += u32::from(is_new);
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

/// Returns a time to the first event as it would be without a prompt to prefill, in milliseconds.
fn adjusted_ms(delay: Duration, prefill_ms: f64) -> f64 {
    delay.as_secs_f64() * 1_000.0 * Tally::BASE_MS / (Tally::BASE_MS + prefill_ms)
}
