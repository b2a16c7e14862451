//! Connections of attempts, as the traffic sides of router and sidecar treat them.

use std::time::Duration;

use sapphirespur_core::answer::FRAME_TIMEOUT;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch, RouterInput};
use sapphirespur_core::sidecar::{AttemptStart, AttemptStatus, SidecarInput};

use crate::fleet::{Fleet, Input, START};
use crate::happening::{Happening, Word};
use crate::history::Final;
use crate::link::Pair;

/// Times that a router resumes an answer.
const MAX_RESUMES: u32 = 3;

/// Time after which a sidecar gives an answer up that nobody reads.
const ABANDONED_AFTER: Duration = Duration::from_secs(10);

/// Wall clock at the start, in seconds since the Unix epoch.
const WALL_START_S: u64 = 1_800_000_000;

/// Connection of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) router: Name,
    pub(super) router_incarnation: u64,
    pub(super) sidecar: Name,
    pub(super) sidecar_incarnation: u64,
    pub(super) permit: u64,
    pub(super) id: RequestId,
    pub(super) is_silent: bool,
    /// Words that the router has not received.
    pub(super) kept: Vec<Word>,
    pub(super) resumes: u32,
    pub(super) delivering: bool,
}

impl Fleet {
    /// Tells whether a request is on its way to a sidecar or further.
    pub fn is_dispatched(&self, request: u64) -> bool {
        self.connections.values().any(|connection| connection.id.0 == request)
    }

    /// Tells whether a sidecar serves a request.
    pub fn is_admitted(&self, request: u64) -> bool {
        let mut connections = self.connections.values().filter(|c| c.id.0 == request);

        connections.any(|c| {
            self.is_running(&c.sidecar) && self.sidecar(&c.sidecar).status(self.now).attempts > 0
        })
    }

    /// Returns the sidecar to which a request was sent.
    pub fn sidecar_of(&self, request: u64) -> Option<Name> {
        let connection = self.connections.values().find(|c| c.id.0 == request);

        connection.map(|connection| connection.sidecar.clone())
    }

    pub(super) fn on_dispatch(&mut self, router: &Name, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let sidecar = dispatch.upstream.clone();
        let connection = Connection {
            router: router.clone(),
            router_incarnation: self.nodes[router].incarnation,
            sidecar: sidecar.clone(),
            sidecar_incarnation: self.nodes.get(&sidecar).map_or(0, |node| node.incarnation),
            permit: dispatch.permit,
            id: dispatch.id,
            is_silent: false,
            kept: Vec::new(),
            resumes: 0,
            delivering: false,
        };
        self.connections.insert(attempt, connection);
        let start = AttemptStart {
            attempt,
            permit: dispatch.permit,
            cost: dispatch.meta.cost,
            repeatability: dispatch.meta.repeatability,
            wall_s: WALL_START_S + self.now.since(START).as_secs(),
        };

        if !self.links.passes(router, &sidecar) {
            self.after(FRAME_TIMEOUT, Happening::SilenceCheck(attempt));
            return;
        }
        let span = self.latency();
        self.after(span, Happening::Start { sidecar, start });
        self.after(FRAME_TIMEOUT, Happening::SilenceCheck(attempt));
    }

    pub(super) fn on_start(&mut self, sidecar: &Name, start: AttemptStart) {
        if !self.is_running(sidecar) {
            let span = self.latency();
            let attempt = start.attempt;
            self.after(span, Happening::Word { attempt, word: Word::NeverStarted });
            return;
        }
        if let Some(connection) = self.connections.get_mut(&start.attempt) {
            connection.sidecar_incarnation = self.nodes[sidecar].incarnation;
        }

        self.after(ABANDONED_AFTER, Happening::ReaderCheck(start.attempt));
        self.input(sidecar, Input::Sidecar(SidecarInput::Start(start)));
    }

    /// Sends a word on the connection of an attempt, or keeps it for resuming.
    pub(super) fn say(&mut self, attempt: AttemptId, word: Word) {
        let Some(connection) = self.connections.get_mut(&attempt) else { return };
        let passes = !connection.is_silent
            && !self.links.cut.contains(&Pair::new(&connection.router, &connection.sidecar));
        if !passes || !connection.kept.is_empty() {
            connection.kept.push(word);
            return;
        }

        // Without jitter, so that the words of one connection stay in order.
        self.after(self.options.latency, Happening::Word { attempt, word });
    }

