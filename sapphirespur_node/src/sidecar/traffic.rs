//! Attempts of routers on a traffic thread.

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
use crate::sidecar::channel::{AnswerChannel, Read};
use crate::sidecar::command::Command;
use crate::sidecar::registry::Registry;
use crate::sidecar::serve::Serving;
use crate::sidecar::upstream::{Call, Client, Unit};

/// Largest body of an attempt, in bytes; routers have their own, lower limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Prefix of the paths of attempts.
const ATTEMPT_PREFIX: &str = "/attempts/";

/// Failure of a connection to a router.
#[derive(Debug, Error)]
enum SendError {
    /// The requested frames are no longer kept.
    #[error("the requested frames are no longer kept")]
    Lost,
    /// A frame cannot be encoded.
    #[error("a frame cannot be encoded: {0}")]
    Encoding(#[from] std::io::Error),
}

/// What the traffic threads share.
#[derive(Clone)]
pub(super) struct Shared {
    /// Way to the control thread.
    pub commands: UnboundedSender<Command>,
    /// Answers of all attempts.
    pub registry: Registry,
    /// URL of the upstream.
    pub base: Arc<str>,
}

/// Traffic of one thread.
#[derive(Clone)]
pub(super) struct Traffic {
    shared: Shared,
    client: Client,
}

impl Traffic {
    /// Creates the traffic of a thread.
    pub fn new(shared: Shared, client: Client) -> Self {
        Self { shared, client }
    }

    /// Answers a router's request.
    pub async fn handle(self, req: Request) -> Response<BoxBody> {
        let Some(attempt) = req.path().strip_prefix(ATTEMPT_PREFIX).and_then(AttemptId::parse)
        else {
            return text_response(StatusCode::NOT_FOUND, "unknown path\n");
        };

        match *req.method() {
            Method::POST => self.start(attempt, req).await,
            Method::GET => self.resume(attempt, &req).await,
            Method::DELETE => {
                self.tell(Command::Cancel { attempt });
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
        let Some(answer) = self.shared.registry.add(attempt) else {
            return text_response(StatusCode::CONFLICT, "the attempt has started\n");
        };

        let response = frames(attempt, answer.clone(), 0);
        let serving = Serving {
            client: self.client,
            base: self.shared.base,
            commands: self.shared.commands,
            registry: self.shared.registry,
            answer,
            call,
        };
        actix_rt::spawn(serving.run(start));
        response
    }

    async fn resume(self, attempt: AttemptId, req: &Request) -> Response<BoxBody> {
        let query = req.uri().query().unwrap_or_default();
        let (Some(from), Some(permit)) =
            (query_number(query, "from"), query_number(query, "permit"))
        else {
            return text_response(StatusCode::BAD_REQUEST, "parameters are missing\n");
        };
        if let Some(answer) = self.shared.registry.get(attempt) {
            if answer.can_resume(from) {
                return frames(attempt, answer, from);
            }
            return text_response(StatusCode::GONE, "the frames are no longer kept\n");
        }

        let (reply, status) = oneshot::channel();
        self.tell(Command::Ask { attempt, permit, reply });
        match status.await {
            Ok(AttemptStatus::NeverStarted) => {
                text_response(StatusCode::NOT_FOUND, "the attempt never started\n")
            }
            Ok(AttemptStatus::Running | AttemptStatus::Unknown) | Err(_) => {
                text_response(StatusCode::GONE, "the attempt may have run\n")
            }
        }
    }

    fn tell(&self, command: Command) {
        // The control thread ends only with the process.
        let _ = self.shared.commands.send(command);
    }
}

/// Answers an operator's request.
pub(super) async fn admin(commands: UnboundedSender<Command>, req: Request) -> Response<BoxBody> {
    match req.path() {
        "/healthz" => return text_response(StatusCode::OK, "ok\n"),
        "/status" => {}
        _ => return text_response(StatusCode::NOT_FOUND, "unknown path\n"),
    }

    let (reply, status) = oneshot::channel();
    // The control thread ends only with the process.
    let _ = commands.send(Command::Status { reply });
    match status.await {
        Ok(status) => json_response(&status),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n"),
    }
}

fn query_number(query: &str, key: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));

    pairs.into_iter().find(|(name, _)| *name == key).and_then(|(_, value)| value.parse().ok())
}

fn parse_start(
    attempt: AttemptId,
    headers: &HeaderMap,
    body: Bytes,
) -> Option<(AttemptStart, Call)> {
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
        "tokens" => Unit::Tokens,
        _ => Unit::Calls,
    };

    let upstream_call = Call {
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

/// Reader of an answer on one connection.
struct Reader {
    attempt: AttemptId,
    answer: Arc<AnswerChannel>,
    next: u64,
    is_first: bool,
    is_over: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.remove_reader();
    }
}

/// Returns a response that streams the frames of an answer from number `from`.
fn frames(attempt: AttemptId, answer: Arc<AnswerChannel>, from: u64) -> Response<BoxBody> {
    answer.add_reader();
    let reader = Reader { attempt, answer, next: from, is_first: true, is_over: false };

    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/octet-stream"))
        .body(BodyStream::new(Box::pin(stream_of(reader))))
        .map_into_boxed_body()
}

fn stream_of(reader: Reader) -> impl Stream<Item = Result<Bytes, SendError>> {
    stream::unfold(reader, |mut reader| async move {
        if reader.is_over {
            return None;
        }

        let chunk = reader.next_chunk().await;
        reader.is_over |= chunk.is_err();
        Some((chunk, reader))
    })
}

impl Reader {
    /// Returns the frames that are there, or a sign of life when there are none for long.
    async fn next_chunk(&mut self) -> Result<Bytes, SendError> {
        const MAX_CHUNK_BYTES: usize = 64 * 1024;

        if !self.is_first {
            self.answer.wait_for_frame(self.next, KEEP_ALIVE_INTERVAL).await;
        }
        self.is_first = false;

        let mut buf = BytesMut::new();
        while buf.len() < MAX_CHUNK_BYTES {
            match self.answer.read(self.next) {
                Read::Frame(body) => {
                    self.encode(body, &mut buf)?;
                    self.next += 1;
                }
                Read::Empty => break,
                Read::End => {
                    self.encode(FrameBody::End, &mut buf)?;
                    self.is_over = true;
                    break;
                }
                Read::Lost => return Err(SendError::Lost),
            }
        }
        if buf.is_empty() {
            self.encode(FrameBody::KeepAlive, &mut buf)?;
        }
        Ok(buf.freeze())
    }

    fn encode(&self, body: FrameBody, buf: &mut BytesMut) -> Result<(), SendError> {
        let frame = Frame { attempt: self.attempt, number: self.next, body };

        Ok(LengthDelimitedCodec::new().encode(Bytes::from(frame.to_bytes()), buf)?)
    }
}
