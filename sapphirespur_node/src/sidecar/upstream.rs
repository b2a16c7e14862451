//! Call of one attempt to the upstream.
//!
//! Calls are sent with `hyper`, because `awc` reports a body as complete when its connection ends
//! before the last chunk.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as LegacyClient;
use hyper_util::rt::TokioExecutor;
use sapphirespur_core::at_most_once::RecordedResponse;
use sapphirespur_core::sidecar::{UpstreamEvent, UpstreamFailure};
use sapphirespur_wire::FrameBody;
use serde::Deserialize;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};

use crate::edge::hop_headers::{has_lost_body, is_framed};
use crate::http::{RequestProgress, header};
use crate::sidecar::answer_channel::AnswerChannel;
use crate::sidecar::upstream_connector::UpstreamConnector;

/// Largest response that is recorded for repeats, in bytes.
const MAX_RECORDED_BYTES: usize = 16 * 1024;

/// Largest response body that is retained to read its token usage, in bytes.
const MAX_USAGE_BYTES: usize = 4 * 1024 * 1024;

/// Longest line of an event stream, in bytes; the line is kept until it ends.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Time without data from the upstream after which its response counts as incomplete.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// HTTP client for calls to the upstream.
pub(super) type Client = LegacyClient<UpstreamConnector, Full<Bytes>>;

/// Unit in which the cost of a call is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CostUnit {
    /// Tokens that a model generates.
    Tokens,
    /// Calls to a plain service.
    Calls,
}

/// Call to send to the upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamCall {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path at the upstream, with the query.
    pub path: String,
    /// Value of the `Content-Type` header, if present.
    pub content_type: Option<String>,
    /// Value of the caller's `Idempotency-Key` header, if present.
    pub idempotency_key: Option<String>,
    /// Identifier of the request, sent in the `X-Request-Id` header.
    pub request_id: String,
    /// Unit in which its cost is counted.
    pub unit: CostUnit,
    /// Whether the call may be repeated; if so, status 429 or 503 is taken to mean it did not run.
    pub may_repeat: bool,
    /// Whether the response is recorded for repeats.
    pub is_recorded: bool,
    /// Body of the call.
    pub body: Bytes,
}

/// Token usage in a model's response.
#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Fields of a model's complete response that its cost is read from.
#[derive(Debug, Deserialize)]
struct Completion {
    usage: Option<Usage>,
}

/// Inspects a response as it is received: counts tokens and retains the body where needed.
struct ResponseInspector {
    unit: CostUnit,
    is_stream: bool,
    /// Decoder that splits an event stream into lines.
    lines: LinesCodec,
    /// Received data of an event stream that is not yet split into lines.
    buf: BytesMut,
    /// Body received so far; `None` when it is not needed or exceeds `MAX_USAGE_BYTES`.
    body: Option<BytesMut>,
    /// Whether the end marker of an event stream was received.
    has_end_marker: bool,
}

/// Returns a client for the upstream.
pub(super) fn new_client() -> Client {
    LegacyClient::builder(TokioExecutor::new()).build(UpstreamConnector::new())
}

/// Sends the call, forwards its response to `answer` and returns the result.
///
/// `on_tokens` is called with the number of tokens in each chunk that has any.
pub(super) async fn run(
    client: &Client,
    base: &str,
    call: &UpstreamCall,
    answer: &AnswerChannel,
    mut on_tokens: impl FnMut(u32),
) -> UpstreamEvent {
    let mut response = match send(client, base, call).await {
        Ok(response) => response,
        Err(failure) => return UpstreamEvent::Failed(failure),
    };
    let status = response.status().as_u16();
    if call.may_repeat && matches!(status, 429 | 503) {
        return UpstreamEvent::Failed(UpstreamFailure::Overloaded);
    }
    // Nobody has asked for another protocol.
    if response.status().is_informational() {
        return UpstreamEvent::Failed(UpstreamFailure::Incomplete);
    }

    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    answer.push(FrameBody::Head { status, content_type: content_type.clone() });
    let mut inspector = ResponseInspector::new(call, &content_type);
    let request = response.extensions().get::<RequestProgress>().cloned();
    let request = request.filter(|_| !is_framed(response.headers()));
    let may_have_lost_body = has_lost_body(&call.method, response.status(), response.headers());
    let mut is_empty = true;
    loop {
        answer.wait_for_capacity().await;
        let frame = tokio::time::timeout(IDLE_TIMEOUT, response.body_mut().frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                let Ok(chunk) = frame.into_data() else { continue };
                is_empty &= chunk.is_empty();
                let Ok(tokens) = inspector.on_chunk(&chunk) else {
                    return UpstreamEvent::Failed(UpstreamFailure::Incomplete);
                };
                if tokens > 0 {
                    on_tokens(tokens);
                }
                answer.push(FrameBody::Data(chunk.to_vec()));
            }
            Ok(Some(Err(_))) | Err(_) => return UpstreamEvent::Failed(UpstreamFailure::Incomplete),
            Ok(None) => {
                let ends_too_early = request.as_ref().is_some_and(RequestProgress::is_writing);
                if is_empty && may_have_lost_body || ends_too_early {
                    return UpstreamEvent::Failed(UpstreamFailure::Incomplete);
                }
                break;
            }
        }
    }

    inspector.finish(call, status, content_type)
}

