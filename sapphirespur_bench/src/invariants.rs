//! Checks of the invariants over a history.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::history::{FinalAnswer, History, HistoryEvent};

/// Time after which a closed upstream or data centre must get no new work.
pub const CLOSE_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time within which an accepted configuration must be in force everywhere.
pub const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(16);

/// Broken invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A caller got the answer to another request.
    WrongAnswer {
        /// Request of the caller.
        request: u64,
        /// Request that was answered.
        answered_request: u64,
    },
    /// A request got two final answers.
    DuplicateAnswer(u64),
    /// A request got no final answer.
    MissingAnswer(u64),
    /// A request ran though its caller was told that it did not.
    FalseNotRun(u64),
    /// A call that must not repeat ran more than once.
    RepeatedRun(String),
    /// An upstream got more work than it bore.
    CapacityExceeded {
        /// Upstream.
        upstream: Name,
        /// Requests at once.
        concurrency: u32,
        /// Requests that it bore.
        capacity: u32,
    },
    /// A closed upstream got new work too late.
    WorkAfterClose {
        /// Upstream.
        upstream: Name,
        /// Time from its closing.
        after: Duration,
    },
    /// A node went back to an older configuration.
    ConfigReverted {
        /// Node.
        node: Name,
        /// Revision that it had.
        from: u64,
        /// Revision that it took.
        to: u64,
    },
    /// A node did not take a configuration in time.
    ConfigNotInForce {
        /// Node.
        node: Name,
        /// Revision.
        revision: u64,
    },
    /// A request was cut though nothing but graceful shutdowns happened.
    InterruptedByShutdown(u64),
    /// A workspace with waiting work got no service for long.
    Starved {
        /// Workspace.
        workspace: Name,
        /// Start of the time without service.
        since: Time,
    },
}

/// Checks that every whole answer belongs to its caller and every request ends at most once.
pub fn correct_answers(history: &History) -> Vec<Violation> {
    let keys = keys_by_request(history);
    let mut ended = BTreeSet::new();
    let mut violations = Vec::new();
    for (_, event) in &history.entries {
        let HistoryEvent::Answered { request, answer } = event else { continue };
        if !ended.insert(*request) {
            violations.push(Violation::DuplicateAnswer(*request));
        }
        let FinalAnswer::Complete { answered_request } = answer else { continue };
        let shares_key =
            keys.get(request).is_some_and(|key| keys.get(answered_request) == Some(key));
        if answered_request != request && !shares_key {
            violations.push(Violation::WrongAnswer {
                request: *request,
                answered_request: *answered_request,
            });
        }
    }

    violations
}

/// Checks that every request sent before `until` has ended.
pub fn all_answered(history: &History, until: Time) -> Vec<Violation> {
    let ended: BTreeSet<u64> = history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::Answered { request, .. } => Some(*request),
            _ => None,
        })
        .collect();

    let sent = history.entries.iter().filter(|(time, _)| *time < until);
    sent.filter_map(|(_, event)| match event {
        HistoryEvent::Submitted { request, .. } if !ended.contains(request) => {
            Some(Violation::MissingAnswer(*request))
        }
        _ => None,
    })
    .collect()
}

/// Checks that no request ran whose caller was told that it did not.
pub fn no_false_not_run(history: &History) -> Vec<Violation> {
    let ran: BTreeSet<u64> = history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::RunStarted { request, .. } => Some(*request),
            _ => None,
        })
        .collect();

    history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::Answered { request, answer }
                if answer.says_not_run() && ran.contains(request) =>
            {
                Some(Violation::FalseNotRun(*request))
            }
            _ => None,
        })
        .collect()
}

/// Checks that calls that must not repeat ran at most once.
pub fn at_most_once(history: &History) -> Vec<Violation> {
    let keys = keys_by_request(history);
    let mut runs: BTreeMap<&String, u32> = BTreeMap::new();
    for (_, event) in &history.entries {
        if let HistoryEvent::RunStarted { request, .. } = event
            && let Some(key) = keys.get(request)
        {
            *runs.entry(key).or_default() += 1;
        }
    }

    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(key, _)| Violation::RepeatedRun(key.clone())).collect()
}

/// Checks that no upstream got more work than it bore.
pub fn within_capacity(history: &History) -> Vec<Violation> {
    history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::RunStarted { upstream, concurrency, capacity, .. }
                if concurrency > capacity =>
            {
                Some(Violation::CapacityExceeded {
                    upstream: upstream.clone(),
                    concurrency: *concurrency,
                    capacity: *capacity,
                })
            }
            _ => None,
        })
        .collect()
}

/// Checks that closed upstreams get no new work after the bound.
pub fn no_work_after_close(history: &History) -> Vec<Violation> {
    let mut closed: BTreeMap<&Name, Time> = BTreeMap::new();
    let mut violations = Vec::new();
    for (time, event) in &history.entries {
        match event {
            HistoryEvent::Closed { upstream } => {
                closed.entry(upstream).or_insert(*time);
            }
            HistoryEvent::Opened { upstream } => {
                closed.remove(upstream);
            }
            HistoryEvent::RunStarted { upstream, .. } => {
                let after = closed.get(upstream).map(|since| time.since(*since));
                if let Some(after) = after.filter(|after| *after > CLOSE_PROPAGATION_LIMIT) {
                    let upstream = upstream.clone();
                    violations.push(Violation::WorkAfterClose { upstream, after });
                }
            }
            _ => {}
        }
    }

    violations
}

