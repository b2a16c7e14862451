//! The checks find histories that break each rule, and pass the ones that don't.

use std::time::Duration;

use sapphirespur_bench::check::{
    CLOSED_BOUND, IN_FORCE_BOUND, Violation, all_answered, at_most_once, bearable, fairness_gap,
    in_force_within, never_reverts, no_work_after_close, none_starves, nothing_cut, own_answers,
    true_not_run,
};
use sapphirespur_bench::fleet::START;
use sapphirespur_bench::history::{Final, History, Seen};
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Refusal, RefusalCode};

fn name(text: &str) -> Name {
    Name::new(text)
}

fn sent(request: u64, key: Option<&str>) -> Seen {
    Seen::Submitted {
        request,
        workspace: name("w"),
        key: key.map(str::to_owned),
        may_repeat: key.is_none(),
    }
}

fn ran(request: u64) -> Seen {
    Seen::Ran { request, upstream: name("u"), at_once: 1, bears: 2 }
}

fn ended(request: u64, answer: Final) -> Seen {
    Seen::Ended { request, answer }
}

fn whole(request: u64, answers: u64) -> Seen {
    ended(request, Final::Whole { answers })
}

fn not_run() -> Final {
    Final::Refused(Refusal::retryable(RefusalCode::NoUpstream, Duration::from_secs(1)))
}

fn in_force(revision: u64) -> Seen {
    Seen::InForce { node: name("n"), revision }
}

/// Returns a history with one entry a second.
fn history(entries: Vec<Seen>) -> History {
    let mut history = History::default();
    for (second, seen) in entries.into_iter().enumerate() {
        history.push(START + Duration::from_secs(second as u64), seen);
    }

    history
}

macro_rules! cases {
    ($($case:ident: $check:expr, [$($seen:expr),* $(,)?] => $expected:expr;)*) => {
        $(
            #[test]
            fn $case() {
                let history = history(vec![$($seen),*]);
                let found: Vec<Violation> = $check(&history);
                let expected: Vec<Violation> = $expected;
                assert_eq!(found, expected);
            }
        )*
    };
}

cases! {
    own_answer_passes: own_answers, [sent(1, None), whole(1, 1)] => vec![];
    foreign_answer_is_found: own_answers, [sent(1, None), sent(2, None), whole(1, 2)]
        => vec![Violation::ForeignAnswer { request: 1, answers: 2 }];
    answer_of_the_same_key_passes: own_answers,
        [sent(1, Some("k")), sent(2, Some("k")), whole(2, 1)] => vec![];
    two_answers_are_found: own_answers, [sent(1, None), whole(1, 1), whole(1, 1)]
        => vec![Violation::TwoAnswers(1)];
    true_refusal_passes: true_not_run, [sent(1, None), ended(1, not_run())] => vec![];
    false_refusal_is_found: true_not_run, [sent(1, None), ran(1), ended(1, not_run())]
        => vec![Violation::FalseNotRun(1)];
    refusal_before_the_run_is_found: true_not_run,
        [sent(1, None), ended(1, not_run()), ran(1)] => vec![Violation::FalseNotRun(1)];
    one_run_passes: at_most_once, [sent(1, Some("k")), ran(1)] => vec![];
    two_runs_of_a_key_are_found: at_most_once,
        [sent(1, Some("k")), ran(1), sent(2, Some("k")), ran(2)]
        => vec![Violation::Repeated("k".to_owned())];
    two_runs_of_a_lookup_pass: at_most_once, [sent(1, None), ran(1), ran(1)] => vec![];
    bearable_work_passes: bearable, [ran(1)] => vec![];
    too_much_work_is_found: bearable,
        [Seen::Ran { request: 1, upstream: name("u"), at_once: 3, bears: 2 }]
        => vec![Violation::TooMuch { upstream: name("u"), at_once: 3, bears: 2 }];
    work_soon_after_close_passes: no_work_after_close,
        [Seen::Closed { upstream: name("u") }, ran(1), ran(2)] => vec![];
    work_long_after_close_is_found: no_work_after_close,
        [Seen::Closed { upstream: name("u") }, ran(1), ran(2), ran(3), ran(4)]
        => vec![Violation::WorkAfterClose {
            upstream: name("u"),
            after: CLOSED_BOUND + Duration::from_secs(1),
        }];
    work_after_reopening_passes: no_work_after_close,
        [
            Seen::Closed { upstream: name("u") }, in_force(1), in_force(2),
            Seen::Opened { upstream: name("u") }, in_force(3), ran(1),
        ] => vec![];
    rising_revisions_pass: never_reverts, [in_force(1), in_force(2)] => vec![];
    falling_revision_is_found: never_reverts,
        [in_force(2), Seen::Restarted { node: name("n") }, in_force(1)]
        => vec![Violation::Reverted { node: name("n"), from: 2, to: 1 }];
    prompt_revision_passes: |h: &History| in_force_within(h, &[name("n")], IN_FORCE_BOUND),
        [Seen::Accepted { revision: 1 }, in_force(2)] => vec![];
    missing_revision_is_found: |h: &History| in_force_within(h, &[name("n")], IN_FORCE_BOUND),
        [Seen::Accepted { revision: 2 }, in_force(1)]
        => vec![Violation::NotInForce { node: name("n"), revision: 2 }];
    late_revision_is_found: |h: &History| in_force_within(h, &[name("n")], Duration::ZERO),
        [Seen::Accepted { revision: 1 }, in_force(1)]
        => vec![Violation::NotInForce { node: name("n"), revision: 1 }];
    whole_answers_and_true_refusals_pass: nothing_cut, [whole(1, 1), ended(2, not_run())]
        => vec![];
    cut_answer_is_found: nothing_cut, [ended(1, Final::Cut)]
        => vec![Violation::CutByShutdown(1)];
    unknown_outcome_is_found: nothing_cut,
        [ended(1, Final::Refused(Refusal::outcome_unknown(RefusalCode::AnswerLost)))]
        => vec![Violation::CutByShutdown(1)];
    missing_answer_is_found: |h: &History| all_answered(h, START + Duration::from_secs(9)),
        [sent(1, None), sent(2, None), whole(1, 1)] => vec![Violation::NoAnswer(2)];
}

fn served(tokens: u32, workspace: &str) -> Seen {
    Seen::Served { request: 1, workspace: name(workspace), tokens }
}

#[test]
fn starvation_is_found() {
    let history = history(vec![served(1, "a"), served(1, "b"), served(1, "a"), served(1, "a")]);
    let (from, to) = (START, START + Duration::from_secs(3));
    let check = |workspace, window| {
        none_starves(&history, &[name(workspace)], from, to, Duration::from_secs(window))
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
