//! The `status` command.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use awc::Client;
use sapphirespur_core::config::Config;
use sapphirespur_core::name::Name;
use sapphirespur_core::router::{RouterStatus, SidecarStatus};
use sapphirespur_core::vm::{Vm, VmRole};
use serde::Serialize;

use crate::args::StatusArgs;
use crate::commands::Context;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::render::format_table;

/// Timeout of a status request to a router.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two queries of the fleet while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// State of the fleet, the JSON output of the command.
#[derive(Debug, Serialize)]
struct FleetStatus {
    /// Revision of the accepted configuration; zero before the first one.
    revision: u64,
    /// State of each router that responded.
    routers: Vec<RouterStatus>,
    /// Routers that did not respond.
    unreachable: Vec<Name>,
    /// State of each configured upstream that a router reported.
    upstreams: BTreeMap<Name, SidecarStatus>,
    /// Routers and upstreams that do not report the accepted revision.
    behind: Vec<Name>,
}

/// Prints which revision is accepted and which processes have it in force.
pub(super) async fn run(cx: &Context, args: &StatusArgs) -> Result<Exit, CommandError> {
    let deadline = Instant::now() + Duration::from_secs(args.wait_s);
    let status = loop {
        let status = query_fleet(cx).await?;
        if status.behind.is_empty() || Instant::now() >= deadline {
            break status;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };

    cx.print(&status, &format_status(&status))?;
    Ok(if status.behind.is_empty() { Exit::Success } else { Exit::Behind })
}

/// Queries all routers for their state and that of the upstreams.
async fn query_fleet(cx: &Context) -> Result<FleetStatus, CommandError> {
    let stored = cx.store.load().await?;
    let vms = cx.vm_list.get().await?;
    let client = Client::builder().timeout(ROUTER_TIMEOUT).finish();
    let requests = vms
        .iter()
        .filter(|vm| vm.role == VmRole::Router)
        .map(|vm| async { (vm.name.clone(), router_status(&client, vm).await) });

    let mut routers = Vec::new();
    let mut unreachable = Vec::new();
    for (name, status) in futures::future::join_all(requests).await {
        match status {
            Some(status) => routers.push(status),
            None => unreachable.push(name),
        }
    }
    let upstreams = upstream_statuses(&stored.config, &routers);
    let behind = nodes_behind(stored.root.revision, &routers, &unreachable, &upstreams);
    Ok(FleetStatus { revision: stored.root.revision, routers, unreachable, upstreams, behind })
}

/// Returns the state of a router, or `None` when it does not respond as expected.
async fn router_status(client: &Client, vm: &Vm) -> Option<RouterStatus> {
    let url = format!("http://{}/status", vm.admin);
    let body = client.get(url).send().await.ok()?.body().await.ok()?;

    serde_json::from_slice(&body).ok()
}

/// Returns the state of each configured upstream that a router reported.
///
/// Of several reports, one from a router with a link to the sidecar is preferred, then the one with
/// the highest revision.
fn upstream_statuses(config: &Config, routers: &[RouterStatus]) -> BTreeMap<Name, SidecarStatus> {
    let mut upstreams: BTreeMap<Name, SidecarStatus> = BTreeMap::new();
    let reported = routers.iter().flat_map(|router| &router.sidecars);
    for sidecar in reported.filter(|sidecar| config.upstreams.contains_key(&sidecar.upstream)) {
        let rank = |s: &SidecarStatus| (s.linked, s.revision);
        let best = upstreams.entry(sidecar.upstream.clone()).or_insert_with(|| sidecar.clone());
        if rank(sidecar) > rank(best) {
            *best = sidecar.clone();
        }
    }

    upstreams
}

/// Returns the routers and reported upstreams that do not have `revision`, including unreachable
/// routers and upstreams without a link to a router.
fn nodes_behind(
    revision: u64,
    routers: &[RouterStatus],
    unreachable: &[Name],
    upstreams: &BTreeMap<Name, SidecarStatus>,
) -> Vec<Name> {
    let routers = routers.iter().filter(|router| router.revision != revision);
    let sidecars = upstreams.values().filter(|s| !s.linked || s.revision != revision);

    routers
        .map(|router| router.name.clone())
        .chain(unreachable.iter().cloned())
        .chain(sidecars.map(|sidecar| sidecar.upstream.clone()))
        .collect()
}

/// Returns the state of the fleet as text.
fn format_status(status: &FleetStatus) -> String {
    let yes_no = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    let routers: Vec<Vec<String>> = status
        .routers
        .iter()
        .map(|r| {
            vec![
                r.name.to_string(),
                r.data_centre.to_string(),
                r.revision.to_string(),
                yes_no(r.ready),
                yes_no(r.watching),
                r.waiting.to_string(),
                r.serving.to_string(),
            ]
        })
        .collect();
    let upstreams: Vec<Vec<String>> = status
        .upstreams
        .values()
        .map(|s| {
            vec![
                s.upstream.to_string(),
                s.revision.to_string(),
                yes_no(s.linked),
                yes_no(s.serving),
                s.phase.clone(),
                s.limit.to_string(),
                s.free.to_string(),
            ]
        })
        .collect();

    let router_header =
        ["ROUTER", "DATA CENTRE", "REVISION", "READY", "WATCHING", "WAITING", "SERVING"];
    let upstream_header = ["UPSTREAM", "REVISION", "LINKED", "SERVING", "PHASE", "LIMIT", "FREE"];
    let behind: Vec<&str> = status.behind.iter().map(Name::as_str).collect();
    let summary = if behind.is_empty() {
        format!("Revision {} is in force everywhere.\n", status.revision)
    } else {
        format!("Revision {} is accepted; behind: {}\n", status.revision, behind.join(", "))
    };
    format!(
        "{}\n{}\n{summary}",
        format_table(&router_header, &routers),
        format_table(&upstream_header, &upstreams)
    )
}
