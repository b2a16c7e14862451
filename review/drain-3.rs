//! Incomplete entry of another writer under the key of a runner, which drains later on.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(180);
const WORK: Duration = Duration::from_millis(30);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the acknowledgement of a runner's draining in which requests may reach it.
const DRAIN: Duration = Duration::from_millis(2_000);

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-approve\",\"host\":\"a.example\",\"path_prefix\":\"/approve/\",\
     \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,\
     \"service\":\"registry\",\"attempts\":1,\"anonymous_access\":true}],\
     \"services\":[{\"name\":\"registry\",\"health_path\":\"/health\",\"connection_limit\":96,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000,\"tokens_per_s\":320000},\"tenants\":[]}"
        .to_owned()
}

fn approve(record: &Record, frontend: SocketAddr) {
    let id = attempt_id();
    record.line(&format!("client sends {id}: POST /approve/x"));
    let sent = request("POST", "a.example", "/approve/x", &id, 1_500, "", "{\"approve\":1}");
    let reply = exchange(frontend, &sent, Duration::from_secs(3));
    record.line(&format!("client of {id} gets {} {}", reply.status, reply.signature));
    thread::sleep(PAUSE);
}

pub fn run(root: &Path, folder: &Path) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let zones = ["milano", "torino", "bologna"];
    let runners = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            let (arrivals, answer) = (Arc::clone(&arrivals), plain(WORK));
            let handler: Arc<Handler> =
                Arc::new(move |runner: &Runner, arrival: &mut Arrival<'_>| {
                    arrivals.lock().unwrap().push((runner.id.clone(), Instant::now()));
                    answer(runner, arrival)
                });
            Runner::start(&format!("i-{i}e63b7"), "registry", zone, 6, &record, handler)
        })
        .collect::<io::Result<Vec<_>>>()?;
    store.put("op/config", config().as_bytes());
    runners.iter().for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-drain-{}", std::process::id()));
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
    let stop = Stop::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, frontend, stop) = (record.clone(), router.frontend, stop.clone());
            thread::spawn(move || {
                while !stop.is_set() {
                    approve(&record, frontend);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let leaving = &runners[0];
    let key = format!("servers/{}", leaving.id);
    if has_trouble() {
        let value = format!(
            "{{\"service\":\"registry\",\"address\":\"{}\",\"zone\":\"milano\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\"}}",
            leaving.address
        );
        record.line(&format!("another writer writes {key}: {value}"));
        store.put(&key, value.as_bytes());
    }
    thread::sleep(HEARTBEAT);
    record.line(&format!("{} writes {key} with its next heartbeat", leaving.id));
    store.put(&key, leaving.entry(2).as_bytes());
    thread::sleep(Duration::from_secs(6));
    store.put(&key, leaving.entry(3).replace("\"ready\"", "\"draining\"").as_bytes());
    let acknowledged = Instant::now();
    record.line(&format!("the store acknowledges that {} is draining", leaving.id));
    thread::sleep(Duration::from_secs(8));
    stop.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    router.kill();
    let _ = std::fs::remove_dir_all(&temp);

    let is_late = |(id, at): &&(String, Instant)| *id == leaving.id && *at > acknowledged + DRAIN;
    let late = arrivals.lock().unwrap().iter().filter(is_late).count();
    record.line(&format!("{late} requests reach {} later than {DRAIN:?} after that", leaving.id));
    Ok(if late > 0 { BROKEN } else { HELD })
}
