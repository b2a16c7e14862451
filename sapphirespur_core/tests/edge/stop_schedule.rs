//! A graceful stop leaves time to serve and to answer what was taken, however short the grace period is.

use std::time::Duration;

use sapphirespur_core::edge::StopSchedule;
use sapphirespur_core::time::Time;

macro_rules! schedules {
    ($($name:ident: $grace_ms:expr => $refuse_ms:expr, $answer_ms:expr, $exit_ms:expr;)*) => {$(
        // LOST: all of a short grace period is spent taking requests, and they are cut at its end.
        #[test]
        fn $name() {
            let now = Time::from_micros(1_000);
            let schedule = StopSchedule::new(now, Duration::from_millis($grace_ms));
            let after = |at: Time| at.since(now).as_millis();
            assert_eq!(
                (after(schedule.refuse_at), after(schedule.answer_by), after(schedule.exit_at)),
                ($refuse_ms, $answer_ms, $exit_ms)
            );
        }
    )*};
}

schedules! {
    usual_grace_period: 8_000 => 2_500, 7_250, 7_500;
    short_grace_period: 2_000 => 625, 1_250, 1_500;
    very_short_grace_period: 200 => 56, 112, 150;
    no_grace_period: 0 => 0, 0, 0;
}

properties! {
    fn times_follow_one_another_within_the_grace_period(grace_ms: u16) -> bool {
        let now = Time::from_micros(5);
        let schedule = StopSchedule::new(now, Duration::from_millis(u64::from(grace_ms)));
        let end = now + Duration::from_millis(u64::from(grace_ms));
        let taking = schedule.refuse_at.since(now);
        let serving = schedule.answer_by.since(schedule.refuse_at);
        now <= schedule.refuse_at
            && taking <= serving
            && schedule.answer_by <= schedule.exit_at
            && schedule.exit_at <= end
    }
}
