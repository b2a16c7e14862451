//! HTTP handler for routers' attempts on a traffic thread.

use std::sync::Arc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::HeaderMap;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use sapphirespur_core::answer::KEEP_ALIVE_INTERVAL;
use sapphirespur_core::request::{AttemptId, Repeatability};
use sapphirespur_core::sidecar::{AttemptStart, AttemptStatus};
use sapphirespur_wire::{Frame, FrameBody};
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

use crate::clock::wall_s;
use crate::http::{header, header_text, json_response, read_body, text_response};
use crate::sidecar::answer_channel::{AnswerChannel, ReadResult};
use crate::sidecar::answer_registry::AnswerRegistry;
use crate::sidecar::command::Command;
use crate::sidecar::serve::AttemptTask;
use crate::sidecar::upstream::{Client, CostUnit, UpstreamCall};

/// Largest accepted body of an attempt, in bytes; routers enforce their own, lower limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Path prefix of attempts, followed by the attempt's identifier.
const ATTEMPT_PREFIX: &str = "/attempts/";

/// Failure while an answer is streamed to a router.
#[derive(Debug, Error)]
enum StreamError {
    /// The requested frames are no longer retained.
    #[error("requested frames are no longer retained")]
    FramesEvicted,
    /// A frame cannot be encoded.
    #[error("failed to encode a frame: {0}")]
    Encoding(#[from] std::io::Error),
}

/// State that the traffic threads share.
#[derive(Clone)]
pub(super) struct SharedState {
    /// Channel to the control thread.
    pub commands: UnboundedSender<Command>,
    /// Answers of all attempts, running and recently ended.
    pub registry: AnswerRegistry,
    /// Base URL of the upstream.
    pub base_url: Arc<str>,
}

/// Handler of one traffic thread.
#[derive(Clone)]
pub(super) struct TrafficHandler {
    shared: SharedState,
    client: Client,
}

impl TrafficHandler {
    /// Creates the handler of a thread with its HTTP client.
    pub fn new(shared: SharedState, client: Client) -> Self {
        Self { shared, client }
    }

    /// Handles a router's request to start, resume or cancel an attempt.
    pub async fn handle(self, req: Request) -> Response<BoxBody> {
        let Some(attempt) = req.path().strip_prefix(ATTEMPT_PREFIX).and_then(AttemptId::parse)
        else {
            return text_response(StatusCode::NOT_FOUND, "unknown path\n");
        };

        match *req.method() {
            Method::POST => self.start(attempt, req).await,
            Method::GET => self.resume(attempt, &req).await,
            Method::DELETE => {
                self.send_command(Command::Cancel { attempt });
                text_response(StatusCode::OK, "cancelled\n")
            }
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "unknown method\n"),
        }
    }

    async fn start(self, attempt: AttemptId, mut req: Request) -> Response<BoxBody> {
        let payload = req.take_payload();
        let Ok(body) = read_body(payload, MAX_BODY_BYTES).await else {
            return text_response(StatusCode::BAD_REQUEST, "the body is not whole\n");
        };
        let Some((start, call)) = parse_start(attempt, req.head().headers(), body) else {
            return text_response(StatusCode::BAD_REQUEST, "headers are missing\n");
        };
        let Some(answer) = self.shared.registry.insert(attempt) else {
            return text_response(StatusCode::CONFLICT, "the attempt has started\n");
        };

        let response = frame_response(attempt, answer.clone(), 0);
        let task = AttemptTask {
            client: self.client,
            base_url: self.shared.base_url,
            commands: self.shared.commands,
            registry: self.shared.registry,
            answer,
            call,
        };
        actix_rt::spawn(task.run(start));
        response
    }

    async fn resume(self, attempt: AttemptId, req: &Request) -> Response<BoxBody> {
        let query = req.uri().query().unwrap_or_default();
        let (Some(from), Some(permit)) = (query_param(query, "from"), query_param(query, "permit"))
        else {
            return text_response(StatusCode::BAD_REQUEST, "parameters are missing\n");
        };
        if let Some(answer) = self.shared.registry.get(attempt) {
            if answer.can_resume(from) {
                return frame_response(attempt, answer, from);
            }
            return text_response(StatusCode::GONE, "the frames are no longer kept\n");
        }

        let (reply, status) = oneshot::channel();
        self.send_command(Command::Query { attempt, permit, reply });
        match status.await {
            Ok(AttemptStatus::NeverStarted) => {
                text_response(StatusCode::NOT_FOUND, "the attempt never started\n")
            }
            Ok(AttemptStatus::Running | AttemptStatus::Unknown) | Err(_) => {
                text_response(StatusCode::GONE, "the attempt may have run\n")
            }
        }
    }

    fn send_command(&self, command: Command) {
        // Fails only when the control thread has stopped, which happens at process exit.
        let _ = self.shared.commands.send(command);
    }
}