/// Checks that no node ever goes back to an older configuration, not even by a restart.
pub fn config_never_reverts(history: &History) -> Vec<Violation> {
    let mut latest: BTreeMap<&Name, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for (_, event) in &history.entries {
        let HistoryEvent::ConfigInForce { node, revision } = event else { continue };
        let before = latest.insert(node, *revision).unwrap_or(0);
        if before > *revision {
            let node = node.clone();
            violations.push(Violation::ConfigReverted { node, from: before, to: *revision });
        }
    }

    violations
}

/// Checks that `nodes` take every configuration within `bound`.
pub fn config_in_force_within(
    history: &History,
    nodes: &[Name],
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (accepted, event) in &history.entries {
        let HistoryEvent::ConfigAccepted { revision } = event else { continue };
        for node in nodes {
            let is_taken = history.entries.iter().any(|(time, event)| match event {
                HistoryEvent::ConfigInForce { node: other, revision: taken } => {
                    other == node && taken >= revision && time.since(*accepted) <= bound
                }
                _ => false,
            });
            if !is_taken {
                let node = node.clone();
                violations.push(Violation::ConfigNotInForce { node, revision: *revision });
            }
        }
    }

    violations
}

/// Checks that every request ended whole, or with the true word that it did not run.
pub fn no_interrupted_answers(history: &History) -> Vec<Violation> {
    history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::Answered { request, answer } => {
                let is_fine =
                    matches!(answer, FinalAnswer::Complete { .. }) || answer.says_not_run();
                (!is_fine).then_some(Violation::InterruptedByShutdown(*request))
            }
            _ => None,
        })
        .collect()
}

/// Checks that each of `workspaces`, always backlogged, is served in every `window`.
pub fn no_starvation(
    history: &History,
    workspaces: &[Name],
    from: Time,
    to: Time,
    window: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for workspace in workspaces {
        let mut last = from;
        let mut times: Vec<Time> = served_times(history, workspace)
            .into_iter()
            .filter(|time| *time >= from && *time <= to)
            .collect();
        times.push(to);
        for time in times {
            if time.since(last) > window {
                violations.push(Violation::Starved { workspace: workspace.clone(), since: last });
            }
            last = time;
        }
    }

    violations
}

/// Checks all that must hold whatever happens.
pub fn safety(history: &History) -> Vec<Violation> {
    [
        correct_answers(history),
        no_false_not_run(history),
        at_most_once(history),
        no_work_after_close(history),
        config_never_reverts(history),
    ]
    .concat()
}

/// Difference between the services of two workspaces, each divided by its share, in cost units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairnessGap {
    /// Greatest difference at any time, counted from the start.
    pub since_start: f64,
    /// Greatest difference in any interval.
    pub any_interval: f64,
}

/// Returns the fairness gap of workspaces that are backlogged all the time.
pub fn fairness_gap(
    history: &History,
    shares: &[(Name, u32)],
    from: Time,
    to: Time,
) -> FairnessGap {
    let mut service = vec![0.0; shares.len()];
    let mut low = vec![vec![0.0_f64; shares.len()]; shares.len()];
    let mut high = low.clone();
    for (time, event) in &history.entries {
        let HistoryEvent::Served { workspace, tokens, .. } = event else { continue };
        let Some(index) = shares.iter().position(|(name, _)| name == workspace) else { continue };
        if *time < from || *time > to {
            continue;
        }

        service[index] += f64::from(*tokens) / f64::from(shares[index].1);
        for other in (0..shares.len()).filter(|other| *other != index) {
            let difference = service[index] - service[other];
            low[index][other] = low[index][other].min(difference);
            high[index][other] = high[index][other].max(difference);
            low[other][index] = low[other][index].min(-difference);
            high[other][index] = high[other][index].max(-difference);
        }
    }

    let pairs = || (0..shares.len()).flat_map(|a| (0..shares.len()).map(move |b| (a, b)));
    FairnessGap {
        since_start: pairs().map(|(a, b)| high[a][b]).fold(0.0, f64::max),
        any_interval: pairs().map(|(a, b)| high[a][b] - low[a][b]).fold(0.0, f64::max),
    }
}

/// Returns the tokens that were served in a span.
pub fn served_tokens(history: &History, from: Time, to: Time) -> u64 {
    let entries = history.entries.iter().filter(|(time, _)| *time >= from && *time <= to);

    entries
        .map(|(_, event)| match event {
            HistoryEvent::Served { tokens, .. } => u64::from(*tokens),
            _ => 0,
        })
        .sum()
}

fn served_times(history: &History, workspace: &Name) -> Vec<Time> {
    history
        .entries
        .iter()
        .filter_map(|(time, event)| match event {
            HistoryEvent::Served { workspace: other, .. } if other == workspace => Some(*time),
            _ => None,
        })
        .collect()
}

/// Returns the idempotency key of each request that may not be repeated.
fn keys_by_request(history: &History) -> BTreeMap<u64, String> {
    history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::Submitted { request, key: Some(key), .. } => {
                Some((*request, key.clone()))
            }
            HistoryEvent::Submitted { request, is_idempotent: false, key: None, .. } => {
                Some((*request, format!("request-{request}")))
            }
            _ => None,
        })
        .collect()
}
