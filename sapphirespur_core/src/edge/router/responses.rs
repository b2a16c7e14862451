//! What responses of upstreams say of them.

use std::time::Duration;

use crate::edge::{InFlightRequest, Router, SendOutcome, ToldLoad, Upstream};
use crate::time::Time;

impl Router {
    /// Difference of paces, as a fraction, up to which a request ran at the same pace all the time.
    const STEADY_PACE: f64 = 0.1;

    /// Records that an upstream has sent `count` complete events of a stream.
    pub fn on_events(&mut self, now: Time, request: &mut InFlightRequest, count: u32) {
        let is_first = request.events == 0;
        let pace = if is_first { 1.0 } else { self.pace_of(now, request) };
        let gap = now.since(request.last_event_at).div_f64(pace);
        request.events += count;
        request.last_event_at = now;
        if let Some(upstream) = self.find_upstream(request) {
            if let Some(work) = &mut request.work {
                upstream.work.on_events(work, request.events);
            }
            if is_first {
                upstream.load.on_received();
            } else {
                upstream.load.on_events(count, gap);
            }
        }
        self.rollouts.on_events(now, request, count);
    }

    /// Records the first event of a response.
    pub fn on_first_event(&mut self, now: Time, request: &mut InFlightRequest) {
        if request.first_event_at.is_some() {
            return;
        }
        request.first_event_at = Some(now);
        let pace = self.pace_of(now, request);
        let delay = now.since(request.placed_at).div_f64(pace);
        let is_pace_steady =
            request.load.is_none_or(|load| (pace / load.pace - 1.0).abs() <= Self::STEADY_PACE);
        let expected_speed = self.registry.expected_prefill_speed(&request.service);
        self.rollouts.on_first_event(now, request);
        if let Some(upstream) = self.find_upstream(request) {
            upstream.load.on_first_event(
                request.prefill_tokens,
                request.queued_tokens,
                delay,
                is_pace_steady.then_some(expected_speed),
            );
        }
    }

    /// Records that the instance which responded to a request is leaving; it gets no further
    /// requests, whatever the registry says. Returns whether this was not known before.
    pub fn on_leaving(&mut self, request: &InFlightRequest) -> bool {
        self.find_upstream(request)
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.is_leaving, true))
    }

    /// Records the limit in requests per second that the instance which responded to a request names,
    /// or that it names none. Returns whether this is a change.
    pub fn on_limit(&mut self, now: Time, request: &InFlightRequest, per_s: Option<f64>) -> bool {
        self.find_upstream(request).is_some_and(|upstream| upstream.set_limit(now, now, per_s))
    }

    /// Records the load that the instance which responded to a request reports.
    pub fn on_load(&mut self, now: Time, request: &InFlightRequest, told: ToldLoad) {
        if self.find_upstream(request).is_some() {
            self.registry.upstreams_mut().on_told(now, request.upstream.as_str(), told);
        }
    }

    /// Records that the instance which responded to a request wants no requests from this router
    /// for a while.
    pub fn on_pause_requested(&mut self, now: Time, request: &InFlightRequest, pause: Duration) {
        if let Some(upstream) = self.find_upstream(request) {
            upstream.pause(now, pause);
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self, now: Time, request: &InFlightRequest, outcome: SendOutcome) {
        if outcome == SendOutcome::Answered {
            self.work.record(request);
        }
        if outcome == SendOutcome::Answered && request.proves_survival() {
            self.quarantine.on_answered(now, request.quarantine_keys());
        }
        self.rollouts.on_end(now, request, outcome);
        let is_plain = self.registry.is_plain(&request.service);
        if outcome == SendOutcome::Answered && is_plain {
            self.registry.upstreams_mut().record_call(now, request);
        }
        let Some(upstream) = self.find_upstream(request) else { return };
        upstream.on_end(now, request, outcome, is_plain);
    }

    /// Returns the pace by which times that are measured at the upstream of a request are divided, so
    /// that estimates of its speed hold at the usual pace.
    fn pace_of(&self, now: Time, request: &InFlightRequest) -> f64 {
        let upstreams = self.registry.upstreams();
        let upstream = upstreams.get(request.upstream.as_str());
        upstream.map_or(1.0, |upstream| upstreams.pace(now, upstream))
    }

    /// Records that the upstream of a request that had just begun was lost at `lost_at`, together
    /// with the request.
    pub fn on_upstream_lost(&mut self, lost_at: Time, request: &InFlightRequest) {
        self.quarantine.on_lost(lost_at, request);
    }

    /// Returns the upstream of a request, unless it has been replaced by a new process instance.
    pub(super) fn find_upstream(&mut self, request: &InFlightRequest) -> Option<&mut Upstream> {
        self.registry
            .upstreams_mut()
            .get_mut(request.upstream.as_str())
            .filter(|upstream| upstream.entry.started_ms == request.started_ms)
    }
}
