//! Guards for the resources that a request holds, released when dropped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirespur_core::edge::{InFlightRequest, Placement, RequestWork, SendOutcome};
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use super::buffer_guard::BufferGuard;
use super::buffers::BufferKind;
use super::connect::probe;
use super::dialect::ResponseHead;
use super::lazy_identity::LazyIdentity;
use super::send::Call;
use super::shared::Shared;

/// Shortest time without an event after which an unresponsive upstream is abandoned, where the
/// stream may be resumed at another one.
pub(super) const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Range of the time without a complete event after which another upstream is asked to resume a
/// stream, even if its upstream still serves other requests.
const EVENT_GAP_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_800), Duration::from_millis(4_000));

/// Multiple of the upstream's usual interval between events that counts as a gap.
const EVENT_GAP_FACTOR: f64 = 6.0;

/// Time within which an upstream that is not lost accepts a connection.
const LOSS_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Reservation at an upstream for one send; ends as abandoned when dropped before it is finished.
pub(super) struct UpstreamReservation {
    cx: Rc<Shared>,
    request: InFlightRequest,
    identity: Rc<LazyIdentity>,
    address: SocketAddr,
    is_finished: bool,
}

impl UpstreamReservation {
    /// Wraps the reservation that admission made.
    pub fn new(cx: &Rc<Shared>, call: &Call, placement: &Placement) -> Self {
        Self {
            cx: Rc::clone(cx),
            request: placement.request.clone(),
            identity: Rc::clone(&call.identity),
            address: placement.address,
            is_finished: false,
        }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &str {
        self.request.upstream.as_str()
    }

    /// Returns the version of the upstream's software.
    pub fn version(&self) -> &Name {
        &self.request.version
    }

    /// Returns the predicted output tokens of the request; zero for a plain call.
    pub fn predicted_tokens(&self) -> u64 {
        self.request.work.as_ref().map_or(0, |work| work.predicted_tokens() as u64)
    }

    /// Returns the output tokens that have arrived; zero for a plain call.
    pub fn output_tokens(&self) -> u64 {
        self.request.work.as_ref().map_or(0, |work| work.tokens(self.request.events) as u64)
    }

    /// Returns the predicted time to the first event, in milliseconds; zero for a plain call.
    pub fn predicted_ms(&self) -> u64 {
        let predicted = |work: &RequestWork| work.first_event.as_millis() as u64;
        self.request.work.as_ref().map_or(0, predicted)
    }

    /// Returns the reported load on which the placement was based, as the log shows it; empty when the
    /// upstream reported none.
    pub fn load(&self) -> String {
        self.request.load.map(|load| load.to_string()).unwrap_or_default()
    }

    /// Returns the number of complete events that the upstream has sent.
    pub fn events(&self) -> u32 {
        self.request.events
    }

    /// Records the head of a response, which arrives with its first event, whether it says where the
    /// response ends, and what it says of the upstream.
    pub fn on_head(&mut self, head: &ResponseHead, is_framed: bool) {
        let now = self.cx.now();
        self.request.is_framed = is_framed;
        if head.is_load_malformed {
            self.cx.metrics.record_malformed_load();
        }
        let mut router = self.cx.router.borrow_mut();
        // The pace tells how the time to the first event compares with the usual one.
        if head.matches_attempt
            && !head.is_misdirected
            && let Some(load) = head.load
        {
            router.on_load(now, &self.request, load);
        }
        router.on_first_event(now, &mut self.request);
        // A different instance has responded; nothing is known of the one that was meant.
        if head.is_misdirected {
            return;
        }
        if head.is_leaving && router.on_leaving(&self.request) {
            log::info!(upstream = self.request.upstream.as_str(); "upstream leaves, as it responded");
        }
        // A response of another attempt may be late, and a refusal need not name the limit.
        let tells_limit = head.matches_attempt && (head.is_signed || head.limit_per_s.is_some());
        if tells_limit && router.on_limit(now, &self.request, head.limit_per_s) {
            log::info!(upstream = self.request.upstream.as_str(), limit_per_s = head.limit_per_s.unwrap_or_default(), is_limited = head.limit_per_s.is_some(); "upstream changed its limit");
        }
        if let Some(pause) = head.pause {
            router.on_pause_requested(now, &self.request, pause);
            if self.cx.may_log_failure() {
                log::info!(upstream = self.request.upstream.as_str(), pause_ms = pause.as_millis() as u64; "upstream asked for a pause");
            }
        }
    }

    /// Returns whether a response that ends now has been cut as it began, although its end looks
    /// regular.
    pub fn is_cut_unbegun(&self) -> bool {
        !self.request.is_framed && self.request.events == 0
    }

    /// Records that nothing was read of the response for `span`, since its client took nothing: the time
    /// says nothing of the upstream.
    pub fn on_client_wait(&mut self, span: Duration) {
        self.request.last_event_at = self.request.last_event_at + span;
    }

    /// Records `count` complete events of a stream.
    pub fn on_events(&mut self, count: u32) {
        let now = self.cx.now();
        self.cx.router.borrow_mut().on_events(now, &mut self.request, count);
    }

    /// Returns whether a stream without a complete event for `idle` has stalled: for much longer than
    /// is usual at the upstream, or the upstream has not responded to any request for
    /// [`MIN_IDLE_TIMEOUT`], or it has been removed.
    pub fn is_stalled(&self, idle: Duration) -> bool {
        let router = self.cx.router.borrow();
        let Some(upstream) = router.registry().upstreams().get(self.upstream()) else {
            return idle >= MIN_IDLE_TIMEOUT;
        };

        let usual = Duration::from_secs_f64(upstream.load.event_interval_ms.max(0.0) / 1_000.0);
        let (shortest, longest) = EVENT_GAP_RANGE;
        let is_silent = upstream.load.unresponsive_for(self.cx.now()) >= MIN_IDLE_TIMEOUT;
        idle >= usual.mul_f64(EVENT_GAP_FACTOR).clamp(shortest, longest)
            || is_silent && idle >= MIN_IDLE_TIMEOUT
    }

    /// Gives back a retry that was admitted and is not sent.
    pub fn withdraw(mut self) {
        self.is_finished = true;
        self.cx.router.borrow_mut().withdraw_retry(self.cx.now(), &self.request);
    }

    /// Leaves the end of the reservation to the send for which it was made.
    pub fn hand_over(mut self) {
        self.is_finished = true;
    }

    /// Ends the reservation with the outcome of the send.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.finish_once(outcome);
    }

