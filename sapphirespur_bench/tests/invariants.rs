//! Checks of the invariants, with histories that keep or violate them.

use std::time::Duration;

use sapphirespur_bench::fleet::START;
use sapphirespur_bench::history::{FinalAnswer, History, HistoryEvent};
use sapphirespur_bench::invariants::{
    CLOSE_PROPAGATION_LIMIT, CONFIG_PROPAGATION_LIMIT, Violation, all_answered, at_most_once,
    config_in_force_within, config_never_reverts, correct_answers, fairness_gap, no_false_not_run,
    no_interrupted_answers, no_starvation, no_work_after_close, within_capacity,
};
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Refusal, RefusalCode};

fn name(text: &str) -> Name {
    Name::new(text)
}

fn submitted(request: u64, key: Option<&str>) -> HistoryEvent {
    HistoryEvent::Submitted {
        request,
        workspace: name("w"),
        key: key.map(str::to_owned),
        is_idempotent: key.is_none(),
    }
}

fn ran(request: u64) -> HistoryEvent {
    HistoryEvent::RunStarted { request, upstream: name("u"), concurrency: 1, capacity: 2 }
}

fn answered(request: u64, answer: FinalAnswer) -> HistoryEvent {
    HistoryEvent::Answered { request, answer }
}

fn complete(request: u64, answered_request: u64) -> HistoryEvent {
    answered(request, FinalAnswer::Complete { answered_request })
}

fn not_run() -> FinalAnswer {
    FinalAnswer::Refused(Refusal::retryable(RefusalCode::NoUpstream, Duration::from_secs(1)))
}

fn in_force(revision: u64) -> HistoryEvent {
    HistoryEvent::ConfigInForce { node: name("n"), revision }
}

/// Returns a history with one event per second, the first one at [`START`].
fn history(entries: Vec<HistoryEvent>) -> History {
    let mut history = History::default();
    for (second, event) in entries.into_iter().enumerate() {
        history.push(START + Duration::from_secs(second as u64), event);
    }

    history
}

macro_rules! cases {
    ($($case:ident: $check:expr, [$($event:expr),* $(,)?] => $expected:expr;)*) => {
        $(
            #[test]
            fn $case() {
                let history = history(vec![$($event),*]);
                let violations: Vec<Violation> = $check(&history);
                let expected: Vec<Violation> = $expected;
                assert_eq!(violations, expected);
            }
        )*
    };
}

