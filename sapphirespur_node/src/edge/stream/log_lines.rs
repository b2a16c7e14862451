//! Log lines and metrics of a stream.

use sapphirespur_core::name::Name;

use super::super::guards::UpstreamReservation;
use super::StreamRelay;

impl StreamRelay {
    /// Records and logs the end of a complete stream.
    pub(super) fn record_completed(&self) {
        let workspace = self.call.info.workspace.as_ref().map(Name::as_str);
        let total = self.cx.now().since(self.call.arrived_at);
        self.cx.metrics.record_total(workspace, total);
        if self.cx.may_log_success() {
            log::info!(
                request = self.call.head.attempt_id.as_str(),
                route = self.call.route.name.as_str(),
                upstream = self.reservation.as_ref().map_or("", UpstreamReservation::upstream),
                load = self.reservation.as_ref().map(UpstreamReservation::load).unwrap_or_default().as_str(),
                sends = self.sends.tried.len() + 1,
                last_event = self.order.passed_on().unwrap_or_default(),
                max_output_tokens = self.call.info.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens),
                predicted_tokens = self.reservation.as_ref().map_or(0, UpstreamReservation::predicted_tokens),
                output_tokens = self.reservation.as_ref().map_or(0, UpstreamReservation::output_tokens),
                predicted_ms = self.reservation.as_ref().map_or(0, UpstreamReservation::predicted_ms),
                first_event_ms = self.first_event_after.map_or(0, |span| span.as_millis() as u64),
                total_ms = total.as_millis() as u64;
                "stream completed"
            );
        }
    }

    /// Returns the version of the current upstream's software; empty between two upstreams.
    pub(super) fn version(&self) -> &str {
        self.reservation.as_ref().map_or("", |reservation| reservation.version().as_str())
    }

    /// Logs where a stream goes on that the client resumes.
    pub(super) fn log_taken_up(&self) {
        let Some(after_event) = self.call.head.last_event_id else { return };
        if self.cx.may_log_failure() {
            log::info!(
                request = self.call.head.attempt_id.as_str(),
                resumes = self.call.head.resumes.as_deref().unwrap_or_default(),
                after_event = after_event,
                upstream = self.reservation.as_ref().map_or("", UpstreamReservation::upstream),
                version = self.version();
                "stream of an earlier attempt goes on"
            );
        }
    }

    /// Logs that the stream ends incomplete.
    pub(super) fn log_aborted(&self, reason: &str) {
        log::warn!(
            request = self.call.head.attempt_id.as_str(),
            reason = reason,
            last_event = self.order.passed_on().unwrap_or_default(),
            in_flight = self.request_guard.in_flight();
            "stream cut"
        );
    }
}