    fn finish_once(&mut self, outcome: SendOutcome) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }

        let now = self.cx.now();
        self.cx.router.borrow_mut().finish(now, &self.request, outcome);
        let whole = self.request.work.as_ref().filter(|work| work.is_whole);
        if let Some(work) = whole.filter(|_| outcome == SendOutcome::Answered) {
            let ratio = work.error(self.request.events);
            self.cx.metrics.record_cost_error(self.request.route.as_str(), ratio);
        }
        if outcome == SendOutcome::Disconnected && self.request.has_just_begun() {
            let identity = Some(self.identity.get());
            let (cx, request) =
                (Rc::clone(&self.cx), InFlightRequest { identity, ..self.request.clone() });
            actix_rt::spawn(check_loss(cx, request, self.address, now));
        }
    }
}

impl Drop for UpstreamReservation {
    fn drop(&mut self) {
        self.finish_once(SendOutcome::Abandoned);
    }
}

/// Tells the router that the upstream of a request was lost at `lost_at`, if it accepts no connection:
/// an upstream that is up may have closed the one of the request for another reason.
async fn check_loss(cx: Rc<Shared>, request: InFlightRequest, address: SocketAddr, lost_at: Time) {
    if let Err(e) = probe(address, LOSS_CHECK_TIMEOUT).await {
        if cx.may_log_failure() {
            log::warn!(upstream = request.upstream.as_str(), identity = request.identity.map(|identity| identity.to_string()).unwrap_or_default().as_str(), error = e.to_string().as_str(); "upstream lost as it began to respond");
        }
        cx.router.borrow_mut().on_upstream_lost(lost_at, &request);
    }
}

/// Counts one request and its buffered body bytes while it is in the process.
pub(super) struct RequestGuard {
    cx: Rc<Shared>,
    buffer: BufferGuard,
    is_accepted: bool,
}

impl RequestGuard {
    /// Counts a new request as in flight until the guard is dropped.
    pub fn new(cx: &Rc<Shared>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);

        let buffer = BufferGuard::new(&cx.buffers, BufferKind::Request);
        Self { cx: Rc::clone(cx), buffer, is_accepted: false }
    }

    /// Records that the router has time for the request.
    pub fn accept(&mut self) {
        self.is_accepted = true;
    }

    /// Returns the number of requests that the process is serving.
    pub fn in_flight(&self) -> usize {
        self.cx.in_flight.get()
    }

    /// Counts `bytes` that the body of the request holds in all, if that is allowed; returns `false` without
    /// counting them otherwise.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        self.buffer.try_resize(bytes)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_accepted {
            self.cx.overload.borrow_mut().on_finished();
        }
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
    }
}
