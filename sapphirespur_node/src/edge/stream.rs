//! Calls whose answer is a stream of events.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use sapphirespur_core::edge::SendOutcome;
use sapphirespur_core::name::Name;
use sapphirespur_core::time::Time;
use tokio::time::timeout;

use super::answer::{Answer, AnswerBody, CutShort, Final};
use super::event_buffer::EventBuffer;
use super::hop_headers;
use super::in_flight::{Claim, Presence};
use super::plain::{Sends, finish, log_decline};
use super::send::{Call, Reply, Sent, send};
use super::shared::Shared;

/// Shortest time without an event after which a silent upstream is left, where a stream may go on.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);

/// Time without an event after which a stream goes on elsewhere even if its upstream serves others.
const MAX_GAP: Duration = Duration::from_millis(1_800);

/// Largest event that is held until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Stream that is being passed on.
struct Relay {
    cx: Rc<Shared>,
    call: Call,
    sends: Sends,
    claim: Option<Claim>,
    reply: Option<Box<Reply>>,
    events: EventBuffer,
    last_id: Option<u64>,
    heard: Time,
    first_event: Option<Duration>,
    presence: Presence,
}

/// What to do after a wait for bytes.
enum Step {
    /// Bytes are in the buffer.
    More,
    /// Stream is whole.
    Done,
    /// Upstream broke off or is silent.
    Lost(SendOutcome),
    /// Time ran out.
    TimedOut,
}

/// Answers a call with a stream.
pub(super) async fn answer(cx: Rc<Shared>, call: Call, presence: Presence) -> Answer {
    let mut relay = Relay {
        heard: call.arrived,
        last_id: call.head.last_event_id,
        cx,
        call,
        sends: Sends::default(),
        claim: None,
        reply: None,
        events: EventBuffer::default(),
        first_event: None,
        presence,
    };

    if let Err(refusal) = relay.start().await {
        return refusal;
    }
    relay.into_answer()
}

impl Relay {
    /// Sends the call until an upstream answers with a stream.
    ///
    /// # Errors
    ///
    /// Returns the final answer when there is no stream.
    async fn start(&mut self) -> Result<(), Answer> {
        let id = self.call.head.attempt_id.clone();
        let cx = Rc::clone(&self.cx);
        loop {
            let placement = match self.sends.place(&cx, &self.call) {
                Ok(placement) => placement,
                Err(decline) => {
                    log_decline(&cx, &self.call, &decline);
                    let refusal = self.sends.give_up(&self.call, &cx, decline.retry_after);
                    return Err(refusal.answer(&*cx.dialect, &id));
                }
            };
            let mut claim = Claim::new(&cx, placement.request.clone());
            let patience = self.patience(placement.expected);
            let sent = send(&cx, &self.call, &placement, &mut claim, self.last_id, patience).await;
            let (outcome, ran) = match sent {
                Sent::Reply(reply) if reply.parts.status.is_success() => {
                    self.note_heard();
                    self.claim = Some(claim);
                    self.reply = Some(reply);
                    return Ok(());
                }
                Sent::Reply(reply) => {
                    let is_failure = reply.parts.status.is_server_error();
                    let answer = match finish(&cx, &self.call, *reply).await {
                        Some(answer) if !is_failure => {
                            claim.finish(SendOutcome::Answered);
                            return Err(answer);
                        }
                        answer => answer,
                    };
                    self.sends.note(&cx, &self.call, claim.upstream(), SendOutcome::Failed, true);
                    claim.finish(SendOutcome::Failed);
                    if self.sends.may_go_on(&self.call) {
                        continue;
                    }
                    let lost = || Final::OutcomeUnknown.answer(&*cx.dialect, &id);
                    return Err(answer.unwrap_or_else(lost));
                }
                Sent::NotRun(outcome) => (outcome, false),
                Sent::Unknown(outcome) => (outcome, true),
            };
            self.sends.note(&cx, &self.call, claim.upstream(), outcome, ran);
            claim.finish(outcome);
            if !self.sends.may_go_on(&self.call) || self.call.left(cx.now()).is_zero() {
                let refusal = self.sends.give_up(&self.call, &cx, self.call.info.target);
                return Err(refusal.answer(&*cx.dialect, &id));
            }
        }
    }

    fn into_answer(self) -> Answer {
        let mut response = Response::new(());
        if let Some(reply) = &self.reply {
            *response.status_mut() = reply.parts.status;
            *response.headers_mut() = reply.parts.headers.clone();
        }
        hop_headers::remove_hop_by_hop(response.headers_mut());

        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        response.map(|()| Box::pin(StreamBody::new(frames)) as AnswerBody)
    }

