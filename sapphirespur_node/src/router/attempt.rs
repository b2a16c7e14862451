//! One attempt to serve a request through a sidecar.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse};
use sapphirespur_core::answer::{AnswerReader, FrameAction, Recovery};
use sapphirespur_core::config::Target;
use sapphirespur_core::request::{Refusal, Repeatability};
use sapphirespur_core::router::Dispatch;
use sapphirespur_wire::{Frame, FrameBody};

use crate::clock::Clock;
use crate::http::header;
use crate::router::answer_sender::{AnswerSender, CallerDisconnected};
use crate::router::frame_reader::FrameReader;
use crate::router::parse::UpstreamCall;

/// Delay before the next resumption after a connection to the sidecar failed.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// How an attempt ended, as observed by the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptOutcome {
    /// The complete answer was sent to the caller.
    Finished,
    /// The sidecar refused the attempt.
    Refused(Refusal),
    /// The sidecar could not be reached, or confirmed that the attempt will never start.
    NeverStarted,
    /// The answer was lost and could not be resumed; the call may have run.
    Lost,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Outcome of reading from one connection.
enum ConnectionOutcome {
    /// The attempt ended.
    Attempt(AttemptOutcome),
    /// The connection ended, timed out or lost frames; the answer may be resumed.
    Interrupted,
}

/// Attempt and what is needed to run it.
pub(super) struct Attempt<'a> {
    /// HTTP client of the traffic thread.
    pub client: &'a Client,
    /// Clock of the process.
    pub clock: Clock,
    /// Instruction of the control thread: attempt, permit and sidecar address.
    pub dispatch: &'a Dispatch,
    /// Call that the sidecar sends to the upstream.
    pub call: &'a UpstreamCall,
    /// Identifier of the request, forwarded in the `X-Request-Id` header.
    pub request_id: &'a str,
}