    pub(super) fn on_word(&mut self, attempt: AttemptId, word: Word) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, id) = (connection.router.clone(), connection.id);
        let is_same = self
            .nodes
            .get(&router)
            .is_some_and(|n| n.is_alive && n.incarnation == connection.router_incarnation);
        if !is_same {
            return;
        }
        if self.nodes[&router].is_frozen {
            self.after(Duration::from_millis(10), Happening::Word { attempt, word });
            return;
        }

        let delivering = connection.delivering;
        let event = match word {
            Word::First => {
                if let Some(connection) = self.connections.get_mut(&attempt) {
                    connection.delivering = true;
                }
                AttemptEvent::Delivering
            }
            Word::End { answers } => {
                self.connections.remove(&attempt);
                self.end(id.0, Final::Whole { answers }, None);
                AttemptEvent::Finished
            }
            Word::Refused(refusal) if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::Refused(refusal)
            }
            Word::NeverStarted if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::NeverStarted
            }
            Word::Refused(_) | Word::NeverStarted | Word::Gone => AttemptEvent::AnswerLost,
        };
        self.input(&router, Input::Router(RouterInput::Attempt { id, attempt, event }));
        if event == AttemptEvent::AnswerLost {
            self.connections.remove(&attempt);
        }
    }

    /// Does what a router does about an answer that may have gone silent.
    pub(super) fn on_silence_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt).cloned() else { return };
        let sidecar = connection.sidecar.clone();
        let is_up = self.is_running(&sidecar);
        let is_same = is_up && self.nodes[&sidecar].incarnation == connection.sidecar_incarnation;
        let is_frozen = is_up && self.nodes[&sidecar].is_frozen;
        let passes = self.links.passes(&connection.router, &sidecar);
        if is_same && !is_frozen && passes && !connection.is_silent && connection.kept.is_empty() {
            if let Some(connection) = self.connections.get_mut(&attempt) {
                connection.resumes = 0;
            }
            self.ask(attempt, &connection);
            self.after(FRAME_TIMEOUT, Happening::SilenceCheck(attempt));
            return;
        }
        if connection.resumes >= MAX_RESUMES {
            self.on_word(attempt, Word::Gone);
            return;
        }

        let kept = match self.connections.get_mut(&attempt) {
            Some(connection) => {
                connection.resumes += 1;
                connection.is_silent = false;
                if passes { std::mem::take(&mut connection.kept) } else { Vec::new() }
            }
            None => return,
        };
        for word in kept {
            self.say(attempt, word);
        }
        if is_up && passes && !is_frozen {
            self.ask(attempt, &connection);
        }
        let pause = if is_up { FRAME_TIMEOUT } else { Duration::from_millis(100) };
        self.after(pause, Happening::SilenceCheck(attempt));
    }

    /// Asks a sidecar after an attempt, as resuming does when the answer is not there.
    pub(super) fn ask(&mut self, attempt: AttemptId, connection: &Connection) {
        self.asked.insert(attempt);
        let permit = connection.permit;
        let input = SidecarInput::QueryAttempt { attempt, permit };
        self.input(&connection.sidecar, Input::Sidecar(input));
    }

    pub(super) fn on_asked(&mut self, attempt: AttemptId, status: AttemptStatus) {
        if !self.asked.remove(&attempt) {
            return;
        }

        match status {
            AttemptStatus::Running => {}
            AttemptStatus::NeverStarted => self.say(attempt, Word::NeverStarted),
            AttemptStatus::Unknown => self.say(attempt, Word::Gone),
        }
    }

    /// Does what a sidecar does about an answer that nobody reads.
    pub(super) fn on_reader_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, sidecar) = (connection.router.clone(), connection.sidecar.clone());
        let is_read = self
            .nodes
            .get(&router)
            .is_some_and(|node| node.is_alive && node.incarnation == connection.router_incarnation);
        if !is_read {
            self.connections.remove(&attempt);
            self.input(&sidecar, Input::Sidecar(SidecarInput::Cancel { attempt }));
            return;
        }

        self.after(ABANDONED_AFTER, Happening::ReaderCheck(attempt));
    }
}
