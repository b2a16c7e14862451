//! Task that serves one attempt, independently of the routers' connections.

use std::sync::Arc;
use std::time::Duration;

use sapphirespur_core::at_most_once::RecordedResponse;
use sapphirespur_core::request::{AttemptId, Refusal};
use sapphirespur_core::sidecar::{AttemptStart, UpstreamEvent};
use sapphirespur_wire::FrameBody;
use tokio::sync::mpsc::{self, UnboundedReceiver};

use crate::sidecar::answer_channel::AnswerChannel;
use crate::sidecar::answer_registry::AnswerRegistry;
use crate::sidecar::command::{Command, Reply};
use crate::sidecar::upstream::{self, Client, UpstreamCall};

/// Time between two checks whether the answer still has a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the answer of an ended attempt is retained for resumption.
const ANSWER_RETENTION: Duration = Duration::from_secs(15);

/// Serves one attempt: sends its call, writes its answer and reports to the control thread.
pub(super) struct AttemptTask {
    /// HTTP client of the traffic thread.
    pub client: Client,
    /// Base URL of the upstream.
    pub base_url: Arc<str>,
    /// Channel to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
    /// Registry that holds the answer of this attempt.
    pub registry: AnswerRegistry,
    /// Frames of this attempt's answer, read by routers.
    pub answer: Arc<AnswerChannel>,
    /// Call to send to the upstream.
    pub call: UpstreamCall,
}

impl AttemptTask {
    /// Serves the attempt as the control thread decides, then retains its answer for resumption.
    pub async fn run(self, start: AttemptStart) {
        let attempt = start.attempt;
        let (reply, mut replies) = mpsc::unbounded_channel();
        self.send_command(Command::Start { start, reply });

        if let Some(reply) = replies.recv().await {
            match reply {
                Reply::Call => self.call(attempt, &mut replies).await,
                Reply::Replay(response) => self.replay(response),
                Reply::Refuse(refusal) => self.refuse(refusal),
                Reply::Abort => {}
            }
        }

        tokio::time::sleep(ANSWER_RETENTION).await;
        self.registry.remove(attempt);
    }

    async fn call(&self, attempt: AttemptId, replies: &mut UnboundedReceiver<Reply>) {
        let on_tokens = |count| {
            self.send_command(Command::Upstream { attempt, event: UpstreamEvent::Tokens(count) });
        };
        let call = upstream::run(&self.client, &self.base_url, &self.call, &self.answer, on_tokens);
        let event = tokio::select! {
            event = call => event,
            // The only decision during a call is to abort it.
            _ = replies.recv() => return,
            () = self.cancel_when_abandoned(attempt) => return,
        };

        let is_finished = matches!(event, UpstreamEvent::Finished { .. });
        if is_finished {
            self.answer.end();
        }
        self.send_command(Command::Upstream { attempt, event });
        if !is_finished && let Some(Reply::Refuse(refusal)) = replies.recv().await {
            self.refuse(refusal);
        }
    }

    /// Requests cancellation while the answer is abandoned; never returns.
    async fn cancel_when_abandoned(&self, attempt: AttemptId) {
        let mut interval = tokio::time::interval(READER_CHECK_INTERVAL);
        loop {
            interval.tick().await;
            if self.answer.is_abandoned() {
                self.send_command(Command::Cancel { attempt });
            }
        }
    }

    fn replay(&self, response: RecordedResponse) {
        let RecordedResponse { status, content_type, body } = response;
        self.answer.push(FrameBody::Head { status, content_type });
        self.answer.push(FrameBody::Data(body.into_bytes()));
        self.answer.end();
    }

    fn refuse(&self, refusal: Refusal) {
        self.answer.push(FrameBody::Refused(refusal));
        self.answer.end();
    }

    fn send_command(&self, command: Command) {
        // Fails only when the control thread has stopped, which happens at process exit.
        let _ = self.commands.send(command);
    }
}
