//! Upstream as observed by one router.

use std::time::Duration;

use crate::edge::{
    BatchMean, InFlightRequest, KnownLoad, LimitReport, Load, NamedLimit, PrefixCache,
    RemainingWork, SendOutcome, UpstreamEntry, UpstreamLoad, UpstreamState, WindowLimiter,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Window of the limit on requests to a cold upstream: one second, plus slack for requests that are
/// delayed in transit.
const COLD_WINDOW: Duration = Duration::from_millis(1_150);

/// Time for which an upstream is treated as cold after a connection failure; if it has restarted,
/// its registry entry says so by then.
const UNHEALTHY_DURATION: Duration = Duration::from_secs(5);

/// Whether an upstream may receive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Accepts requests at the full rate.
    Warm,
    /// Accepts a few requests per second.
    Cold,
    /// Has asked this router for a pause.
    Paused,
    /// Accepts no requests: it drains, is gone, or its data centre is out.
    Closed,
}

impl Condition {
    /// Returns whether an upstream in this condition accepts requests.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }

    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Paused => "paused",
            Self::Closed => "closed",
        }
    }
}

/// Upstream with its load and health at this router.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Registry entry that the upstream has published.
    pub entry: UpstreamEntry,
    /// Hash of the upstream's name, which identifies it in reports.
    pub key: u32,
    /// Work of this router at the upstream, and its speed.
    pub load: Load,
    /// Remaining work of this router's requests.
    pub work: RemainingWork,
    /// Requests and times between events of recent ticks.
    pub(super) batch: BatchMean,
    /// Load that the upstream reports of itself.
    pub known: KnownLoad,
    /// Prompt segments that the upstream is expected to have cached.
    pub cache: PrefixCache,
    /// Recent requests of this router, counted while the upstream is cold.
    pub send_limiter: WindowLimiter,
    /// When the upstream becomes warm after its start, or after its data centre was put back into
    /// service.
    pub cold_until: Time,
    /// Until when the upstream is treated as cold after a connection failure.
    pub unhealthy_until: Time,
    /// Until when the upstream is treated as cold because this process was paused and may have
    /// missed its restart.
    pub unverified_until: Time,
    /// When the upstream counts as gone because its entry is missing or its address has another
    /// owner; none while it is present.
    pub gone_at: Option<Time>,
    /// Until when the upstream wants no requests from this router.
    pub paused_until: Time,
    /// Whether the instance has said in a response that it is leaving.
    pub is_leaving: bool,
    /// Limit that the instance has named; none without one.
    pub limit: Option<NamedLimit>,
    /// When a response, to whichever router, last told whether there is a limit.
    pub limit_told_at: Time,
    /// When the limit last changed.
    pub limit_changed_at: Time,
}

impl Upstream {
    /// Creates an upstream from its registry entry, which this router learned of at `now`.
    pub fn new(now: Time, entry: UpstreamEntry, load: Load, cold_until: Time) -> Self {
        Self {
            key: Self::hash_id(&entry.id),
            entry,
            load,
            work: RemainingWork::default(),
            batch: BatchMean::default(),
            known: KnownLoad::new(now),
            cache: PrefixCache::default(),
            send_limiter: WindowLimiter::new(COLD_WINDOW),
            cold_until,
            unhealthy_until: Time::default(),
            unverified_until: Time::default(),
            gone_at: None,
            paused_until: Time::default(),
            is_leaving: false,
            limit: None,
            limit_told_at: Time::default(),
            limit_changed_at: Time::default(),
        }
    }

