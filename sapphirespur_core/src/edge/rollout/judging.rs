//! Judgement of responses.

use crate::edge::rollout::fault::Fault;
use crate::edge::rollout::measure::Measure;
use crate::edge::rollout::service_rollout::ServiceRollout;
use crate::edge::{InFlightRequest, Judged, RolloutRole, Shares};
use crate::time::Time;

impl ServiceRollout {
    /// Events of a stream after which its interval between events is judged.
    pub const INTERVAL_EVENTS: u32 = 8;

    /// Fewest events of a stream that has ended for a judgement of their interval.
    const MIN_INTERVAL_EVENTS: u32 = 3;

    /// Judges the time to the first event.
    pub fn on_first_event(&mut self, now: Time, request: &mut InFlightRequest, role: RolloutRole) {
        let route = Shares::name_hash(&request.route);
        let delay = now.since(request.placed_at);
        if self.tally.stop_waiting(request.rollout.number) {
            request.judged = Judged::Bad;
        } else if self.tally.is_first_slow(route, delay, request.rollout.prefill_ms) {
            request.judged = self.tally.on_fault(now, request, role, Fault::Slow);
        }
    }

    /// Judges a stream that has sent some events.
    pub fn judge_begun(&mut self, now: Time, request: &mut InFlightRequest, role: RolloutRole) {
        self.record_first(request, role);
        if let Some(interval_ms) = interval_ms(request) {
            self.judge_time(now, request, role, Measure::Interval, interval_ms);
        }
        self.judge_fine(request, role);
    }

    /// Judges a response that has ended well.
    pub fn judge_ended(&mut self, now: Time, request: &mut InFlightRequest, role: RolloutRole) {
        if request.events >= Self::INTERVAL_EVENTS {
            return;
        }
        self.record_first(request, role);
        if request.events <= 1 {
            let total_ms = now.since(request.placed_at).as_secs_f64() * 1_000.0;
            self.judge_time(now, request, role, Measure::Total, total_ms);
        } else if request.events >= Self::MIN_INTERVAL_EVENTS
            && let Some(interval_ms) = interval_ms(request)
        {
            self.judge_time(now, request, role, Measure::Interval, interval_ms);
        }
        self.judge_fine(request, role);
    }

    /// Records the time to the first event of an old version's response. It is not recorded earlier,
    /// because refusals have one as well.
    fn record_first(&mut self, request: &InFlightRequest, role: RolloutRole) {
        let Some(first_event_at) = request.first_event_at else { return };
        if role == RolloutRole::Old {
            let delay = first_event_at.since(request.placed_at);
            let route = Shares::name_hash(&request.route);
            self.tally.record_first(route, delay, request.rollout.prefill_ms);
        }
    }

    fn judge_time(
        &mut self,
        now: Time,
        request: &mut InFlightRequest,
        role: RolloutRole,
        measure: Measure,
        ms: f64,
    ) {
        let route = Shares::name_hash(&request.route);
        if self.tally.is_slow(route, role, measure, ms) && request.judged != Judged::Bad {
            request.judged = self.tally.on_fault(now, request, role, Fault::Slow);
        }
    }

    fn judge_fine(&mut self, request: &mut InFlightRequest, role: RolloutRole) {
        if request.judged == Judged::Open {
            request.judged = self.tally.on_fine(request, role);
        }
    }
}

/// Returns the mean interval between the events of a response, in milliseconds.
fn interval_ms(request: &InFlightRequest) -> Option<f64> {
    let span = request.last_event_at.since(request.first_event_at?);
    let intervals = request.events.checked_sub(1).filter(|count| *count > 0)?;
    Some(span.as_secs_f64() * 1_000.0 / f64::from(intervals))
}