cases! {
    own_answer_is_accepted: correct_answers, [submitted(1, None), complete(1, 1)] => vec![];
    answer_to_another_request_is_reported: correct_answers,
        [submitted(1, None), submitted(2, None), complete(1, 2)]
        => vec![Violation::WrongAnswer { request: 1, answered_request: 2 }];
    answer_to_a_request_with_the_same_key_is_accepted: correct_answers,
        [submitted(1, Some("k")), submitted(2, Some("k")), complete(2, 1)] => vec![];
    duplicate_answer_is_reported: correct_answers,
        [submitted(1, None), complete(1, 1), complete(1, 1)]
        => vec![Violation::DuplicateAnswer(1)];
    refusal_of_a_request_that_did_not_run_is_accepted: no_false_not_run,
        [submitted(1, None), answered(1, not_run())] => vec![];
    refusal_as_not_run_after_the_run_is_reported: no_false_not_run,
        [submitted(1, None), ran(1), answered(1, not_run())]
        => vec![Violation::FalseNotRun(1)];
    refusal_as_not_run_before_the_run_is_reported: no_false_not_run,
        [submitted(1, None), answered(1, not_run()), ran(1)] => vec![Violation::FalseNotRun(1)];
    single_run_of_a_key_is_accepted: at_most_once, [submitted(1, Some("k")), ran(1)] => vec![];
    repeated_run_of_a_key_is_reported: at_most_once,
        [submitted(1, Some("k")), ran(1), submitted(2, Some("k")), ran(2)]
        => vec![Violation::RepeatedRun("k".to_owned())];
    repeated_run_of_an_idempotent_call_is_accepted: at_most_once,
        [submitted(1, None), ran(1), ran(1)] => vec![];
    work_within_capacity_is_accepted: within_capacity, [ran(1)] => vec![];
    work_beyond_capacity_is_reported: within_capacity,
        [HistoryEvent::RunStarted { request: 1, upstream: name("u"), concurrency: 3, capacity: 2 }]
        => vec![Violation::CapacityExceeded { upstream: name("u"), concurrency: 3, capacity: 2 }];
    work_within_the_limit_after_close_is_accepted: no_work_after_close,
        [HistoryEvent::Closed { upstream: name("u") }, ran(1), ran(2)] => vec![];
    work_beyond_the_limit_after_close_is_reported: no_work_after_close,
        [HistoryEvent::Closed { upstream: name("u") }, ran(1), ran(2), ran(3), ran(4)]
        => vec![Violation::WorkAfterClose {
            upstream: name("u"),
            after: CLOSE_PROPAGATION_LIMIT + Duration::from_secs(1),
        }];
    work_after_reopening_is_accepted: no_work_after_close,
        [
            HistoryEvent::Closed { upstream: name("u") }, in_force(1), in_force(2),
            HistoryEvent::Opened { upstream: name("u") }, in_force(3), ran(1),
        ] => vec![];
    increasing_revisions_are_accepted: config_never_reverts, [in_force(1), in_force(2)] => vec![];
    older_revision_after_a_restart_is_reported: config_never_reverts,
        [in_force(2), HistoryEvent::NodeStateLost { node: name("n") }, in_force(1)]
        => vec![Violation::ConfigReverted { node: name("n"), from: 2, to: 1 }];
    revision_in_force_in_time_is_accepted:
        |h: &History| config_in_force_within(h, &[name("n")], CONFIG_PROPAGATION_LIMIT),
        [HistoryEvent::ConfigAccepted { revision: 1 }, in_force(2)] => vec![];
    revision_never_in_force_is_reported:
        |h: &History| config_in_force_within(h, &[name("n")], CONFIG_PROPAGATION_LIMIT),
        [HistoryEvent::ConfigAccepted { revision: 2 }, in_force(1)]
        => vec![Violation::ConfigNotInForce { node: name("n"), revision: 2 }];
    revision_in_force_too_late_is_reported:
        |h: &History| config_in_force_within(h, &[name("n")], Duration::ZERO),
        [HistoryEvent::ConfigAccepted { revision: 1 }, in_force(1)]
        => vec![Violation::ConfigNotInForce { node: name("n"), revision: 1 }];
    complete_answers_and_refusals_as_not_run_are_accepted: no_interrupted_answers,
        [complete(1, 1), answered(2, not_run())]
        => vec![];
    interrupted_answer_is_reported: no_interrupted_answers, [answered(1, FinalAnswer::Interrupted)]
        => vec![Violation::InterruptedByShutdown(1)];
    unknown_outcome_is_reported: no_interrupted_answers,
        [answered(1, FinalAnswer::Refused(Refusal::outcome_unknown(RefusalCode::AnswerLost)))]
        => vec![Violation::InterruptedByShutdown(1)];
    missing_answer_is_reported: |h: &History| all_answered(h, START + Duration::from_secs(9)),
        [submitted(1, None), submitted(2, None), complete(1, 1)]
        => vec![Violation::MissingAnswer(2)];
}

fn served(tokens: u32, workspace: &str) -> HistoryEvent {
    HistoryEvent::Served { request: 1, workspace: name(workspace), tokens }
}

#[test]
fn starvation_is_reported() {
    let history = history(vec![served(1, "a"), served(1, "b"), served(1, "a"), served(1, "a")]);
    let (from, to) = (START, START + Duration::from_secs(3));
    let check = |workspace, window| {
        no_starvation(&history, &[name(workspace)], from, to, Duration::from_secs(window))
    };

    assert_eq!(check("a", 2), vec![]);
    assert_eq!(
        check("b", 1),
        vec![Violation::Starved { workspace: name("b"), since: START + Duration::from_secs(1) }]
    );
}

#[test]
fn fairness_gap_divides_service_by_share() {
    let history = history(vec![served(10, "a"), served(8, "b"), served(8, "b"), served(8, "b")]);
    let shares = [(name("a"), 1), (name("b"), 2)];
    let gap = fairness_gap(&history, &shares, START, START + Duration::from_secs(9));

    // After each event, the service per share of `a` exceeds that of `b` by 10, 6, 2 and -2.
    assert_eq!(gap.since_start, 10.0);
    assert_eq!(gap.any_interval, 12.0);
}