async fn send(
    client: &Client,
    base: &str,
    call: &UpstreamCall,
) -> Result<Response<Incoming>, UpstreamFailure> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("{base}{}", call.path))
        .header(header::REQUEST_ID, call.request_id.as_str());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type.as_str());
    }
    if let Some(key) = &call.idempotency_key {
        request = request.header(header::IDEMPOTENCY_KEY, key.as_str());
    }
    // A request with an invalid path or header cannot be built, so it was not sent.
    let request =
        request.body(Full::new(call.body.clone())).map_err(|_| UpstreamFailure::NotSent)?;

    match tokio::time::timeout(IDLE_TIMEOUT, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(e)) if e.is_connect() => Err(UpstreamFailure::NotSent),
        Ok(Err(_)) | Err(_) => Err(UpstreamFailure::Incomplete),
    }
}

impl ResponseInspector {
    fn new(call: &UpstreamCall, content_type: &str) -> Self {
        let is_stream = content_type.starts_with("text/event-stream");
        let retains_body = !is_stream && (call.is_recorded || call.unit == CostUnit::Tokens);

        Self {
            unit: call.unit,
            is_stream,
            lines: LinesCodec::new_with_max_length(MAX_LINE_BYTES),
            buf: BytesMut::new(),
            body: retains_body.then(BytesMut::new),
            has_end_marker: false,
        }
    }

    /// Inspects a chunk and returns the number of tokens in it.
    ///
    /// # Errors
    ///
    /// Returns an error when an event stream has a line that is too long.
    fn on_chunk(&mut self, chunk: &[u8]) -> Result<u32, LinesCodecError> {
        if let Some(body) = &mut self.body {
            body.extend_from_slice(chunk);
            if body.len() > MAX_USAGE_BYTES {
                self.body = None;
            }
        }
        if !self.is_stream || self.unit == CostUnit::Calls {
            return Ok(0);
        }

        self.buf.extend_from_slice(chunk);
        let mut tokens = 0;
        loop {
            match self.lines.decode(&mut self.buf) {
                Ok(Some(line)) => match line.strip_prefix("data:").map(str::trim) {
                    Some("[DONE]") => self.has_end_marker = true,
                    Some(_) => tokens += 1,
                    None => {}
                },
                Ok(None) => return Ok(tokens),
                Err(e @ LinesCodecError::MaxLineLengthExceeded) => return Err(e),
                // A line that is no text has no tokens.
                Err(LinesCodecError::Io(_)) => {}
            }
        }
    }

    /// Returns the result of a call whose response has ended.
    fn finish(self, call: &UpstreamCall, status: u16, content_type: String) -> UpstreamEvent {
        // A model's event stream that ends without its end marker was truncated.
        if self.is_stream && self.unit == CostUnit::Tokens && !self.has_end_marker {
            return UpstreamEvent::Failed(UpstreamFailure::Incomplete);
        }

        let cost = match (&self.body, self.unit) {
            (Some(body), CostUnit::Tokens) => serde_json::from_slice::<Completion>(body)
                .ok()
                .and_then(|completion| completion.usage)
                .map(|usage| usage.completion_tokens),
            _ => None,
        };
        let response = self
            .body
            .filter(|body| call.is_recorded && body.len() <= MAX_RECORDED_BYTES)
            .and_then(|body| String::from_utf8(body.to_vec()).ok())
            .map(|body| RecordedResponse { status, content_type, body });
        UpstreamEvent::Finished { cost, response }
    }
}
