//! Times of a graceful stop.

use std::time::Duration;

use crate::time::Time;

/// Times of a graceful stop: until when requests are taken, and when those that are left are ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// From then on, requests are refused.
    pub refuse_at: Time,
    /// By then, each request has its final answer.
    pub answer_by: Time,
    /// Time at which the process exits at the latest.
    pub exit_at: Time,
}

impl StopSchedule {
    /// Time after a stop signal in which the load balancer still opens connections: it checks readiness
    /// once a second and acts on two consecutive responses.
    const BALANCER_DETECTION_DELAY: Duration = Duration::from_millis(2_500);

    /// Time by which the process exits before the end of its grace period, when it would be killed.
    const EXIT_MARGIN: Duration = Duration::from_millis(500);

    /// Time before the exit in which the last answers are written.
    const ANSWER_MARGIN: Duration = Duration::from_millis(250);

    /// Largest fraction of the time that is left which each margin takes, and of the time until the last
    /// answers in which requests are taken: a short grace period is not spent on taking requests alone.
    const MARGIN_FRACTION: u32 = 4;
    const TAKING_FRACTION: u32 = 2;

    /// Creates the schedule of a stop that begins now.
    pub fn new(now: Time, grace: Duration) -> Self {
        let exit_after = grace - Self::EXIT_MARGIN.min(grace / Self::MARGIN_FRACTION);
        let answer_after = exit_after - Self::ANSWER_MARGIN.min(exit_after / Self::MARGIN_FRACTION);
        let refuse_after = Self::BALANCER_DETECTION_DELAY.min(answer_after / Self::TAKING_FRACTION);
        Self {
            refuse_at: now + refuse_after,
            answer_by: now + answer_after,
            exit_at: now + exit_after,
        }
    }
}
