//! Model engine with the interface of OpenAI: it batches, starts cold and falls over when pressed.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures::stream;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::serve::{body_of, json as respond, serve, text};

/// Tokens of an answer when the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// How an engine behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Requests that it bears at once when warm.
    pub slots: u32,
    /// Requests that it bears at once when cold.
    pub cold_slots: u32,
    /// Time for which it is cold, in milliseconds.
    pub cold_ms: u64,
    /// Time for which it is down after it fell over, in milliseconds.
    pub fallen_ms: u64,
    /// Time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            cold_slots: 1,
            cold_ms: 0,
            fallen_ms: 1_000,
            first_token_ms: 10,
            token_ms: 2,
        }
    }
}

/// What was seen of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct EngineCounts {
    /// Requests under way.
    pub running: u32,
    /// Most requests under way at once while cold.
    pub most_cold: u32,
    /// Most requests under way at once.
    pub most: u32,
    /// Times that it fell over.
    pub falls: u32,
    /// Requests that ended whole.
    pub served: u64,
    /// Requests whose caller hung up.
    pub cancelled: u64,
    /// Whether it is cold.
    pub cold: bool,
}

#[derive(Debug)]
struct State {
    options: EngineOptions,
    cold_until: Instant,
    fallen_until: Instant,
    counts: EngineCounts,
}

type Shared = Arc<Mutex<State>>;

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Serves until the process ends. `GET /load` reports, `GET /standin/counts` counts, `POST
/// /standin/cold` makes it cold again.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub async fn run(listener: TcpListener, options: EngineOptions) -> io::Result<()> {
    let now = Instant::now();
    let cold_until = now + Duration::from_millis(options.cold_ms);
    let counts = EngineCounts::default();
    let state = State { options, cold_until, fallen_until: now, counts };
    let state = Arc::new(Mutex::new(state));

    serve(listener, 2, move |req| handle(state.clone(), req)).await
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Shared, mut req: Request) -> Response<BoxBody> {
    let body = body_of(&mut req).await;
    match req.path() {
        "/load" | "/standin/counts" => {
            let mut state = lock(&state);
            state.counts.cold = state.is_cold();
            return respond(&state.counts);
        }
        "/standin/cold" => {
            let mut state = lock(&state);
            state.cold_until = Instant::now() + Duration::from_millis(state.options.cold_ms);
            return text(StatusCode::OK, "cold\n");
        }
        "/v1/chat/completions" | "/v1/completions" => {}
        _ => return text(StatusCode::NOT_FOUND, "unknown path\n"),
    }

    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        return text(StatusCode::BAD_REQUEST, "not a completion\n");
    };
    match Running::admit(&state) {
        Some(running) => answer(running, completion).await,
        None => text(StatusCode::SERVICE_UNAVAILABLE, "overloaded\n"),
    }
}

impl State {
    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    /// Takes a request, or falls over under it.
    fn admit(&mut self) -> bool {
        if Instant::now() < self.fallen_until {
            return false;
        }
        let is_cold = self.is_cold();
        let bears = if is_cold { self.options.cold_slots } else { self.options.slots };
        let running = self.counts.running + 1;
        if is_cold {
            self.counts.most_cold = self.counts.most_cold.max(running);
        }
        if running > bears {
            self.counts.falls += 1;
            self.fallen_until = Instant::now() + Duration::from_millis(self.options.fallen_ms);
            return false;
        }

        self.counts.running = running;
        self.counts.most = self.counts.most.max(running);
        true
    }
}

/// Request under way; counts itself out when it ends or its caller hangs up.
struct Running {
    state: Shared,
    first_token: Duration,
    token: Duration,
    is_served: bool,
}

impl Running {
    fn admit(state: &Shared) -> Option<Self> {
        let mut locked = lock(state);
        locked.admit().then(|| Self {
            state: state.clone(),
            first_token: Duration::from_millis(locked.options.first_token_ms),
            token: Duration::from_millis(locked.options.token_ms),
            is_served: false,
        })
    }

    fn mark_served(&mut self) {
        self.is_served = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.counts.running -= 1;
        if self.is_served {
            state.counts.served += 1;
        } else {
            state.counts.cancelled += 1;
        }
    }
}

async fn answer(mut running: Running, completion: Completion) -> Response<BoxBody> {
    let count = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let words = words_of(&completion);
    let model = completion.model;
    tokio::time::sleep(running.first_token).await;
    if completion.stream {
        return stream_answer(running, words, model, count);
    }

    tokio::time::sleep(running.token * (count - 1) as u32).await;
    let tokens: Vec<&str> = (0..count).map(|n| word(&words, n)).collect();
    running.mark_served();
    respond(&json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{ "message": { "role": "assistant", "content": tokens.join(" ") } }],
        "usage": { "completion_tokens": count },
    }))
}

fn stream_answer(
    running: Running,
    words: Vec<String>,
    model: String,
    count: u64,
) -> Response<BoxBody> {
    let events = stream::unfold((running, 0), move |(mut running, n)| {
        let line = match n {
            n if n < count => {
                let chunk = json!({
                    "object": "chat.completion.chunk",
                    "model": model,
                    "choices": [{ "delta": { "content": format!("{} ", word(&words, n)) } }],
                });
                format!("data: {chunk}\n\n")
            }
            n if n == count => "data: [DONE]\n\n".to_owned(),
            _ => String::new(),
        };
        async move {
            if line.is_empty() {
                running.mark_served();
                return None;
            }
            if n > 0 && n < count {
                tokio::time::sleep(running.token).await;
            }
            Some((Ok::<_, io::Error>(Bytes::from(line)), (running, n + 1)))
        }
    });
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .body(BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

/// Returns the words of the prompt, of which the answer consists.
fn words_of(completion: &Completion) -> Vec<String> {
    let contents = completion.messages.iter().map(|message| message.content.as_str());
    let words: Vec<String> = contents
        .chain(std::iter::once(completion.prompt.as_str()))
        .flat_map(str::split_whitespace)
        .map(str::to_owned)
        .collect();

    if words.is_empty() { vec!["empty".to_owned()] } else { words }
}

fn word(words: &[String], n: u64) -> &str {
    &words[n as usize % words.len()]
}
