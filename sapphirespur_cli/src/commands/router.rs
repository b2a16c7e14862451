//! State of one router without sidecars.

use std::time::Duration;

use awc::Client;
use sapphirespur_node::edge::{EdgeStatus, STATUS_PATH, UpstreamStatus};

use crate::args::RouterArgs;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::render::table;

/// Time within which the router must answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Shows what a router believes.
pub(super) async fn run(args: &RouterArgs, json: bool) -> Result<Exit, CommandError> {
    let status = ask(args).await?;

    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{}", text_of(&status));
    }
    Ok(Exit::Success)
}

async fn ask(args: &RouterArgs) -> Result<EdgeStatus, CommandError> {
    let unreachable = |reason: String| CommandError::Router { address: args.address, reason };
    let url = format!("http://{}{STATUS_PATH}", args.address);
    let client = Client::builder().timeout(TIMEOUT).finish();
    let mut response = client.get(url).send().await.map_err(|e| unreachable(e.to_string()))?;
    let body = response.body().await.map_err(|e| unreachable(e.to_string()))?;

    Ok(serde_json::from_slice(&body)?)
}

fn text_of(status: &EdgeStatus) -> String {
    let shown = |value: Option<u64>| value.map_or("none".to_owned(), |value| value.to_string());
    let facts = [
        ("router", status.name.clone()),
        ("configuration", shown(status.version)),
        ("record age in ms", shown(status.record_age_ms)),
        ("other routers", status.peers.to_string()),
        ("requests", status.in_flight.to_string()),
        ("connections", status.connections.to_string()),
        ("data centres out", status.out.join(" ")),
    ];
    let facts: Vec<Vec<String>> =
        facts.into_iter().map(|(name, value)| vec![name.to_owned(), value]).collect();
    let upstreams: Vec<Vec<String>> = status.upstreams.iter().map(row).collect();
    let header = [
        "upstream",
        "service",
        "data centre",
        "condition",
        "requests",
        "of all",
        "pending tokens",
        "tokens/ms",
        "event ms",
        "failing",
    ];

    format!("{}\n{}", table(&["fact", "value"], &facts), table(&header, &upstreams))
}

fn row(upstream: &UpstreamStatus) -> Vec<String> {
    vec![
        upstream.id.clone(),
        upstream.service.clone(),
        upstream.data_centre.clone(),
        upstream.condition.clone(),
        upstream.in_flight.to_string(),
        upstream.fleet_in_flight.to_string(),
        upstream.pending_tokens.to_string(),
        upstream.tokens_per_ms.map_or("-".to_owned(), |speed| format!("{speed:.1}")),
        format!("{:.0}", upstream.event_ms),
        format!("{:.2}", upstream.failure_rate),
    ]
}
