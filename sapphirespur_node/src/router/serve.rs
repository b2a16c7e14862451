//! Task that serves one request, from its receipt to its final answer.

use awc::Client;
use sapphirespur_core::request::{AttemptId, RequestHead, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::router::answer_sender::AnswerSender;
use crate::router::attempt::{Attempt, AttemptOutcome};
use crate::router::command::{Command, Reply};
use crate::router::parse::UpstreamCall;

/// Task that serves one request, in as many attempts as the control thread decides.
pub(super) struct RequestTask {
    /// HTTP client of the traffic thread.
    pub client: Client,
    /// Clock of the process.
    pub clock: Clock,
    /// Channel to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Number of the request within this router.
    pub id: RequestId,
    /// Identifier of the request, forwarded in the `X-Request-Id` header.
    pub request_id: String,
    /// Call that the sidecar sends to the upstream.
    pub call: UpstreamCall,
}

impl RequestTask {
    /// Serves the request until its answer ends or the caller disconnects.
    pub async fn run(self, head: RequestHead, mut answer: AnswerSender) {
        let (reply, mut replies) = mpsc::unbounded_channel();
        self.send_command(Command::Request { id: self.id, head, reply });

        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = answer.closed() => {
                    self.send_command(Command::Cancelled { id: self.id });
                    return;
                }
            };
            match reply {
                Some(Reply::Dispatch(dispatch)) => {
                    if self.attempt(&dispatch, &mut answer).await {
                        return;
                    }
                }
                Some(Reply::Refuse(refusal)) => {
                    answer.refuse(refusal).await;
                    return;
                }
                // The control thread has stopped, which happens at process exit.
                None => return,
            }
        }
    }

    /// Runs one attempt and returns whether the request has ended.
    async fn attempt(&self, dispatch: &Dispatch, answer: &mut AnswerSender) -> bool {
        log::debug!(
            request_id = self.request_id.as_str(),
            upstream = dispatch.upstream.as_str(),
            attempt = dispatch.attempt.to_string().as_str();
            "attempt started"
        );
        let attempt = Attempt {
            client: &self.client,
            clock: self.clock,
            dispatch,
            call: &self.call,
            request_id: &self.request_id,
        };
        let on_delivering = || self.send_attempt_event(dispatch.attempt, AttemptEvent::Delivering);
        let outcome = attempt.run(answer, on_delivering).await;

        let event = match outcome {
            AttemptOutcome::Finished => AttemptEvent::Finished,
            AttemptOutcome::Refused(refusal) if !answer.has_started() => {
                AttemptEvent::Refused(refusal)
            }
            AttemptOutcome::Refused(_) | AttemptOutcome::Lost => AttemptEvent::AnswerLost,
            AttemptOutcome::NeverStarted => AttemptEvent::NeverStarted,
            AttemptOutcome::CallerDisconnected => {
                self.send_command(Command::Cancelled { id: self.id });
                attempt.cancel().await;
                return true;
            }
        };
        self.send_attempt_event(dispatch.attempt, event);
        outcome == AttemptOutcome::Finished
    }

    fn send_attempt_event(&self, attempt: AttemptId, event: AttemptEvent) {
        self.send_command(Command::Attempt { id: self.id, attempt, event });
    }

    fn send_command(&self, command: Command) {
        // Fails only when the control thread has stopped, which happens at process exit.
        let _ = self.commands.send(command);
    }
}
