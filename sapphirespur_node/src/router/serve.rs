//! Task that serves one request, from its receipt to its final answer.

use std::time::Duration;

use awc::Client;
use sapphirespur_core::request::{AttemptId, Refusal, RefusalCode, RequestHead, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::router::answer_sender::AnswerSender;
use crate::router::attempt::{Attempt, AttemptOutcome};
use crate::router::command::{Command, Reply};
use crate::router::parse::UpstreamCall;

/// Time after which a caller whose request was not run may retry it at another router.
const STOPPED_RETRY: Duration = Duration::from_millis(300);

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
    /// Cancelled when requests that are left get their final answer, since the process exits.
    pub answers_due: CancellationToken,
}

impl RequestTask {
    /// Serves the request until its answer ends, the caller disconnects or the process is about to exit.
    pub async fn run(self, head: RequestHead, mut answer: AnswerSender) {
        let mut may_have_run = false;
        tokio::select! {
            () = self.serve(head, &mut answer, &mut may_have_run) => return,
            () = self.answers_due.cancelled() => {}
        }
        let refusal = if may_have_run {
            Refusal::outcome_unknown(RefusalCode::AnswerLost)
        } else {
            Refusal::retryable(RefusalCode::NotReady, STOPPED_RETRY)
        };
        answer.refuse(refusal).await;
    }

    /// Serves the request; keeps up to date whether it may have run.
    async fn serve(&self, head: RequestHead, answer: &mut AnswerSender, may_have_run: &mut bool) {
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
                    *may_have_run = true;
                    match self.attempt(&dispatch, answer).await {
                        AttemptOutcome::Finished | AttemptOutcome::CallerDisconnected => return,
                        AttemptOutcome::Refused(_) | AttemptOutcome::NeverStarted => {
                            *may_have_run = answer.has_started();
                        }
                        AttemptOutcome::Lost => {}
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

    /// Runs one attempt, reports its end to the control thread and returns it.
    async fn attempt(&self, dispatch: &Dispatch, answer: &mut AnswerSender) -> AttemptOutcome {
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
                return outcome;
            }
        };
        self.send_attempt_event(dispatch.attempt, event);
        outcome
    }

    fn send_attempt_event(&self, attempt: AttemptId, event: AttemptEvent) {
        self.send_command(Command::Attempt { id: self.id, attempt, event });
    }

    fn send_command(&self, command: Command) {
        // Fails only when the control thread has stopped, which happens at process exit.
        let _ = self.commands.send(command);
    }
}
