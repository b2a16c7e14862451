//! Another writer leaves an entry among those of the runners whose bytes can't be read. Later all routers
//! are killed, and start again.
//!
//! Checks RECOVER: of the requests sent later than `recovery_s` after the routers are back, a quarter or
//! more is served.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use standin::client::{self, Request};
use standin::fleet::{Place, Router, Sheet};
use standin::record::Record;
use standin::runner::{Runner, Then};
use standin::scene::{HOST, Scene, ZONES};
use standin::{BROKEN, HELD, NOT_RUN, has_trouble};

/// Entry of the other writer; a value has at most `max_value_bytes` 1,048,576.
const FOREIGN_KEY: &str = "servers/R&D";
const FOREIGN_BYTES: usize = 1_048_576;

/// `recovery_s`, and the time for which the routers are down.
const RECOVERY: Duration = Duration::from_secs(12);
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Time in which requests are sent before the fault, and after the recovery.
const TRAFFIC: Duration = Duration::from_secs(5);

/// Pause between two requests to a router, and between two checks of the memory.
const PAUSE: Duration = Duration::from_millis(50);

/// Time between the entry and the fault.
const QUIET: Duration = Duration::from_secs(3);

fn main() {
    standin::main_of(run);
}

/// Requests that were served, and all that were sent.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    good: usize,
    all: usize,
}

impl Served {
    fn is_quarter(self) -> bool {
        self.good * 4 >= self.all
    }
}

/// Does what the platform does: a process that exceeds its memory is killed, and started again. Returns
/// how many were.
fn limit_memory(scene: &mut Scene, record: &Record, limit_mb: u64) -> io::Result<usize> {
    let mut killed = 0;
    for router in &mut scene.routers {
        let memory = memory_mb(router);
        if memory > limit_mb {
            record.line(&format!("{} holds {memory} MB and is killed", router.name));
            router.restart()?;
            killed += 1;
        }
    }
    Ok(killed)
}

/// Sends a request to each router.
fn send_requests(scene: &Scene, record: &Record, prefix: &str, served: &mut Served) {
    for router in &scene.routers {
        served.all += 1;
        let id = format!("{prefix}{:07x}", served.all);
        let request = Request {
            method: "GET",
            host: HOST,
            path: "/lookup/2f",
            id: &id,
            remaining_ms: 1_000,
            headers: "",
            body: "",
        };
        record.line(&format!("client sends {id} to {}", router.name));
        let reply = client::send(router.frontend, &request);
        let status = reply.status();
        record.line(&format!("client got {id}: status {status} {}", reply.error));
        served.good += usize::from(status == 200 && reply.is_complete);
    }
}

/// Returns the resident memory of a router, in megabytes.
fn memory_mb(router: &Router) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", router.pid())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Arc::new(Record::create(folder)?);
    let place = Place::create()?;
    let ip = place.ip(100);
    let mut runners = Vec::new();
    for (index, (zone, _)) in ZONES.into_iter().enumerate() {
        let record = Arc::clone(&record);
        let told = (&*format!("i-{index}"), "office-app", zone, 6);
        let runner = Runner::start(told, &ip, move |runner, request, connection| {
            let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default();
            record.line(&format!("runner {} runs {id}", runner.id));
            thread::sleep(Duration::from_millis(30));
            connection.respond("200 OK", &runner.headers(request), &format!("answer to {id}"))?;
            Ok(Then::KeepOpen)
        })?;
        runners.push(runner);
    }
    let sheet = Sheet::katharotis();
    let mut scene = Scene::start(place, &runners, &sheet)?;
    scene.keep_entries(&runners);
    thread::sleep(Duration::from_secs(2));

    if has_trouble() {
        scene.store.put(FOREIGN_KEY, &"\u{1}".repeat(FOREIGN_BYTES));
        record.line(&format!("another writer has written {FOREIGN_KEY}"));
    }
    thread::sleep(QUIET);
    let mut before = Served::default();
    let end = Instant::now() + TRAFFIC;
    while Instant::now() < end {
        send_requests(&scene, &record, "a", &mut before);
        thread::sleep(PAUSE);
    }

    for router in &mut scene.routers {
        router.kill();
    }
    record.line("all routers are killed");
    thread::sleep(DOWN_TIME);
    for router in &mut scene.routers {
        router.restart()?;
    }
    record.line("all routers are started");
    let limit_mb = u64::from(sheet.memory_mb);
    let mut killed = 0;
    let recovered = Instant::now() + RECOVERY;
    let mut after = Served::default();
    while Instant::now() < recovered + TRAFFIC {
        if Instant::now() >= recovered {
            send_requests(&scene, &record, "b", &mut after);
        }
        killed += limit_memory(&mut scene, &record, limit_mb)?;
        thread::sleep(PAUSE);
    }

    let ready = scene.routers.iter().filter(|router| router.is_ready()).count();
    record.say(&format!(
        "{} of {} requests served before the routers were killed, {} of {} later than {} s after they were \
         back; {ready} routers are ready; {killed} times a router was killed for more than {limit_mb} MB",
        before.good,
        before.all,
        after.good,
        after.all,
        RECOVERY.as_secs(),
    ));
    if !before.is_quarter() {
        return Ok(NOT_RUN);
    }
    Ok(if after.is_quarter() { HELD } else { BROKEN })
}
