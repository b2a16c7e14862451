//! Large entries of another writer, of which one field has another type.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::*;

/// Memory of a router's machine on the smallest deployment of the pages.
const MEMORY_MB: u64 = 110;

/// Interval between heartbeats of an entry (`heartbeat_interval_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Ends of a process by itself that count, on two machines (Fault).
const ENDS: u32 = 3;

const TIME: Duration = Duration::from_secs(60);

/// Entries of the other writer, and the length of the text that one of their fields holds in place of a
/// number: with it, an entry is below `max_value_bytes` (1,048,576).
const ENTRIES: usize = 4;
const TEXT_BYTES: usize = 1_048_000;

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"path_prefix\":\"/look/\",\
     \"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":1,\
     \"service\":\"office-app\",\"attempts\":2,\"anonymous_access\":true}],\
     \"services\":[{\"name\":\"office-app\",\"health_path\":\"/health\",\"connection_limit\":100,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000,\"tokens_per_s\":190000},\"tenants\":[]}"
        .to_owned()
}

pub fn run(root: &Path, folder: &Path) -> io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let store = Store::start()?;
    let zones = ["piraeus", "marousi", "glyfada"];
    let runners = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| {
            Runner::start(
                &format!("i-{i}a51c2"),
                "office-app",
                zone,
                6,
                &record,
                plain(Duration::from_millis(30)),
            )
        })
        .collect::<io::Result<Vec<_>>>()?;
    store.put("op/config", config().as_bytes());
    runners.iter().for_each(|runner| runner.register(&store));

    let temp = std::env::temp_dir().join(format!("review-3-memory-{}", std::process::id()));
    std::fs::create_dir_all(&temp)?;
    let deployment = Deployment {
        root: root.to_owned(),
        folder: temp.clone(),
        memory_mb: MEMORY_MB,
        store: store.address,
    };
    let ips = free_ips(2);
    if ips.len() < 2 {
        return Ok(COULD_NOT_RUN);
    }
    let mut routers = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        routers.push(Router::start(
            &deployment,
            &format!("edge-{}-1", zones[i]),
            zones[i],
            *ip,
            &ips,
        )?);
    }
    if !wait_until(Duration::from_secs(10), || routers.iter().all(Router::is_ready)) {
        return Ok(COULD_NOT_RUN);
    }
    record.line("routers are ready");

    let stop = Stop::default();
    let counts: Arc<Mutex<(u64, u64)>> = Arc::default();
    let mut threads = Vec::new();
    for router in &routers {
        let (address, stop, counts, record) =
            (router.frontend, stop.clone(), Arc::clone(&counts), record.clone());
        threads.push(thread::spawn(move || {
            while !stop.is_set() {
                let id = attempt_id();
                let reply = exchange(
                    address,
                    &request("GET", "a.example", "/look/x", &id, 1_000, "", ""),
                    Duration::from_secs(2),
                );
                let mut counts = counts.lock().unwrap();
                counts.0 += 1;
                if reply.status != 200 {
                    counts.1 += 1;
                    record.line(&format!("{id} at {address}: {} {}", reply.status, reply.error));
                }
                drop(counts);
                thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    if has_trouble() {
        for i in 0..ENTRIES {
            let (store, stop, record) = (store.clone(), stop.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let mut sequence = 0;
                while !stop.is_set() {
                    sequence += 1;
                    let text = "\u{7f}".repeat(TEXT_BYTES);
                    let value = format!(
                        "{{\"service\":\"office-app\",\"address\":\"127.0.0.1:{}\",\"zone\":\"piraeus\",\"version\":\"v1\",\
                         \"slots\":\"{text}\",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}", 9000 + i
                    );
                    store.put(&format!("servers/x-{i}"), value.as_bytes());
                    if sequence == 1 {
                        record.line(&format!("another writer writes servers/x-{i}, {} bytes, each {HEARTBEAT:?}", value.len()));
                    }
                    thread::sleep(HEARTBEAT);
                }
            }));
        }
    }

    let started = Instant::now();
    let mut peak = vec![0; routers.len()];
    let mut ends = vec![0; routers.len()];
    let mut next_line = Instant::now();
    while started.elapsed() < TIME && ends.iter().any(|ends| *ends < ENDS) {
        for (i, router) in routers.iter_mut().enumerate() {
            let mb = router.memory_kb() / 1024;
            peak[i] = peak[i].max(mb);
            if mb > MEMORY_MB {
                record.line(&format!("{} holds {mb} MB: the platform kills it", router.name));
                router.kill();
                ends[i] += 1;
                thread::sleep(Duration::from_millis(300));
                router.launch()?;
            } else if let Some(status) = router.ended() {
                record.line(&format!("{} has ended: {status}", router.name));
                ends[i] += 1;
                thread::sleep(Duration::from_millis(300));
                router.launch()?;
            }
        }
        if Instant::now() >= next_line {
            let held: Vec<u64> = routers.iter().map(|router| router.memory_kb() / 1024).collect();
            record.line(&format!("memory of the routers in MB: {held:?}"));
            next_line += Duration::from_secs(1);
        }
        thread::sleep(Duration::from_millis(20));
    }
    stop.set();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    routers.iter_mut().for_each(Router::kill);
    let _ = std::fs::remove_dir_all(&temp);
    let (sent, failed) = *counts.lock().unwrap();
    record.line(&format!(
        "peaks in MB {peak:?}, ends {ends:?}; {sent} requests, {failed} of them without a success"
    ));
    Ok(if ends.iter().all(|ends| *ends >= ENDS) { BROKEN } else { HELD })
}
