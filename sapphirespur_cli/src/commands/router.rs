//! The `router` command.

use std::time::Duration;

use awc::Client;
use sapphirespur_core::edge::BaseVersion;
use sapphirespur_node::edge::{
    EdgeStatus, PredictionStatus, ReportedLoad, RolloutStatus, STATUS_PATH, UpstreamStatus,
};

use crate::args::RouterArgs;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::render::format_table;

/// Timeout of the status request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the state of one edge router, which runs without sidecars, as that router sees it.
pub(super) async fn run(args: &RouterArgs, json: bool) -> Result<Exit, CommandError> {
    let status = query_status(args).await?;

    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{}", format_status(&status));
    }
    Ok(Exit::Success)
}

/// Requests the router's status.
async fn query_status(args: &RouterArgs) -> Result<EdgeStatus, CommandError> {
    let no_response = |reason: String| CommandError::Router { address: args.address, reason };
    let url = format!("http://{}{STATUS_PATH}", args.address);
    let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let mut response = client.get(url).send().await.map_err(|e| no_response(e.to_string()))?;
    let body = response.body().await.map_err(|e| no_response(e.to_string()))?;

    Ok(serde_json::from_slice(&body)?)
}

/// Returns the status as text.
fn format_status(status: &EdgeStatus) -> String {
    let or_none = |value: Option<u64>| value.map_or("none".to_owned(), |value| value.to_string());
    let rows = [
        ("router", status.name.clone()),
        ("configuration", or_none(status.version)),
        ("record age in ms", or_none(status.record_age_ms)),
        ("record version", status.record_version.clone()),
        ("other routers", status.peers.to_string()),
        ("role", status.role.clone()),
        ("relay", status.relay.clone().unwrap_or_else(|| "none".to_owned())),
        ("relay age in ms", or_none(status.relay_age_ms)),
        ("short of time", status.is_short_of_time.to_string()),
        ("requests", status.in_flight.to_string()),
        ("connections", status.connections.to_string()),
        ("data centres out", status.out.join(" ")),
        ("quarantined segments", status.quarantined.join(" ")),
        ("quarantined requests", status.quarantined_requests.join(" ")),
        ("base versions", base_versions(status)),
        ("streams known", status.known_streams.to_string()),
        ("costs within factor 2", predictions(status)),
    ];
    let rows: Vec<Vec<String>> =
        rows.into_iter().map(|(name, value)| vec![name.to_owned(), value]).collect();
    let upstreams: Vec<Vec<String>> = status.upstreams.iter().map(row).collect();
    let header = [
        "upstream",
        "service",
        "version",
        "data centre",
        "condition",
        "requests",
        "of all",
        "pending tokens",
        "tokens/ms",
        "event ms",
        "failing",
        "limit/s",
        "reported load",
    ];

    let facts = format_table(&["fact", "value"], &rows);
    format!("{facts}\n{}{}", format_rollouts(&status.rollouts), format_table(&header, &upstreams))
}

/// Returns the roll-outs as a table, with an empty line after it; empty when there are none.
fn format_rollouts(rollouts: &[RolloutStatus]) -> String {
    if rollouts.is_empty() {
        return String::new();
    }
    let header = [
        "roll-out",
        "target",
        "phase",
        "state",
        "reason",
        "verdict",
        "elapsed ms",
        "leader",
        "sent",
        "from here",
        "bad",
        "old bad",
        "old requests",
    ];
    let rows: Vec<Vec<String>> = rollouts.iter().map(rollout_row).collect();
    format!("{}\n", format_table(&header, &rows))
}

/// Returns the table row of a roll-out.
fn rollout_row(rollout: &RolloutStatus) -> Vec<String> {
    let or_none = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
    vec![
        rollout.service.clone(),
        rollout.target.clone(),
        or_none(&rollout.phase),
        or_none(&rollout.state),
        rollout.reason.clone(),
        rollout.verdict.clone(),
        rollout.elapsed_ms.to_string(),
        or_none(&rollout.leader),
        rollout.sent.to_string(),
        rollout.own_sent.to_string(),
        format!("{} of {}", rollout.bad, rollout.answered),
        format!("{} of {}", rollout.old_bad, rollout.old_answered),
        rollout.old_in_flight.to_string(),
    ]
}

/// Returns the versions at which streams without a record began.
fn base_versions(status: &EdgeStatus) -> String {
    let name = |base: &BaseVersion| {
        let state = if base.is_settled { "" } else { " (next)" };
        format!("{}={}{state}", base.service, base.version)
    };
    status.base_versions.iter().map(name).collect::<Vec<_>>().join(" ")
}

/// Returns the percentage of each route's requests whose predicted cost was about right.
fn predictions(status: &EdgeStatus) -> String {
    let percent =
        |route: &PredictionStatus| format!("{}={:.0}%", route.route, route.within_two_percent);
    status.predictions.iter().map(percent).collect::<Vec<_>>().join(" ")
}

/// Returns the table row of an upstream.
fn row(upstream: &UpstreamStatus) -> Vec<String> {
    vec![
        upstream.id.clone(),
        upstream.service.clone(),
        upstream.version.clone(),
        upstream.data_centre.clone(),
        upstream.condition.clone(),
        upstream.in_flight.to_string(),
        upstream.fleet_in_flight.to_string(),
        upstream.pending_tokens.to_string(),
        upstream.tokens_per_ms.map_or("-".to_owned(), |speed| format!("{speed:.1}")),
        format!("{:.0}", upstream.event_ms),
        format!("{:.2}", upstream.failure_rate),
        upstream.limit_per_s.map_or("-".to_owned(), |limit| format!("{limit:.1}")),
        upstream.reported_load.as_ref().map_or("-".to_owned(), reported_load),
    ]
}

/// Returns running, waiting and slots, the pace and the age of a reported load.
fn reported_load(load: &ReportedLoad) -> String {
    let ReportedLoad { running, waiting, slots, pace_percent, age_ms, .. } = load;
    let full = if load.is_full { " full" } else { "" };
    format!("{running}+{waiting}/{slots} {pace_percent:.0}% {age_ms} ms{full}")
}
