//! Incomplete entry of another writer under a key that is no valid header value.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::platform::*;

/// Clients, the requests of each, and its pause between two: about the rate of the sheet.
const CLIENTS: usize = 6;
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(200);

/// Time for which a runner works on a request.
const WORK: Duration = Duration::from_millis(30);

/// Interval between heartbeats of a runner (`heartbeat_interval_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that is left to the router after the runner's own entry is back: longer than any bound of the sheet.
const HEALED: Duration = Duration::from_secs(6);

/// Identifier in the key of the other writer's entry, with the line break of a text file.
const ODD_ID: &str = "registry-1\n";

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\
             \"attempts\":1,\"anonymous_access\":true}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connection_limit\":96,\"protocol\":\"h1\",\
             \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":190000}},\"tenants\":[]}}",
        route("r-approve", "/approve/", "non_idempotent", "registry"),
        route("r-label", "/label/", "idempotent", "labels"),
        service("registry"),
        service("labels")
    )
}

/// Sends a request for the service `registry`; returns whether it was answered with success.
fn approve(record: &Record, frontend: SocketAddr) -> bool {
    let id = attempt_id();
    record.line(&format!("client sends {id}: POST /approve/x"));
    let sent = request("POST", "a.example", "/approve/x", &id, 1_500, "", "{\"approve\":1}");
    let reply = exchange(frontend, &sent, Duration::from_secs(3));
    record.line(&format!("client gets {} signature={}", reply.status, reply.signature));
    thread::sleep(PAUSE);
    reply.status == 200
}

/// Key under which the other writer writes.
#[derive(Clone, Copy, PartialEq)]
enum Key {
    /// One that is no valid header value.
    Odd,
    /// That of a runner, which writes its own entry again with its next heartbeat.
    OfRunner,
}

pub fn run_odd_key(root: &Path, folder: &Path) -> io::Result<i32> {
    run(root, folder, Key::Odd)
}

pub fn run_key_of_runner(root: &Path, folder: &Path) -> io::Result<i32> {
    run(root, folder, Key::OfRunner)
}

fn run(root: &Path, folder: &Path, key: Key) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let zones = ["milano", "torino", "bologna"];
    let start = |prefix: &str, service: &str| {
        let name = |i: usize| format!("i-{prefix}{i}7b0d");
        let runners = zones.iter().enumerate();
        runners
            .map(|(i, zone)| Runner::start(&name(i), service, zone, 6, &record, plain(WORK)))
            .collect::<io::Result<Vec<_>>>()
    };
    let registry = start("a", "registry")?;
    let labels = start("b", "labels")?;
    store.put("op/config", config().as_bytes());
    registry.iter().chain(&labels).for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-route-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let deployment = Deployment {
        root: root.to_owned(),
        folder: temp.clone(),
        memory_mb: 260,
        store: store.address,
    };
    let ips = free_ips(1);
    let Some(ip) = ips.first() else { return Ok(COULD_NOT_RUN) };
    let mut router = Router::start(&deployment, "edge-milano-1", "milano", *ip, &ips)?;
    if !wait_until(Duration::from_secs(10), || router.is_ready()) {
        return Ok(COULD_NOT_RUN);
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        let id = if key == Key::Odd { ODD_ID } else { &labels[0].id };
        let value = format!(
            "{{\"service\":\"registry\",\"address\":\"{}\",\"zone\":\"milano\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\"}}",
            labels[0].address
        );
        record.line(&format!("another writer writes servers/{id:?}: {value}"));
        store.put(&format!("servers/{id}"), value.as_bytes());
    }
    if key == Key::OfRunner {
        thread::sleep(HEARTBEAT);
        let (id, value) = (&labels[0].id, labels[0].entry(2));
        record.line(&format!("{id} writes servers/{id:?} with its next heartbeat: {value}"));
        store.put(&format!("servers/{id}"), value.as_bytes());
        thread::sleep(HEALED);
    }
    thread::sleep(Duration::from_secs(1));

    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, frontend) = (record.clone(), router.frontend);
            thread::spawn(move || (0..REQUESTS).filter(|_| approve(&record, frontend)).count())
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap_or_default()).sum();
    router.kill();
    let _ = std::fs::remove_dir_all(&temp);

    let astray: usize = labels.iter().map(|runner| runner.runs.lock().unwrap().len()).sum();
    record.line(&format!(
        "{} requests for the service registry, {served} answered with success, {astray} run by the service labels",
        CLIENTS * REQUESTS
    ));
    Ok(if astray > 0 { BROKEN } else { HELD })
}
