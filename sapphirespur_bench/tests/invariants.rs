//! The checks find histories that break each rule, and pass the ones that don't.

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

fn sent(request: u64, key: Option<&str>) -> HistoryEvent {
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

fn ended(request: u64, answer: FinalAnswer) -> HistoryEvent {
    HistoryEvent::Answered { request, answer }
}

fn whole(request: u64, answered_request: u64) -> HistoryEvent {
    ended(request, FinalAnswer::Complete { answered_request })
}

fn not_run() -> FinalAnswer {
    FinalAnswer::Refused(Refusal::retryable(RefusalCode::NoUpstream, Duration::from_secs(1)))
}

fn in_force(revision: u64) -> HistoryEvent {
    HistoryEvent::ConfigInForce { node: name("n"), revision }
}

/// Returns a history with one entry a second.
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
                let found: Vec<Violation> = $check(&history);
                let expected: Vec<Violation> = $expected;
                assert_eq!(found, expected);
            }
        )*
    };
}

cases! {
    own_answer_passes: correct_answers, [sent(1, None), whole(1, 1)] => vec![];
    foreign_answer_is_found: correct_answers, [sent(1, None), sent(2, None), whole(1, 2)]
        => vec![Violation::WrongAnswer { request: 1, answered_request: 2 }];
    answer_of_the_same_key_passes: correct_answers,
        [sent(1, Some("k")), sent(2, Some("k")), whole(2, 1)] => vec![];
    two_answers_are_found: correct_answers, [sent(1, None), whole(1, 1), whole(1, 1)]
        => vec![Violation::DuplicateAnswer(1)];
    true_refusal_passes: no_false_not_run, [sent(1, None), ended(1, not_run())] => vec![];
    false_refusal_is_found: no_false_not_run, [sent(1, None), ran(1), ended(1, not_run())]
        => vec![Violation::FalseNotRun(1)];
    refusal_before_the_run_is_found: no_false_not_run,
        [sent(1, None), ended(1, not_run()), ran(1)] => vec![Violation::FalseNotRun(1)];
    one_run_passes: at_most_once, [sent(1, Some("k")), ran(1)] => vec![];
    two_runs_of_a_key_are_found: at_most_once,
        [sent(1, Some("k")), ran(1), sent(2, Some("k")), ran(2)]
        => vec![Violation::RepeatedRun("k".to_owned())];
    two_runs_of_a_lookup_pass: at_most_once, [sent(1, None), ran(1), ran(1)] => vec![];
    bearable_work_passes: within_capacity, [ran(1)] => vec![];
    too_much_work_is_found: within_capacity,
        [HistoryEvent::RunStarted { request: 1, upstream: name("u"), concurrency: 3, capacity: 2 }]
        => vec![Violation::CapacityExceeded { upstream: name("u"), concurrency: 3, capacity: 2 }];
    work_soon_after_close_passes: no_work_after_close,
        [HistoryEvent::Closed { upstream: name("u") }, ran(1), ran(2)] => vec![];
    work_long_after_close_is_found: no_work_after_close,
        [HistoryEvent::Closed { upstream: name("u") }, ran(1), ran(2), ran(3), ran(4)]
        => vec![Violation::WorkAfterClose {
            upstream: name("u"),
            after: CLOSE_PROPAGATION_LIMIT + Duration::from_secs(1),
        }];
    work_after_reopening_passes: no_work_after_close,
        [
            HistoryEvent::Closed { upstream: name("u") }, in_force(1), in_force(2),
            HistoryEvent::Opened { upstream: name("u") }, in_force(3), ran(1),
        ] => vec![];
    rising_revisions_pass: config_never_reverts, [in_force(1), in_force(2)] => vec![];
    falling_revision_is_found: config_never_reverts,
        [in_force(2), HistoryEvent::NodeRestarted { node: name("n") }, in_force(1)]
        => vec![Violation::ConfigReverted { node: name("n"), from: 2, to: 1 }];
    prompt_revision_passes: |h: &History| config_in_force_within(h, &[name("n")], CONFIG_PROPAGATION_LIMIT),
        [HistoryEvent::ConfigAccepted { revision: 1 }, in_force(2)] => vec![];
    missing_revision_is_found: |h: &History| config_in_force_within(h, &[name("n")], CONFIG_PROPAGATION_LIMIT),
        [HistoryEvent::ConfigAccepted { revision: 2 }, in_force(1)]
        => vec![Violation::ConfigNotInForce { node: name("n"), revision: 2 }];
    late_revision_is_found: |h: &History| config_in_force_within(h, &[name("n")], Duration::ZERO),
        [HistoryEvent::ConfigAccepted { revision: 1 }, in_force(1)]
        => vec![Violation::ConfigNotInForce { node: name("n"), revision: 1 }];
    whole_answers_and_true_refusals_pass: no_interrupted_answers, [whole(1, 1), ended(2, not_run())]
        => vec![];
    cut_answer_is_found: no_interrupted_answers, [ended(1, FinalAnswer::Interrupted)]
        => vec![Violation::InterruptedByShutdown(1)];
    unknown_outcome_is_found: no_interrupted_answers,
        [ended(1, FinalAnswer::Refused(Refusal::outcome_unknown(RefusalCode::AnswerLost)))]
        => vec![Violation::InterruptedByShutdown(1)];
    missing_answer_is_found: |h: &History| all_answered(h, START + Duration::from_secs(9)),
        [sent(1, None), sent(2, None), whole(1, 1)] => vec![Violation::MissingAnswer(2)];
}

fn served(tokens: u32, workspace: &str) -> HistoryEvent {
    HistoryEvent::Served { request: 1, workspace: name(workspace), tokens }
}

#[test]
fn starvation_is_found() {
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
fn gap_counts_service_by_share_in_any_interval() {
    let history = history(vec![served(10, "a"), served(8, "b"), served(8, "b"), served(8, "b")]);
    let shares = [(name("a"), 1), (name("b"), 2)];
    let gap = fairness_gap(&history, &shares, START, START + Duration::from_secs(9));

    // After the entries, a is ahead by 10, 6, 2 and -2.
    assert_eq!(gap.since_start, 10.0);
    assert_eq!(gap.any_interval, 12.0);
}
