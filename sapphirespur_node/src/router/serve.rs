//! Task that serves one request from its admission to its final answer.

use awc::Client;
use sapphirespur_core::request::{AttemptId, RequestHead, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::router::attempt::{Attempt, AttemptEnd};
use crate::router::caller::Caller;
use crate::router::command::{Command, Reply};
use crate::router::parse::UpstreamCall;

/// Request with all that serving it needs.
pub(super) struct Serving {
    /// Client of the traffic thread.
    pub client: Client,
    /// Clock of the process.
    pub clock: Clock,
    /// Way to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Number of the request.
    pub id: RequestId,
    /// Identifier that follows the request.
    pub request_id: String,
    /// Call to the upstream.
    pub call: UpstreamCall,
}

impl Serving {
    /// Serves the request; attempts follow each other as the control thread decides.
    pub async fn run(self, head: RequestHead, mut caller: Caller) {
        let (reply, mut replies) = mpsc::unbounded_channel();
        self.tell(Command::Request { id: self.id, head, reply });

        loop {
            let reply = tokio::select! {
                reply = replies.recv() => reply,
                () = caller.gone() => {
                    self.tell(Command::Cancelled { id: self.id });
                    return;
                }
            };
            match reply {
                Some(Reply::Dispatch(dispatch)) => {
                    if self.attempt(&dispatch, &mut caller).await {
                        return;
                    }
                }
                Some(Reply::Refuse(refusal)) => {
                    caller.refuse(refusal).await;
                    return;
                }
                // The control thread ends only with the process.
                None => return,
            }
        }
    }

    /// Makes one attempt and tells whether the request is over.
    async fn attempt(&self, dispatch: &Dispatch, caller: &mut Caller) -> bool {
        log::debug!(
            request_id = self.request_id.as_str(),
            upstream = dispatch.upstream.as_str(),
            attempt = dispatch.attempt.to_string().as_str();
            "an attempt starts"
        );
        let attempt = Attempt {
            client: &self.client,
            clock: self.clock,
            dispatch,
            call: &self.call,
            request_id: &self.request_id,
        };
        let on_delivering = || self.tell_attempt(dispatch.attempt, AttemptEvent::Delivering);
        let end = attempt.run(caller, on_delivering).await;

        let event = match end {
            AttemptEnd::Finished => AttemptEvent::Finished,
            AttemptEnd::Refused(refusal) if !caller.has_started() => AttemptEvent::Refused(refusal),
            AttemptEnd::Refused(_) | AttemptEnd::Lost => AttemptEvent::AnswerLost,
            AttemptEnd::NeverStarted => AttemptEvent::NeverStarted,
            AttemptEnd::CallerGone => {
                self.tell(Command::Cancelled { id: self.id });
                attempt.cancel().await;
                return true;
            }
        };
        self.tell_attempt(dispatch.attempt, event);
        end == AttemptEnd::Finished
    }

    fn tell_attempt(&self, attempt: AttemptId, event: AttemptEvent) {
        self.tell(Command::Attempt { id: self.id, attempt, event });
    }

    fn tell(&self, command: Command) {
        // The control thread ends only with the process.
        let _ = self.commands.send(command);
    }
}
