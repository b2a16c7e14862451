//! Checks of the invariants over the history of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;

use crate::history::{FinalAnswer, History, HistoryEvent};

/// Longest time for which an upstream may get new work after it or its data centre was closed.
pub const CLOSE_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time within which an accepted configuration must be in force at all nodes.
pub const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(16);

/// Violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A client received the answer to another request.
    WrongAnswer {
        /// Request that the client sent.
        request: u64,
        /// Request that the answer belongs to.
        answered_request: u64,
    },
    /// A request received more than one final answer.
    DuplicateAnswer(u64),
    /// A request received no final answer.
    MissingAnswer(u64),
    /// A request ran although its answer states that it did not.
    FalseNotRun(u64),
    /// A call that must run at most once ran more often; holds its idempotency key, or the key that
    /// `keys_by_request` makes for a call without one.
    RepeatedRun(String),
    /// An upstream got more concurrent requests than its capacity.
    CapacityExceeded {
        /// Upstream that was overloaded.
        upstream: Name,
        /// Number of concurrent requests.
        concurrency: u32,
        /// Number of concurrent requests that it can run.
        capacity: u32,
    },
    /// A closed upstream still got new work after the limit.
    WorkAfterClose {
        /// Upstream that was closed.
        upstream: Name,
        /// Time between its closing and the start of the work.
        after: Duration,
    },
    /// A node applied an older configuration than before.
    ConfigReverted {
        /// Node that applied it.
        node: Name,
        /// Revision that was in force before.
        from: u64,
        /// Older revision that it applied.
        to: u64,
    },
    /// A node did not apply an accepted configuration in time.
    ConfigNotInForce {
        /// Node that did not apply it.
        node: Name,
        /// Revision that was accepted.
        revision: u64,
    },
    /// A request got neither a complete answer nor one that states that it did not run, although
    /// only graceful shutdowns happened.
    InterruptedByShutdown(u64),
    /// A workspace with queued requests was not served for longer than the window.
    Starved {
        /// Workspace that was not served.
        workspace: Name,
        /// Start of the time without service.
        since: Time,
    },
}

/// Checks that each complete answer belongs to its request, or to one with the same idempotency
/// key, and that no request has more than one final answer.
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

/// Checks that every request sent before `until` has a final answer.
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

/// Checks that no request ran whose answer states that it did not.
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
                if answer.reports_not_run() && ran.contains(request) =>
            {
                Some(Violation::FalseNotRun(*request))
            }
            _ => None,
        })
        .collect()
}

/// Checks that calls that must run at most once did so, by idempotency key.
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

/// Checks that no upstream got more concurrent requests than its capacity.
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

/// Checks that no upstream got new work later than [`CLOSE_PROPAGATION_LIMIT`] after its closing.
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

/// Checks that no node applied an older configuration than before, not even after a restart.
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

/// Checks that each of `nodes` applied every accepted configuration, or a later one, within
/// `bound`.
pub fn config_in_force_within(
    history: &History,
    nodes: &[Name],
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (accepted, event) in &history.entries {
        let HistoryEvent::ConfigAccepted { revision } = event else { continue };
        for node in nodes {
            let is_in_force = history.entries.iter().any(|(time, event)| match event {
                HistoryEvent::ConfigInForce { node: other, revision: applied } => {
                    other == node && applied >= revision && time.since(*accepted) <= bound
                }
                _ => false,
            });
            if !is_in_force {
                let node = node.clone();
                violations.push(Violation::ConfigNotInForce { node, revision: *revision });
            }
        }
    }

    violations
}

/// Checks that every final answer is complete or states that the request did not run.
pub fn no_interrupted_answers(history: &History) -> Vec<Violation> {
    history
        .entries
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::Answered { request, answer } => {
                let is_allowed =
                    matches!(answer, FinalAnswer::Complete { .. }) || answer.reports_not_run();
                (!is_allowed).then_some(Violation::InterruptedByShutdown(*request))
            }
            _ => None,
        })
        .collect()
}

/// Checks that each of `workspaces`, which are always backlogged, is served at least once in every
/// `window` between `from` and `to`.
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

/// Checks the safety invariants, which must hold under all faults.
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

/// Greatest difference between the service of two workspaces, each divided by its share, in cost
/// units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairnessGap {
    /// Greatest difference at any time, with service counted from the start.
    pub since_start: f64,
    /// Greatest difference of the service received in any interval.
    pub any_interval: f64,
}

/// Returns the fairness gap between workspaces that are always backlogged, from `from` to `to`.
pub fn fairness_gap(
    history: &History,
    shares: &[(Name, u32)],
    from: Time,
    to: Time,
) -> FairnessGap {
    let mut service = vec![0.0; shares.len()];
    let mut min_difference = vec![vec![0.0_f64; shares.len()]; shares.len()];
    let mut max_difference = min_difference.clone();
    for (time, event) in &history.entries {
        let HistoryEvent::Served { workspace, tokens, .. } = event else { continue };
        let Some(index) = shares.iter().position(|(name, _)| name == workspace) else { continue };
        if *time < from || *time > to {
            continue;
        }

        service[index] += f64::from(*tokens) / f64::from(shares[index].1);
        for other in (0..shares.len()).filter(|other| *other != index) {
            let difference = service[index] - service[other];
            min_difference[index][other] = min_difference[index][other].min(difference);
            max_difference[index][other] = max_difference[index][other].max(difference);
            min_difference[other][index] = min_difference[other][index].min(-difference);
            max_difference[other][index] = max_difference[other][index].max(-difference);
        }
    }

    let pairs = || (0..shares.len()).flat_map(|a| (0..shares.len()).map(move |b| (a, b)));
    FairnessGap {
        since_start: pairs().map(|(a, b)| max_difference[a][b]).fold(0.0, f64::max),
        any_interval: pairs()
            .map(|(a, b)| max_difference[a][b] - min_difference[a][b])
            .fold(0.0, f64::max),
    }
}

/// Returns the number of tokens that were served from `from` to `to`.
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

/// Returns the key that identifies each call that must run at most once.
///
/// A call without an idempotency key gets a key of its own, made from its number.
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