impl Attempt<'_> {
    /// Sends the attempt to the sidecar and forwards its answer to the caller.
    ///
    /// `on_delivering` is called once, after the head of the answer was sent to the caller.
    pub async fn run(
        &self,
        answer: &mut AnswerSender,
        mut on_delivering: impl FnMut(),
    ) -> AttemptOutcome {
        let mut reader = AnswerReader::new(self.clock.now(), self.dispatch.attempt);
        let mut connection = match self.open().await {
            Ok(connection) => Some(connection),
            Err(e) if is_unsent(&e) => return AttemptOutcome::NeverStarted,
            Err(_) => None,
        };

        loop {
            if let Some(connection) = connection.take() {
                match self.read(connection, &mut reader, answer, &mut on_delivering).await {
                    ConnectionOutcome::Attempt(outcome) => return outcome,
                    ConnectionOutcome::Interrupted => {}
                }
            }

            let Recovery::Resume { from } = reader.on_interrupted(self.clock.now()) else {
                return AttemptOutcome::Lost;
            };
            match self.resume(from).await {
                Ok(response) if response.status().is_success() => connection = Some(response),
                Ok(response) if response.status().as_u16() == 404 && from == 0 => {
                    return AttemptOutcome::NeverStarted;
                }
                Ok(_) => return AttemptOutcome::Lost,
                Err(_) => tokio::time::sleep(RESUME_DELAY).await,
            }
        }
    }

    /// Asks the sidecar to cancel the attempt, because the caller disconnected.
    pub async fn cancel(&self) {
        // If the request is lost, the sidecar cancels the attempt once nothing reads its answer.
        let _ = self.client.delete(self.url("")).send().await;
    }

    fn url(&self, query: &str) -> String {
        format!("http://{}/attempts/{}{query}", self.dispatch.address, self.dispatch.attempt)
    }

    async fn open(&self) -> Result<ClientResponse, SendRequestError> {
        let meta = &self.dispatch.meta;
        let unit = match meta.queue.target {
            Target::Model(_) => "tokens",
            Target::Service(_) => "calls",
        };
        let mut request = self
            .client
            .post(self.url(""))
            .insert_header((header::REQUEST_ID, self.request_id))
            .insert_header((header::PERMIT, self.dispatch.permit))
            .insert_header((header::COST, meta.cost))
            .insert_header((header::UNIT, unit))
            .insert_header((header::METHOD, self.call.method.as_str()))
            .insert_header((header::PATH, self.call.path.as_str()));
        if let Some(content_type) = &self.call.content_type {
            request = request.insert_header(("content-type", content_type.as_str()));
        }
        if let Some(key) = &self.call.idempotency_key {
            request = request.insert_header((header::IDEMPOTENCY_KEY, key.as_str()));
        }
        request = match &meta.repeatability {
            Repeatability::Idempotent => request.insert_header((header::CALL, "idempotent")),
            Repeatability::NonIdempotent => request.insert_header((header::CALL, "single")),
            Repeatability::Once { key, fingerprint } => request
                .insert_header((header::CALL, "once"))
                .insert_header((header::ONCE_KEY, key.as_str()))
                .insert_header((header::FINGERPRINT, fingerprint.as_str())),
        };

        request.send_body(self.call.body.clone()).await
    }

    async fn resume(&self, from: u64) -> Result<ClientResponse, SendRequestError> {
        let query = format!("?from={from}&permit={}", self.dispatch.permit);

        self.client.get(self.url(&query)).send().await
    }

    async fn read(
        &self,
        connection: ClientResponse,
        reader: &mut AnswerReader,
        answer: &mut AnswerSender,
        on_delivering: &mut impl FnMut(),
    ) -> ConnectionOutcome {
        if !connection.status().is_success() {
            return ConnectionOutcome::Interrupted;
        }
        let mut frames =
            FrameReader::new(connection.timeout(Duration::from_secs(u64::from(u32::MAX))));

        loop {
            let idle_deadline = self.clock.instant_at(reader.idle_deadline()).into();
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(idle_deadline, frames.next()) => frame,
                () = answer.closed() => {
                    return ConnectionOutcome::Attempt(AttemptOutcome::CallerDisconnected);
                }
            };
            let Ok(Ok(Some(frame))) = frame else { return ConnectionOutcome::Interrupted };

            let now = self.clock.now();
            match reader.on_frame(now, frame.attempt, frame.number, frame.kind()) {
                FrameAction::Drop => {}
                FrameAction::Resume => return ConnectionOutcome::Interrupted,
                FrameAction::Complete => {
                    return ConnectionOutcome::Attempt(AttemptOutcome::Finished);
                }
                FrameAction::Deliver => match deliver(frame, answer, on_delivering).await {
                    Ok(None) => {}
                    Ok(Some(refusal)) => {
                        return ConnectionOutcome::Attempt(AttemptOutcome::Refused(refusal));
                    }
                    Err(CallerDisconnected) => {
                        return ConnectionOutcome::Attempt(AttemptOutcome::CallerDisconnected);
                    }
                },
            }
        }
    }
}

/// Sends a frame's content to the caller, or returns the refusal that it holds.
async fn deliver(
    frame: Frame,
    answer: &mut AnswerSender,
    on_delivering: &mut impl FnMut(),
) -> Result<Option<Refusal>, CallerDisconnected> {
    match frame.body {
        FrameBody::Head { status, content_type } => {
            answer.start(status, content_type)?;
            on_delivering();
        }
        FrameBody::Data(data) => answer.send(data.into()).await?,
        FrameBody::Refused(refusal) => return Ok(Some(refusal)),
        FrameBody::KeepAlive | FrameBody::End => {}
    }

    Ok(None)
}

/// Returns an HTTP client for attempts.
///
/// Its timeout bounds the wait for the response head; `AnswerReader` times out the frames after it.
pub(super) fn new_client() -> Client {
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
    Client::builder()
        .connector(connector)
        .timeout(sapphirespur_core::answer::FRAME_TIMEOUT)
        .finish()
}

/// Returns whether a failure proves that nothing was sent.
///
/// The client also reports a reset after the request was sent as a connect error, so only some
/// connect errors count.
fn is_unsent(e: &SendRequestError) -> bool {
    let SendRequestError::Connect(e) = e else { return false };

    match e {
        ConnectError::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        ConnectError::Timeout | ConnectError::Unresolved | ConnectError::Resolver(_) => true,
        _ => false,
    }
}