    /// Returns the next whole events, or nothing at the end.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream cannot be made whole.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, CutShort> {
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) => {}
                Err(outcome) => {
                    self.go_on(outcome).await?;
                    continue;
                }
            }
            match self.wait().await {
                Step::More => {}
                Step::Done => {
                    self.note_answered();
                    self.end(SendOutcome::Answered, true);
                    return Ok(None);
                }
                Step::Lost(outcome) => self.go_on(outcome).await?,
                Step::TimedOut => {
                    self.end(SendOutcome::Abandoned, false);
                    self.log_cut("timed out");
                    return Err(CutShort::TimedOut);
                }
            }
        }
    }

    /// Takes the whole events that are in, in one piece.
    ///
    /// # Errors
    ///
    /// Returns an error when an event is missing.
    fn take_events(&mut self) -> Result<Option<Bytes>, SendOutcome> {
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.events.next_event() {
            if let Some(id) = event.id {
                match self.last_id {
                    Some(last) if id <= last => continue,
                    Some(last) if id != last + 1 => return Err(SendOutcome::Broken),
                    _ => self.last_id = Some(id),
                }
            }
            count += 1;
            match &first {
                None => first = Some(event.bytes),
                Some(_) => rest.extend_from_slice(&event.bytes),
            }
        }

        let Some(first) = first else { return Ok(None) };
        if let Some(claim) = &mut self.claim {
            claim.events(count);
        }
        if rest.is_empty() {
            return Ok(Some(first));
        }
        let mut all = BytesMut::from(first);
        all.unsplit(rest);
        Ok(Some(all.freeze()))
    }

    /// Waits for bytes of the upstream.
    async fn wait(&mut self) -> Step {
        let Some(reply) = &mut self.reply else { return Step::Lost(SendOutcome::Broken) };
        let now = self.cx.now();
        let left = self.call.left(now);
        if left.is_zero() {
            return Step::TimedOut;
        }

        let may_go_on =
            self.sends.runs + 1 < self.call.route.attempts && self.call.route.kind.is_retryable();
        let patience = if may_go_on { left.min(MIN_SILENCE) } else { left };
        match timeout(patience, reply.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.events.push(&data);
                    self.note_heard();
                }
                if self.events.len() > MAX_EVENT_BYTES {
                    return Step::Lost(SendOutcome::Broken);
                }
                Step::More
            }
            Ok(Some(Err(_))) => Step::Lost(SendOutcome::Broken),
            Ok(None) if self.events.is_empty() => Step::Done,
            Ok(None) => Step::Lost(SendOutcome::Broken),
            Err(_) if self.call.left(self.cx.now()).is_zero() => Step::TimedOut,
            Err(_) if self.is_silent() => Step::Lost(SendOutcome::NoResponse),
            Err(_) => Step::More,
        }
    }

    /// Tells whether waiting on for this upstream is in vain.
    fn is_silent(&self) -> bool {
        let now = self.cx.now();
        if now.since(self.heard) >= MAX_GAP {
            return true;
        }
        let Some(claim) = &self.claim else { return true };
        let router = self.cx.router.borrow();
        router
            .registry()
            .upstreams()
            .get(claim.upstream())
            .is_none_or(|upstream| upstream.load.unresponsive_for(now) >= MIN_SILENCE)
    }

    /// Goes on at another upstream after the last event that was passed on.
    ///
    /// # Errors
    ///
    /// Returns an error when no upstream goes on.
    async fn go_on(&mut self, outcome: SendOutcome) -> Result<(), CutShort> {
        let upstream = self.claim.as_ref().map_or("", Claim::upstream).to_owned();
        self.sends.note(&self.cx, &self.call, &upstream, outcome, true);
        self.end(outcome, false);
        self.events = EventBuffer::default();
        if !self.sends.may_go_on(&self.call) || self.start().await.is_err() {
            self.log_cut(outcome.as_str());
            return Err(CutShort::Broken);
        }

        self.cx.metrics.resume();
        log::info!(
            request = self.call.head.attempt_id.as_str(),
            from = upstream.as_str(),
            to = self.claim.as_ref().map_or("", Claim::upstream),
            after_event = self.last_id.unwrap_or_default();
            "stream goes on elsewhere"
        );
        Ok(())
    }

    /// Ends the claim on the upstream; its connection is kept when the answer is whole.
    fn end(&mut self, outcome: SendOutcome, is_whole: bool) {
        if let Some(claim) = self.claim.take() {
            claim.finish(outcome);
        }
        if let Some(reply) = self.reply.take()
            && is_whole
        {
            reply.link.keep(&self.cx);
        }
    }

    /// Returns how long the head of an answer may take.
    fn patience(&self, expected: Duration) -> Duration {
        let left = self.call.left(self.cx.now());
        let is_last = self.sends.runs + 1 >= self.call.route.attempts;
        if is_last || !self.call.route.kind.is_retryable() {
            return left;
        }

        left.min(self.call.info.target.max(expected * 2).max(MIN_SILENCE))
    }

    /// Notes bytes of an upstream: the first ones, or the pause since the ones before.
    fn note_heard(&mut self) {
        let now = self.cx.now();
        if self.first_event.is_none() {
            let span = now.since(self.call.arrived);
            let workspace = self.call.info.workspace.as_ref().map(Name::as_str);
            self.cx.metrics.first_event(workspace, span);
            self.first_event = Some(span);
        } else {
            self.cx.metrics.pause(now.since(self.heard));
        }
        self.heard = now;
    }

    fn note_answered(&self) {
        let workspace = self.call.info.workspace.as_ref().map(Name::as_str);
        let total = self.cx.now().since(self.call.arrived);
        self.cx.metrics.total(workspace, total);
        if self.cx.may_log_ordinary() {
            log::info!(
                request = self.call.head.attempt_id.as_str(),
                route = self.call.route.name.as_str(),
                upstream = self.claim.as_ref().map_or("", Claim::upstream),
                sends = self.sends.tried.len() + 1,
                last_event = self.last_id.unwrap_or_default(),
                max_output_tokens = self.call.info.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens),
                first_event_ms = self.first_event.map_or(0, |span| span.as_millis() as u64),
                total_ms = total.as_millis() as u64;
                "stream answered"
            );
        }
    }

    fn log_cut(&self, reason: &str) {
        log::warn!(
            request = self.call.head.attempt_id.as_str(),
            reason = reason,
            last_event = self.last_id.unwrap_or_default(),
            in_flight = self.presence.count();
            "stream cut"
        );
    }
}