/// Handles an operator's request: `/status` returns the sidecar's status as JSON.
pub(super) async fn handle_admin(
    commands: UnboundedSender<Command>,
    req: Request,
) -> Response<BoxBody> {
    match req.path() {
        "/healthz" => return text_response(StatusCode::OK, "ok\n"),
        "/status" => {}
        _ => return text_response(StatusCode::NOT_FOUND, "unknown path\n"),
    }

    let (reply, status) = oneshot::channel();
    // Fails only when the control thread has stopped, which happens at process exit.
    let _ = commands.send(Command::Status { reply });
    match status.await {
        Ok(status) => json_response(&status),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n"),
    }
}

/// Returns the number in the first query parameter named `key`; `None` when absent or malformed.
fn query_param(query: &str, key: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));

    pairs.into_iter().find(|(name, _)| *name == key).and_then(|(_, value)| value.parse().ok())
}

/// Parses the headers of an attempt; returns `None` when one is missing or malformed.
fn parse_start(
    attempt: AttemptId,
    headers: &HeaderMap,
    body: Bytes,
) -> Option<(AttemptStart, UpstreamCall)> {
    let text = |name| header_text(headers, name);
    let repeatability = match text(header::CALL)? {
        "idempotent" => Repeatability::Idempotent,
        "single" => Repeatability::NonIdempotent,
        "once" => Repeatability::Once {
            key: text(header::ONCE_KEY)?.to_owned(),
            fingerprint: text(header::FINGERPRINT)?.to_owned(),
        },
        _ => return None,
    };
    let unit = match text(header::UNIT)? {
        "tokens" => CostUnit::Tokens,
        _ => CostUnit::Calls,
    };

    let upstream_call = UpstreamCall {
        method: hyper::Method::from_bytes(text(header::METHOD)?.as_bytes()).ok()?,
        path: text(header::PATH)?.to_owned(),
        content_type: text("content-type").map(str::to_owned),
        idempotency_key: text(header::IDEMPOTENCY_KEY).map(str::to_owned),
        request_id: text(header::REQUEST_ID).unwrap_or_default().to_owned(),
        unit,
        may_repeat: repeatability == Repeatability::Idempotent,
        is_recorded: matches!(repeatability, Repeatability::Once { .. }),
        body,
    };
    let start = AttemptStart {
        attempt,
        permit: text(header::PERMIT)?.parse().ok()?,
        cost: text(header::COST)?.parse().ok()?,
        repeatability,
        wall_s: wall_s(),
    };
    Some((start, upstream_call))
}

/// Reader of an answer for one connection.
struct ConnectionReader {
    attempt: AttemptId,
    answer: Arc<AnswerChannel>,
    /// Number of the next frame to send.
    next: u64,
    /// Whether no chunk was returned yet; the first one is returned without waiting for a frame.
    is_first: bool,
    is_finished: bool,
}

impl Drop for ConnectionReader {
    fn drop(&mut self) {
        self.answer.remove_reader();
    }
}

/// Returns a response that streams an answer, starting with frame `from`.
fn frame_response(attempt: AttemptId, answer: Arc<AnswerChannel>, from: u64) -> Response<BoxBody> {
    answer.add_reader();
    let reader =
        ConnectionReader { attempt, answer, next: from, is_first: true, is_finished: false };

    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/octet-stream"))
        .body(BodyStream::new(Box::pin(frame_stream(reader))))
        .map_into_boxed_body()
}

fn frame_stream(reader: ConnectionReader) -> impl Stream<Item = Result<Bytes, StreamError>> {
    stream::unfold(reader, |mut reader| async move {
        if reader.is_finished {
            return None;
        }

        let chunk = reader.next_chunk().await;
        reader.is_finished |= chunk.is_err();
        Some((chunk, reader))
    })
}

impl ConnectionReader {
    /// Returns the available frames, or a keep-alive when none is written in `KEEP_ALIVE_INTERVAL`.
    ///
    /// The first call does not wait, so that the response starts at once.
    async fn next_chunk(&mut self) -> Result<Bytes, StreamError> {
        const MAX_CHUNK_BYTES: usize = 64 * 1024;

        if !self.is_first {
            self.answer.wait_for_frame(self.next, KEEP_ALIVE_INTERVAL).await;
        }
        self.is_first = false;

        let mut buf = BytesMut::new();
        while buf.len() < MAX_CHUNK_BYTES {
            match self.answer.read(self.next) {
                ReadResult::Frame(body) => {
                    self.encode(body, &mut buf)?;
                    self.next += 1;
                }
                ReadResult::Empty => break,
                ReadResult::End => {
                    self.encode(FrameBody::End, &mut buf)?;
                    self.is_finished = true;
                    break;
                }
                ReadResult::Evicted => return Err(StreamError::FramesEvicted),
            }
        }
        if buf.is_empty() {
            self.encode(FrameBody::KeepAlive, &mut buf)?;
        }
        Ok(buf.freeze())
    }

    fn encode(&self, body: FrameBody, buf: &mut BytesMut) -> Result<(), StreamError> {
        let frame = Frame { attempt: self.attempt, number: self.next, body };

        Ok(LengthDelimitedCodec::new().encode(Bytes::from(frame.to_bytes()), buf)?)
    }
}
