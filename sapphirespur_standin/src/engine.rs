//! Stand-in for a model engine with the OpenAI API: it runs requests in parallel, has a cold start
//! and goes down when overloaded.

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

use crate::serve::{json_response, read_body, serve, text_response};

/// Length of a response in tokens when the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Capacity and timing of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Concurrent requests that it can run when warm.
    pub slots: u32,
    /// Concurrent requests that it can run when cold.
    pub cold_slots: u32,
    /// Duration of the cold phase after a start, in milliseconds.
    pub cold_ms: u64,
    /// Time for which it refuses all requests after an overload, in milliseconds.
    pub fallen_ms: u64,
    /// Time to the first token, in milliseconds.
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

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct EngineCounts {
    /// Requests that are running.
    pub running: u32,
    /// Maximum of concurrent requests while cold, including one that overloaded it.
    pub most_cold: u32,
    /// Maximum of concurrent requests that were admitted.
    pub most: u32,
    /// Number of times that it went down under overload.
    pub falls: u32,
    /// Requests whose response was produced completely.
    pub served: u64,
    /// Requests that were cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Whether it is in its cold phase.
    pub cold: bool,
}

/// State that the connections share.
#[derive(Debug)]
struct State {
    options: EngineOptions,
    /// End of the cold phase.
    cold_until: Instant,
    /// Time until which it refuses all requests after an overload.
    down_until: Instant,
    counts: EngineCounts,
}

type Shared = Arc<Mutex<State>>;

/// Message of a chat completion request.
#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Body of a completion request: a chat has `messages`, a legacy completion has `prompt`.
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

/// Serves until the process ends.
///
/// `GET /load` and `GET /standin/counts` return [`EngineCounts`], `POST /standin/cold` restarts the
/// cold phase.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub async fn run(listener: TcpListener, options: EngineOptions) -> io::Result<()> {
    let now = Instant::now();
    let cold_until = now + Duration::from_millis(options.cold_ms);
    let counts = EngineCounts::default();
    let state = State { options, cold_until, down_until: now, counts };
    let state = Arc::new(Mutex::new(state));

    serve(listener, 2, move |req| handle(state.clone(), req)).await
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Shared, mut req: Request) -> Response<BoxBody> {
    let body = read_body(&mut req).await;
    match req.path() {
        "/load" | "/standin/counts" => {
            let mut state = lock(&state);
            state.counts.cold = state.is_cold();
            return json_response(&state.counts);
        }
        "/standin/cold" => {
            let mut state = lock(&state);
            state.cold_until = Instant::now() + Duration::from_millis(state.options.cold_ms);
            return text_response(StatusCode::OK, "cold\n");
        }
        "/v1/chat/completions" | "/v1/completions" => {}
        _ => return text_response(StatusCode::NOT_FOUND, "unknown path\n"),
    }

    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        return text_response(StatusCode::BAD_REQUEST, "not a completion\n");
    };
    match RunningRequest::admit(&state) {
        Some(running) => complete(running, completion).await,
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "overloaded\n"),
    }
}

impl State {
    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    /// Returns whether a new request is admitted; goes down when it would exceed the capacity.
    fn admit(&mut self) -> bool {
        if Instant::now() < self.down_until {
            return false;
        }
        let is_cold = self.is_cold();
        let capacity = if is_cold { self.options.cold_slots } else { self.options.slots };
        let running = self.counts.running + 1;
        if is_cold {
            self.counts.most_cold = self.counts.most_cold.max(running);
        }
        if running > capacity {
            self.counts.falls += 1;
            self.down_until = Instant::now() + Duration::from_millis(self.options.fallen_ms);
            return false;
        }

        self.counts.running = running;
        self.counts.most = self.counts.most.max(running);
        true
    }
}

/// Running request; updates the counters when it is dropped, at its end or when the caller
/// disconnects.
struct RunningRequest {
    state: Shared,
    /// Time to the first token.
    first_token_delay: Duration,
    /// Time between tokens.
    token_interval: Duration,
    /// Whether the response was produced completely.
    is_completed: bool,
}

impl RunningRequest {
    fn admit(state: &Shared) -> Option<Self> {
        let mut locked = lock(state);
        locked.admit().then(|| Self {
            state: state.clone(),
            first_token_delay: Duration::from_millis(locked.options.first_token_ms),
            token_interval: Duration::from_millis(locked.options.token_ms),
            is_completed: false,
        })
    }

    fn mark_completed(&mut self) {
        self.is_completed = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.counts.running -= 1;
        if self.is_completed {
            state.counts.served += 1;
        } else {
            state.counts.cancelled += 1;
        }
    }
}

/// Answers a completion request after the time that its tokens take.
async fn complete(mut running: RunningRequest, completion: Completion) -> Response<BoxBody> {
    let count = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let words = prompt_words(&completion);
    let model = completion.model;
    tokio::time::sleep(running.first_token_delay).await;
    if completion.stream {
        return stream_completion(running, words, model, count);
    }

    tokio::time::sleep(running.token_interval * (count - 1) as u32).await;
    let tokens: Vec<&str> = (0..count).map(|n| nth_word(&words, n)).collect();
    running.mark_completed();
    json_response(&json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{ "message": { "role": "assistant", "content": tokens.join(" ") } }],
        "usage": { "completion_tokens": count },
    }))
}

/// Answers a completion request as a stream of server-sent events, one per token.
fn stream_completion(
    running: RunningRequest,
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
                    "choices": [{ "delta": { "content": format!("{} ", nth_word(&words, n)) } }],
                });
                format!("data: {chunk}\n\n")
            }
            n if n == count => "data: [DONE]\n\n".to_owned(),
            _ => String::new(),
        };
        async move {
            if line.is_empty() {
                running.mark_completed();
                return None;
            }
            if n > 0 && n < count {
                tokio::time::sleep(running.token_interval).await;
            }
            Some((Ok::<_, io::Error>(Bytes::from(line)), (running, n + 1)))
        }
    });
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .body(BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

/// Returns the words of the prompt, which the response repeats.
fn prompt_words(completion: &Completion) -> Vec<String> {
    let contents = completion.messages.iter().map(|message| message.content.as_str());
    let words: Vec<String> = contents
        .chain(std::iter::once(completion.prompt.as_str()))
        .flat_map(str::split_whitespace)
        .map(str::to_owned)
        .collect();

    if words.is_empty() { vec!["empty".to_owned()] } else { words }
}

/// Returns word `n` of the endless repetition of `words`.
fn nth_word(words: &[String], n: u64) -> &str {
    &words[n as usize % words.len()]
}
