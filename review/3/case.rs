//! Runners hand out wrong bytes: in one answer of fifty, one event of a stream has a wrong digit in
//! its `id`. The events before it are intact, and in the same chunk.
//!
//! Checks ORDER: a stream that ends as complete has each piece once, in order.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{io, thread};

use standin::client::{self, Request};
use standin::fleet::{Place, Sheet};
use standin::http::{Connection, Message};
use standin::record::Record;
use standin::runner::{Runner, Then};
use standin::scene::{HOST, Scene, model_headers};
use standin::{BROKEN, HELD, NOT_RUN, has_trouble};

/// Pieces of a stream, and how many of them a runner writes at a time.
const PIECES: u64 = 48;
const PIECES_PER_CHUNK: u64 = 6;

/// Pause between two chunks.
const CHUNK_PAUSE: Duration = Duration::from_millis(15);

/// Model runners, and those of them that hand out wrong bytes; the site file has `garble` for a share
/// of 0.35, an `x` of 0.02 and 5.5 s.
const RUNNERS: usize = 9;
const SPOILING_RUNNERS: usize = 3;

/// Answers of such a runner of which one is spoilt.
const ANSWERS_PER_SPOILT: usize = 50;

/// Time for which they do so, and pause before they do so again.
const SPOILING_TIME: Duration = Duration::from_millis(5_500);
const SPOILING_PAUSE: Duration = Duration::from_secs(2);

/// Piece whose `id` has a wrong digit.
const SPOILT_PIECE: u64 = 10;

const CLIENTS: usize = 16;
const REQUESTS_PER_CLIENT: usize = 160;

fn main() {
    standin::main_of(run);
}

/// Writes the pieces after `Last-Event-Id`; `spoils` tells whether one has a wrong `id`.
fn stream(
    runner: &Runner,
    request: &Message,
    connection: &mut Connection,
    spoils: bool,
) -> io::Result<Then> {
    let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default();
    let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        runner.headers(request)
    );
    connection.write(head.as_bytes())?;
    let pieces: Vec<u64> = (last + 1..=PIECES).collect();
    for group in pieces.chunks(PIECES_PER_CHUNK as usize) {
        let mut chunk = String::new();
        for piece in group {
            let told = if spoils && *piece == SPOILT_PIECE { piece + 6 } else { *piece };
            chunk.push_str(&format!("id: {told}\ndata: piece {piece} of {id}\n\n"));
        }
        connection.write(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes())?;
        thread::sleep(CHUNK_PAUSE);
    }
    connection.write(b"0\r\n\r\n")?;
    Ok(Then::KeepOpen)
}

/// Returns the pieces in the body of a stream, in order.
fn pieces_of(body: &str, id: &str) -> Vec<u64> {
    let suffix = format!(" of {id}");
    body.lines()
        .filter_map(|line| line.strip_prefix("data: piece ")?.strip_suffix(&suffix)?.parse().ok())
        .collect()
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Arc::new(Record::create(folder)?);
    let place = Place::create()?;
    let spoilt = Arc::new(Mutex::new(Vec::<String>::new()));
    let started = Instant::now();
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let zone = standin::scene::ZONES[index % 3].0;
        let spoils = has_trouble() && index < SPOILING_RUNNERS;
        let (answers, spoilt) = (AtomicUsize::new(0), Arc::clone(&spoilt));
        let record = Arc::clone(&record);
        let runner = Runner::start(
            (&format!("i-{index}"), "drafting", zone, 64),
            &place.ip(100),
            move |runner, request, connection| {
                let id = request.header("x-sapphirespur-attempt-id").unwrap_or_default();
                let after = request.header("last-event-id").unwrap_or("0");
                let cycle = (SPOILING_TIME + SPOILING_PAUSE).as_millis();
                let is_spoiling = started.elapsed().as_millis() % cycle < SPOILING_TIME.as_millis();
                let count = answers.fetch_add(usize::from(is_spoiling), Ordering::Relaxed) + 1;
                let is_spoilt = spoils
                    && is_spoiling
                    && after == "0"
                    && count.is_multiple_of(ANSWERS_PER_SPOILT);
                record.line(&format!(
                    "runner {} runs {id} after event {after}{}",
                    runner.id,
                    if is_spoilt { ", answer spoilt" } else { "" }
                ));
                if is_spoilt {
                    spoilt.lock().expect("not poisoned").push(id.to_owned());
                }
                stream(runner, request, connection, is_spoilt)
            },
        )?;
        runners.push(runner);
    }
    let scene = Scene::start(place, &runners, &Sheet::katharotis())?;
    scene.keep_entries(&runners);
    // Routers send little to cold runners in their first seconds.
    thread::sleep(Duration::from_secs(4));

    let addresses: Vec<_> = scene.routers.iter().map(|router| router.frontend).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, address) = (Arc::clone(&record), addresses[client % addresses.len()]);
            thread::spawn(move || {
                let mut counts = [0; 3];
                for number in 0..REQUESTS_PER_CLIENT {
                    let id = format!("{client:02x}{number:06x}");
                    let headers = model_headers((client * 1_000 + number) as u64);
                    let request = Request {
                        method: "POST",
                        host: HOST,
                        path: "/quote/2f",
                        id: &id,
                        remaining_ms: 12_000,
                        headers: &headers,
                        body: "{}",
                    };
                    record.line(&format!("client sends {id}"));
                    let reply = client::send(address, &request);
                    let pieces = pieces_of(&reply.body(), &id);
                    let is_whole = pieces.iter().copied().eq(1..=PIECES);
                    let is_success = reply.status() == 200 && reply.is_complete;
                    let index = match (is_success, is_whole) {
                        (true, true) => 0,
                        (true, false) => 1,
                        _ => 2,
                    };
                    counts[index] += 1;
                    let text = format!(
                        "client got {id}: status {}, complete {}, {} pieces",
                        reply.status(),
                        reply.is_complete,
                        pieces.len()
                    );
                    if index == 1 {
                        let missing: Vec<_> =
                            (1..=PIECES).filter(|piece| !pieces.contains(piece)).collect();
                        record.say(&format!("ORDER broken: {text}, missing {missing:?}"));
                    } else {
                        record.line(&text);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                counts
            })
        })
        .collect();
    let mut total = [0; 3];
    for client in clients {
        let counts = client.join().map_err(|_| io::Error::other("a client failed"))?;
        (0..3).for_each(|index| total[index] += counts[index]);
    }
    let [whole, broken, other] = total;
    let count = spoilt.lock().expect("not poisoned").len();
    record.say(&format!(
        "{whole} streams whole, {broken} complete with pieces missing or twice, {other} others; \
         {count} answers were spoilt"
    ));
    if whole == 0 || (has_trouble() && count == 0) {
        return Ok(NOT_RUN);
    }
    Ok(if broken > 0 { BROKEN } else { HELD })
}
