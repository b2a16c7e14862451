//! Event stream of a runner, with its faults.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::super::behaviour::Behaviour;
use super::super::received_request::ReceivedRequest;
use super::response::write_chunk;
use super::{CRASH_DELAY, Runner, State};

/// Number of the first events that [`Behaviour::WrongEventId`] sends at once.
const EVENTS_AT_ONCE: u64 = 6;

/// Writes the events after the client's `Last-Event-ID`, each after a pause; returns whether the connection stays open.
pub(super) async fn write_event_stream(
    state: &State,
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    signed: &str,
    pause: Duration,
) -> io::Result<bool> {
    if let Behaviour::BreaksAndResumesAs { resumption, .. } = state.behaviour.get()
        && request.header("last-event-id").is_some()
    {
        stream.write_all(resumption.text(signed).as_bytes()).await?;
        return Ok(false);
    }
    let is_framed = !matches!(
        state.behaviour.get(),
        Behaviour::UnframedStream
            | Behaviour::UnframedEmptyStream
            | Behaviour::UnframedStreamCutAfter(_)
            | Behaviour::StallsOnce { is_framed: false, .. }
    );
    let framing = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head =
        format!("HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n{framing}\r\n");
    if !goes_on_after(state, stream, 0).await {
        return Ok(false);
    }
    // The head leaves with the first event.
    if !pause.is_zero() {
        tokio::time::sleep(pause).await;
    }
    stream.write_all(head.as_bytes()).await?;
    if state.crashes_under(request) {
        // The head leaves before the process ends.
        tokio::time::sleep(CRASH_DELAY).await;
        state.crash();
        return Ok(false);
    }
    let last_received: u64 =
        request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let last_event = match state.behaviour.get() {
        Behaviour::LargeEvents(_) | Behaviour::Trickle(_) => u64::MAX,
        Behaviour::Paced { events, .. } => events,
        _ => Runner::EVENTS_PER_STREAM,
    };
    let wrong_id = match state.behaviour.get() {
        Behaviour::WrongEventId { event, id } => Some((event, id)),
        _ => None,
    };
    let mut held_back = String::new();
    for id in last_received + 1..=last_event {
        if !pause.is_zero() && id > last_received + 1 {
            tokio::time::sleep(pause).await;
        }
        if id > 1 && !goes_on_after(state, stream, id - 1).await {
            return Ok(false);
        }
        match state.behaviour.get() {
            Behaviour::CloseAfter(count)
            | Behaviour::BreaksAndResumesAs { break_after: count, .. }
                if id > count =>
            {
                write_chunk(stream, &format!("id: {id}\nda")).await?;
                return Ok(false);
            }
            Behaviour::UnframedStreamCutAfter(count) if id > count => {
                stream.write_all(format!("id: {id}\nda").as_bytes()).await?;
                return Ok(false);
            }
            Behaviour::UnframedEmptyStream => return Ok(false),
            Behaviour::MissingEvent if id == 5 => continue,
            Behaviour::Trickle(millis) if id > 3 => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                write_chunk(stream, ":").await?;
                continue;
            }
            Behaviour::Paced { pause_ms: millis, .. } | Behaviour::SlowEvents(millis) => {
                tokio::time::sleep(Duration::from_millis(millis)).await
            }
            _ => {}
        }
        let padding = match state.behaviour.get() {
            Behaviour::LargeEvents(bytes) | Behaviour::Paced { padding: bytes, .. } => {
                "x".repeat(bytes)
            }
            _ => String::new(),
        };
        let told_id = wrong_id.filter(|(event, _)| *event == id).map_or(id, |(_, told)| told);
        let spoilt = if state.behaviour.get() == Behaviour::SpoiltEventId(id) { "x" } else { "" };
        let event = format!("{held_back}id: {spoilt}{told_id}\ndata: token {id}{padding}\n\n");
        if wrong_id.is_some() && id < EVENTS_AT_ONCE {
            held_back = event;
            continue;
        }
        held_back.clear();
        if is_framed {
            write_chunk(stream, &event).await?;
        } else {
            stream.write_all(event.as_bytes()).await?;
        }
    }

    if !is_framed || matches!(state.behaviour.get(), Behaviour::BreaksAndResumesAs { .. }) {
        return Ok(false);
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

/// Stands still if the stream does after `event`; returns whether the request is still wanted, as far as the runner
/// looks.
async fn goes_on_after(state: &State, stream: &TcpStream, event: u64) -> bool {
    let notices_close = match state.behaviour.get() {
        Behaviour::StallsOnce { after, notices_close, .. } if after == event => notices_close,
        _ => return true,
    };
    let mut byte = [0];
    tokio::select! {
        () = tokio::time::sleep(Runner::STALL) => true,
        _ = stream.peek(&mut byte), if notices_close => false,
    }
}