    /// Sets the time at which the upstream counts as gone, unless an earlier one is set.
    pub fn set_gone_at(&mut self, at: Time) {
        self.gone_at = Some(self.gone_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Treats the upstream as cold for a while.
    pub fn mark_unhealthy(&mut self, now: Time) {
        self.unhealthy_until = now + UNHEALTHY_DURATION;
    }

    /// Treats the upstream as cold until the registry has been read again, but not for longer than
    /// after a connection failure.
    pub fn mark_unverified(&mut self, now: Time) {
        self.unverified_until = now + UNHEALTHY_DURATION;
    }

    /// Stops requests of this router for the time that the upstream asks for.
    pub fn pause(&mut self, now: Time, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Sets the limit in requests per second that a response at `told_at` has named, or that there is
    /// none. Returns whether this is a change.
    pub fn set_limit(&mut self, now: Time, told_at: Time, per_s: Option<f64>) -> bool {
        self.limit_told_at = told_at;
        // As exact as reports, so that a report of the same limit is no change.
        let per_s = per_s.map(|per_s| (per_s * 1_000.0).round() / 1_000.0);
        if per_s == self.limit.as_ref().map(|limit| limit.per_s) {
            return false;
        }

        self.limit_changed_at = now;
        match (&mut self.limit, per_s) {
            (Some(limit), Some(per_s)) => limit.per_s = per_s,
            (limit, per_s) => *limit = per_s.map(|per_s| NamedLimit::new(now, per_s)),
        }
        true
    }

    /// Returns what to tell the other routers of the limit.
    pub fn limit_report(&self, now: Time) -> LimitReport {
        LimitReport {
            upstream: self.key,
            per_s_milli: self.limit.as_ref().map(|limit| (limit.per_s * 1_000.0).round() as u32),
            age_ms: u32::try_from(now.since(self.limit_told_at).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Records the end of a request. A refusal of a full upstream of a plain service does not count as
    /// a failure.
    pub fn on_end(
        &mut self,
        now: Time,
        request: &InFlightRequest,
        outcome: SendOutcome,
        is_plain: bool,
    ) {
        let pending = if request.first_event_at.is_some() { 0 } else { request.prefill_tokens };
        let started_at = request.first_event_at.unwrap_or(request.placed_at);
        let service_time = (outcome == SendOutcome::Answered).then(|| now.since(started_at));
        self.load.on_end(pending, service_time);
        if let Some(work) = &request.work {
            self.work.on_end(work);
        }
        match outcome {
            SendOutcome::Answered => self.load.record_outcome(false),
            SendOutcome::Rejected if is_plain && self.known.on_refused(now) => {}
            SendOutcome::Failed | SendOutcome::Rejected | SendOutcome::NoResponse => {
                self.load.record_outcome(true);
            }
            SendOutcome::Broken | SendOutcome::Disconnected | SendOutcome::TooLarge => {
                self.load.record_outcome(true);
                self.mark_unhealthy(now);
            }
            SendOutcome::Misdirected => self.gone_at = Some(now),
            SendOutcome::Abandoned
            | SendOutcome::NoMemory
            | SendOutcome::Paused
            | SendOutcome::Withdrawn => {}
        }
    }

    /// Returns the load to report to the other routers, and resets the unshared tokens; none when
    /// there is nothing to report. The remaining work is part of it where routers use it.
    pub fn report(&mut self, uses_work_estimates: bool) -> Option<UpstreamLoad> {
        let work = if uses_work_estimates { self.work } else { RemainingWork::default() };
        let load = &mut self.load;
        if load.in_flight == 0 && load.unshared_tokens == 0 {
            return None;
        }

        Some(UpstreamLoad {
            upstream: self.key,
            in_flight: load.in_flight,
            pending_tokens: load.pending_tokens,
            event_ms: load.event_interval_ms as u32,
            unshared_tokens: std::mem::take(&mut load.unshared_tokens),
            decode_tokens: work.decode_tokens() as u64,
            memory_tokens: work.memory_tokens() as u64,
        })
    }

    /// Returns the hash that identifies an upstream in reports.
    pub fn hash_id(id: &Name) -> u32 {
        stable_hash(&[id.as_str().as_bytes()]) as u32
    }

    /// Returns whether the upstream may receive requests.
    pub fn condition(&self, now: Time) -> Condition {
        let is_draining = self.is_leaving || self.entry.state == UpstreamState::Draining;
        if is_draining || self.gone_at.is_some_and(|at| at <= now) {
            return Condition::Closed;
        }
        if self.paused_until > now {
            return Condition::Paused;
        }
        let cold_until = self.cold_until.max(self.unhealthy_until).max(self.unverified_until);
        if cold_until > now {
            return Condition::Cold;
        }
        Condition::Warm
    }
}
