//! HTTP handler for callers' requests on a traffic thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use awc::Client;
use bytes::Bytes;
use futures::stream;
use sapphirespur_core::request::{Refusal, RefusalCode, RequestHead, RequestId};
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::http::{BodyError, header, header_text, problem_response, read_body, text_response};
use crate::router::answer_sender::{AnswerReceiver, AnswerSender, AnswerStart};
use crate::router::command::Command;
use crate::router::model_list;
use crate::router::parse::{self, Route, UpstreamCall};
use crate::router::serve::RequestTask;

/// Longest request identifier that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// State that the traffic threads share.
#[derive(Clone)]
pub(super) struct SharedState {
    /// Channel to the control thread.
    pub commands: UnboundedSender<Command>,
    /// Clock of the process.
    pub clock: Clock,
    /// Cancelled when requests that are left get their final answer, since the process exits.
    pub answers_due: CancellationToken,
    /// Whether the router accepts requests, as reported by `/readyz`.
    pub ready: Arc<AtomicBool>,
    /// Number of the next request within this router.
    pub next_id: Arc<AtomicU64>,
    /// Incarnation of the process; prefix of the request identifiers that it generates.
    pub incarnation: u64,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
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

    /// Answers a caller's request: a call, the model list or a health check.
    pub async fn handle(self, mut req: Request) -> Response<BoxBody> {
        let id = RequestId(self.shared.next_id.fetch_add(1, Ordering::Relaxed));
        let request_id = self.request_id(&req, id);
        let payload = req.take_payload();

        let route = match parse::route(req.head()) {
            Ok(Route::Health) => return text_response(StatusCode::OK, "ok\n"),
            Ok(Route::Ready) => return self.readiness(),
            Ok(Route::Models) => {
                return model_list::handle(&self.shared.commands, req.head(), &request_id).await;
            }
            Ok(route) => route,
            Err(code) => return problem_response(&Refusal::rejected(code), &request_id),
        };
        let body = match read_body(payload, self.shared.max_body_bytes).await {
            Ok(body) => body,
            Err(e) => return problem_response(&Refusal::rejected(refusal_code(&e)), &request_id),
        };
        match parse_call(&req, route, body) {
            Ok((head, call)) => self.serve(id, request_id, head, call).await,
            Err(code) => problem_response(&Refusal::rejected(code), &request_id),
        }
    }

    async fn serve(
        self,
        id: RequestId,
        request_id: String,
        head: RequestHead,
        call: UpstreamCall,
    ) -> Response<BoxBody> {
        let (answer, receiver) = AnswerSender::new();
        let task = RequestTask {
            client: self.client,
            clock: self.shared.clock,
            commands: self.shared.commands,
            id,
            request_id: request_id.clone(),
            call,
            answers_due: self.shared.answers_due,
        };
        actix_rt::spawn(task.run(head, answer));

        build_response(receiver, &request_id).await
    }

    fn readiness(&self) -> Response<BoxBody> {
        if self.shared.ready.load(Ordering::Relaxed) {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Returns the identifier that the caller sent, if it is valid, or a new one.
    fn request_id(&self, req: &Request, id: RequestId) -> String {
        let is_valid = |text: &&str| {
            !text.is_empty()
                && text.len() <= MAX_REQUEST_ID_BYTES
                && text.bytes().all(|b| b.is_ascii_graphic())
        };

        header_text(req.head().headers(), header::REQUEST_ID)
            .filter(is_valid)
            .map_or_else(|| format!("{:x}-{:x}", self.shared.incarnation, id.0), str::to_owned)
    }
}

fn parse_call(
    req: &Request,
    route: Route,
    body: Bytes,
) -> Result<(RequestHead, UpstreamCall), RefusalCode> {
    match route {
        Route::Model => parse::model_call(req.head(), body),
        Route::Service { name, path } => Ok(parse::service_call(req.head(), name, path, body)),
        Route::Models | Route::Health | Route::Ready => Err(RefusalCode::UnknownTarget),
    }
}

fn refusal_code(e: &BodyError) -> RefusalCode {
    match e {
        BodyError::TooLarge(_) => RefusalCode::BodyTooLarge,
        BodyError::Malformed(_) => RefusalCode::MalformedRequest,
    }
}

/// Waits for the start of the answer and returns a response that streams its body.
async fn build_response(receiver: AnswerReceiver, request_id: &str) -> Response<BoxBody> {
    let (status, content_type) = match receiver.start.await {
        Ok(AnswerStart::Head { status, content_type }) => (status, content_type),
        Ok(AnswerStart::Refused(refusal)) => return problem_response(&refusal, request_id),
        // The task that serves the request was dropped, which happens at process exit.
        Err(_) => {
            return problem_response(
                &Refusal::outcome_unknown(RefusalCode::AnswerLost),
                request_id,
            );
        }
    };

    let chunks = stream::unfold(receiver.chunks, |mut chunks| async move {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    });
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::build(status)
        .insert_header(("content-type", content_type))
        .insert_header((header::REQUEST_ID, request_id))
        .body(BodyStream::new(Box::pin(chunks)))
        .map_into_boxed_body()
}
