//! What a router knows of the load of one upstream from the upstream's figures.

use std::collections::VecDeque;
use std::time::Duration;

use crate::edge::load::PaceStep;
use crate::edge::{FleetNews, LoadReport, LoadUse, ServiceLoad, ToldLoad};
use crate::time::Time;

/// Figures of one response.
#[derive(Clone, Copy, Debug)]
struct Figures {
    told: ToldLoad,
    told_at: Time,
    /// Whether this router received the response.
    is_own: bool,
}

/// Newest figures of one upstream, told to this router or another, and what was sent since.
#[derive(Clone, Debug, Default)]
pub struct KnownLoad {
    /// When this router learned of the process instance: older figures are of an earlier one.
    known_since: Time,
    figures: Option<Figures>,
    /// When the upstream last told a pace that is not as usual; none if it never did.
    unusual_at: Option<Time>,
    /// When this router sent its latest requests, oldest first.
    sent: VecDeque<Time>,
    /// Requests that the upstream lets wait: as many as waited at its latest refusal, or the most
    /// that it was seen to have.
    queue: u32,
    /// Whether the queue's length is known from a refusal.
    is_queue_known: bool,
    full_until: Time,
}

impl KnownLoad {
    /// Age from which on figures are not used.
    const MAX_AGE: Duration = Duration::from_secs(3);

    /// Time constant with which the numbers of requests lose weight.
    const COUNT_TIME: Duration = Duration::from_millis(500);

    /// Time for which an upstream counts as full after it was.
    const FULL_TIME: Duration = Duration::from_millis(100);

    /// Time after an unusual pace for which the other routers are told the pace.
    const PACE_NEWS_TIME: Duration = Duration::from_secs(2);

    /// Sent requests that are remembered, and for how long.
    const MAX_SENT: usize = 64;
    const SENT_TIME: Duration = Duration::from_secs(1);

    /// Creates the state of a process instance that is known since `now`.
    pub(in crate::edge) fn new(now: Time) -> Self {
        Self { known_since: now, ..Self::default() }
    }

    /// Returns the newest figures and their age; none without recent ones.
    pub fn told(&self, now: Time) -> Option<(ToldLoad, Duration)> {
        let figures = self.figures?;
        let age = now.since(figures.told_at);
        (age < Self::MAX_AGE).then_some((figures.told, age))
    }

    /// Returns whether another router's response brought the newest figures.
    pub fn is_from_other(&self) -> bool {
        self.figures.is_some_and(|figures| !figures.is_own)
    }

    /// Returns whether the pace is not as usual, or was not a short time ago: routers that know the
    /// unusual pace have to learn that it has ended.
    pub(super) fn is_pace_news(&self, now: Time) -> bool {
        self.unusual_at.is_some_and(|at| now.since(at) < Self::PACE_NEWS_TIME)
    }

    /// Returns the expected time of work as a multiple of the usual time: the pace that was told
    /// last, which decays to the usual one.
    pub fn pace(&self, now: Time, service: &ServiceLoad) -> f64 {
        let Some((told, age)) = self.told(now) else { return 1.0 };
        1.0 + told.slowdown() * decay(age, service.pace_time.decay())
    }

    /// Returns the estimates that a placement is based on; none without recent figures.
    pub fn estimate(&self, now: Time, service: &ServiceLoad) -> Option<LoadUse> {
        let (told, age) = self.told(now)?;
        let occupied = f64::from(told.occupied() + self.sent_since());
        Some(LoadUse { occupied, slots: told.slots, pace: self.pace(now, service), age })
    }

    /// Returns the weight of the numbers of requests, which falls with their age; zero without recent
    /// figures.
    pub fn confidence(&self, now: Time) -> f64 {
        self.told(now).map_or(0.0, |(_, age)| decay(age, Self::COUNT_TIME))
    }

    /// Returns the requests that the upstream is known to take, running and waiting; none without
    /// recent figures.
    pub fn places(&self, now: Time) -> Option<u32> {
        self.told(now).map(|(told, _)| told.slots + self.queue)
    }

    /// Returns whether the upstream is full: it refused a request a short time ago, or its slots and
    /// queue were taken then.
    pub fn is_full(&self, now: Time) -> bool {
        if now < self.full_until {
            return true;
        }
        let is_taken = |told: ToldLoad| {
            told.running >= told.slots && told.waiting + self.sent_since() >= self.queue
        };
        let recent = self.told(now).filter(|(_, age)| *age < Self::FULL_TIME);
        self.is_queue_known && recent.is_some_and(|(told, _)| is_taken(told))
    }

    /// Returns the time until half of the queue of a full upstream is expected to be free, and one
    /// place at least.
    pub fn drain_time(&self, now: Time, service: &ServiceLoad) -> Duration {
        let slots = self.told(now).map_or(1, |(told, _)| told.slots);
        let places = f64::from((self.queue / 2).max(1));
        let millis = service.work_ms * self.pace(now, service) * places / f64::from(slots);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Records a request of this router, unless the upstream has told nothing.
    pub(in crate::edge) fn on_sent(&mut self, now: Time) {
        if self.figures.is_none() {
            return;
        }
        while self.sent.front().is_some_and(|at| now.since(*at) > Self::SENT_TIME)
            || self.sent.len() >= Self::MAX_SENT
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Records figures that a response told this router.
    pub(in crate::edge) fn on_told(&mut self, now: Time, told: ToldLoad) -> Option<PaceStep> {
        self.replace(Figures { told, told_at: now, is_own: true })
    }

    /// Takes over another router's figures, if they are newer and of the same process instance.
    pub(in crate::edge) fn merge(&mut self, now: Time, report: &LoadReport) -> Option<PaceStep> {
        let told = report.told()?;
        let told_at = now - Duration::from_millis(u64::from(report.age_ms));
        let known_at = self.figures.map_or(self.known_since, |figures| figures.told_at);
        // The same figures come by several ways, each time with another delay.
        let is_newer = told_at > known_at + FleetNews::SAME_MOMENT;
        is_newer.then(|| self.replace(Figures { told, told_at, is_own: false })).flatten()
    }

    /// Records that the upstream refused a request. Returns whether it did so because it was full.
    pub(in crate::edge) fn on_refused(&mut self, now: Time) -> bool {
        let Some((told, _)) = self.told(now) else { return false };
        if told.running < told.slots {
            return false;
        }
        if !self.is_from_other() {
            self.queue = told.waiting;
            self.is_queue_known = true;
        }
        self.full_until = now + Self::FULL_TIME;
        true
    }

    fn replace(&mut self, figures: Figures) -> Option<PaceStep> {
        let before = self.figures.replace(figures);
        if !figures.told.is_pace_usual() {
            self.unusual_at = Some(figures.told_at);
        }
        self.sent.retain(|at| *at > figures.told_at);
        if figures.told.waiting > self.queue {
            self.queue = figures.told.waiting;
        }
        let before = before?;
        let elapsed = figures.told_at.since(before.told_at);
        let (before, after) = (before.told.slowdown(), figures.told.slowdown());
        Some(PaceStep { before, after, elapsed })
    }

    /// Returns the requests of this router that the newest figures don't contain.
    fn sent_since(&self) -> u32 {
        self.sent.len() as u32
    }
}

/// Returns the weight that is left after `age`.
fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
