//! Upstream as one router sees it.

use std::time::Duration;

use crate::edge::{
    InFlightRequest, Load, PrefixCache, SendOutcome, UpstreamEntry, UpstreamLoad, UpstreamState,
    WindowLimiter,
};
use crate::hash::stable_hash;
use crate::name::Name;
use crate::time::Time;

/// Window of the bound on requests to a cold upstream, with room for requests that arrive late.
const COLD_WINDOW: Duration = Duration::from_millis(1_150);

/// Time for which an upstream with failed connections is treated as cold: until its entry must
/// tell of a restart.
const UNHEALTHY_DURATION: Duration = Duration::from_secs(5);

/// Whether an upstream may get work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Takes work.
    Warm,
    /// Takes a few requests a second.
    Cold,
    /// Takes none: it drains, left, or its data centre is out.
    Closed,
}

impl Condition {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Closed => "closed",
        }
    }
}

/// Upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Entry by which it makes itself known.
    pub entry: UpstreamEntry,
    /// Hash of its name, as in reports.
    pub key: u32,
    /// Work and speed.
    pub load: Load,
    /// Prompt parts that it is expected to keep.
    pub cache: PrefixCache,
    /// Requests sent lately.
    pub send_limiter: WindowLimiter,
    /// When it counts as warm.
    pub cold_until: Time,
    /// Until when it is treated as cold since its connections failed.
    pub unhealthy_until: Time,
    /// When it is taken for gone, if its entry is missing.
    pub gone_at: Option<Time>,
}

impl Upstream {
    /// Creates an upstream from its entry.
    pub fn new(entry: UpstreamEntry, load: Load, cold_until: Time) -> Self {
        Self {
            key: Self::hash_id(&entry.id),
            entry,
            load,
            cache: PrefixCache::default(),
            send_limiter: WindowLimiter::new(COLD_WINDOW),
            cold_until,
            unhealthy_until: Time::default(),
            gone_at: None,
        }
    }

    /// Takes the upstream for gone at `at`, or sooner if that is known already.
    pub fn set_gone_at(&mut self, at: Time) {
        self.gone_at = Some(self.gone_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Treats the upstream as cold for a while.
    pub fn mark_unhealthy(&mut self, now: Time) {
        self.unhealthy_until = now + UNHEALTHY_DURATION;
    }

    /// Notes the end of a request.
    pub fn on_end(&mut self, now: Time, request: &InFlightRequest, outcome: SendOutcome) {
        let pending = if request.first_event_at.is_some() { 0 } else { request.prefill_tokens };
        let started_at = request.first_event_at.unwrap_or(request.placed_at);
        let service_time = (outcome == SendOutcome::Answered).then(|| now.since(started_at));
        self.load.on_end(pending, service_time);
        match outcome {
            SendOutcome::Answered => self.load.record_outcome(false),
            SendOutcome::Failed | SendOutcome::Rejected | SendOutcome::NoResponse => {
                self.load.record_outcome(true);
            }
            SendOutcome::Broken => {
                self.load.record_outcome(true);
                self.mark_unhealthy(now);
            }
            SendOutcome::Misdirected => self.gone_at = Some(now),
            SendOutcome::Abandoned => {}
        }
    }

    /// Returns what other routers are told, if there is anything to tell.
    pub fn report(&mut self) -> Option<UpstreamLoad> {
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
        })
    }

    /// Returns the key of an upstream in reports.
    pub fn hash_id(id: &Name) -> u32 {
        stable_hash(&[id.as_str().as_bytes()]) as u32
    }

    /// Returns whether it may get work.
    pub fn condition(&self, now: Time) -> Condition {
        if self.entry.state == UpstreamState::Draining || self.gone_at.is_some_and(|at| at <= now) {
            return Condition::Closed;
        }
        if self.cold_until > now || self.unhealthy_until > now {
            return Condition::Cold;
        }
        Condition::Warm
    }

    /// Tells whether `entry` is of the same start of the same upstream.
    pub fn is_same_instance(&self, entry: &UpstreamEntry) -> bool {
        self.entry.id == entry.id
            && self.entry.started_ms == entry.started_ms
            && self.entry.address == entry.address
    }
}
