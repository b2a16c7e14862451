//! Simulated connections of attempts between routers and sidecars.

use std::time::Duration;

use sapphirespur_core::answer::FRAME_TIMEOUT;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{AttemptId, RequestId};
use sapphirespur_core::router::{AttemptEvent, Dispatch, RouterInput};
use sapphirespur_core::sidecar::{AttemptStart, AttemptStatus, SidecarInput};

use crate::fleet::{Fleet, NodeInput, START};
use crate::history::FinalAnswer;
use crate::links::NodePair;
use crate::sim_event::{AttemptReply, SimEvent};

/// Number of times that a router resumes an answer before it considers it lost.
const MAX_RESUMES: u32 = 3;

/// Time after which a sidecar cancels an attempt whose answer nobody reads.
const READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Wall-clock time at the start of a run, in seconds since the Unix epoch.
const WALL_CLOCK_START_S: u64 = 1_800_000_000;

/// Connection between a router and a sidecar for one attempt.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) router: Name,
    pub(super) router_incarnation: u64,
    pub(super) sidecar: Name,
    pub(super) sidecar_incarnation: u64,
    pub(super) permit: u64,
    pub(super) id: RequestId,
    pub(super) is_blackholed: bool,
    /// Replies that could not be sent; they are sent when the router resumes the answer.
    pub(super) buffered: Vec<AttemptReply>,
    /// Number of times that the answer was resumed since the connection last worked.
    pub(super) resumes: u32,
    /// Whether content of the answer has been delivered to the client.
    pub(super) delivering: bool,
}

impl Fleet {
    /// Returns whether a request was dispatched to a sidecar and is still in flight.
    pub fn is_dispatched(&self, request: u64) -> bool {
        self.connections.values().any(|connection| connection.id.0 == request)
    }

    /// Returns whether the sidecar of a request has attempts in progress.
    pub fn is_admitted(&self, request: u64) -> bool {
        let mut connections = self.connections.values().filter(|c| c.id.0 == request);

        connections.any(|c| {
            self.is_running(&c.sidecar) && self.sidecar(&c.sidecar).status(self.now).attempts > 0
        })
    }

    /// Returns the sidecar to which a request was dispatched; `None` if it is not in flight there.
    pub fn request_sidecar(&self, request: u64) -> Option<Name> {
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
            is_blackholed: false,
            buffered: Vec::new(),
            resumes: 0,
            delivering: false,
        };
        self.connections.insert(attempt, connection);
        let start = AttemptStart {
            attempt,
            permit: dispatch.permit,
            cost: dispatch.meta.cost,
            repeatability: dispatch.meta.repeatability,
            wall_s: WALL_CLOCK_START_S + self.now.since(START).as_secs(),
        };

        if !self.links.is_reachable(router, &sidecar) {
            self.schedule_event(FRAME_TIMEOUT, SimEvent::IdleCheck(attempt));
            return;
        }
        let delay = self.latency();
        self.schedule_event(delay, SimEvent::StartAttempt { sidecar, start });
        self.schedule_event(FRAME_TIMEOUT, SimEvent::IdleCheck(attempt));
    }

    pub(super) fn on_start(&mut self, sidecar: &Name, start: AttemptStart) {
        if !self.is_running(sidecar) {
            let delay = self.latency();
            let attempt = start.attempt;
            self.schedule_event(
                delay,
                SimEvent::Reply { attempt, reply: AttemptReply::NeverStarted },
            );
            return;
        }
        if let Some(connection) = self.connections.get_mut(&start.attempt) {
            connection.sidecar_incarnation = self.nodes[sidecar].incarnation;
        }

        self.schedule_event(READER_TIMEOUT, SimEvent::ReaderCheck(start.attempt));
        self.deliver_input(sidecar, NodeInput::Sidecar(SidecarInput::Start(start)));
    }

    /// Sends a reply on the connection of an attempt, or buffers it until the answer is resumed.
    pub(super) fn send_reply(&mut self, attempt: AttemptId, reply: AttemptReply) {
        let Some(connection) = self.connections.get_mut(&attempt) else { return };
        let is_reachable = !connection.is_blackholed
            && !self
                .links
                .partitioned
                .contains(&NodePair::new(&connection.router, &connection.sidecar));
        if !is_reachable || !connection.buffered.is_empty() {
            connection.buffered.push(reply);
            return;
        }

        // There is no jitter, so that the replies on one connection stay in order.
        self.schedule_event(self.options.latency, SimEvent::Reply { attempt, reply });
    }

    pub(super) fn on_reply(&mut self, attempt: AttemptId, reply: AttemptReply) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, id) = (connection.router.clone(), connection.id);
        let is_same_instance = self
            .nodes
            .get(&router)
            .is_some_and(|n| n.is_alive && n.incarnation == connection.router_incarnation);
        if !is_same_instance {
            return;
        }
        if self.nodes[&router].is_paused {
            self.schedule_event(Duration::from_millis(10), SimEvent::Reply { attempt, reply });
            return;
        }

        let delivering = connection.delivering;
        let event = match reply {
            AttemptReply::FirstContent => {
                if let Some(connection) = self.connections.get_mut(&attempt) {
                    connection.delivering = true;
                }
                AttemptEvent::Delivering
            }
            AttemptReply::End { answered_request } => {
                self.connections.remove(&attempt);
                self.finish_request(id.0, FinalAnswer::Complete { answered_request }, None);
                AttemptEvent::Finished
            }
            AttemptReply::Refused(refusal) if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::Refused(refusal)
            }
            AttemptReply::NeverStarted if !delivering => {
                self.connections.remove(&attempt);
                AttemptEvent::NeverStarted
            }
            AttemptReply::Refused(_) | AttemptReply::NeverStarted | AttemptReply::Lost => {
                AttemptEvent::AnswerLost
            }
        };
        self.deliver_input(&router, NodeInput::Router(RouterInput::Attempt { id, attempt, event }));
        if event == AttemptEvent::AnswerLost {
            self.connections.remove(&attempt);
        }
    }

    /// Checks, as the router does, whether the connection of an attempt still works. If not, resumes
    /// the answer or, after `MAX_RESUMES` times, reports it as lost.
    pub(super) fn on_idle_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt).cloned() else { return };
        let sidecar = connection.sidecar.clone();
        let is_up = self.is_running(&sidecar);
        let is_same_instance =
            is_up && self.nodes[&sidecar].incarnation == connection.sidecar_incarnation;
        let is_paused = is_up && self.nodes[&sidecar].is_paused;
        let is_reachable = self.links.is_reachable(&connection.router, &sidecar);
        if is_same_instance
            && !is_paused
            && is_reachable
            && !connection.is_blackholed
            && connection.buffered.is_empty()
        {
            if let Some(connection) = self.connections.get_mut(&attempt) {
                connection.resumes = 0;
            }
            self.query_attempt(attempt, &connection);
            self.schedule_event(FRAME_TIMEOUT, SimEvent::IdleCheck(attempt));
            return;
        }
        if connection.resumes >= MAX_RESUMES {
            self.on_reply(attempt, AttemptReply::Lost);
            return;
        }

        let buffered = match self.connections.get_mut(&attempt) {
            Some(connection) => {
                connection.resumes += 1;
                connection.is_blackholed = false;
                if is_reachable { std::mem::take(&mut connection.buffered) } else { Vec::new() }
            }
            None => return,
        };
        for reply in buffered {
            self.send_reply(attempt, reply);
        }
        if is_up && is_reachable && !is_paused {
            self.query_attempt(attempt, &connection);
        }
        let delay = if is_up { FRAME_TIMEOUT } else { Duration::from_millis(100) };
        self.schedule_event(delay, SimEvent::IdleCheck(attempt));
    }

    /// Queries the status of an attempt at its sidecar, as a router does when it resumes an answer.
    pub(super) fn query_attempt(&mut self, attempt: AttemptId, connection: &Connection) {
        self.queried.insert(attempt);
        let permit = connection.permit;
        let input = SidecarInput::QueryAttempt { attempt, permit };
        self.deliver_input(&connection.sidecar, NodeInput::Sidecar(input));
    }

    pub(super) fn on_attempt_status(&mut self, attempt: AttemptId, status: AttemptStatus) {
        if !self.queried.remove(&attempt) {
            return;
        }

        match status {
            AttemptStatus::Running => {}
            AttemptStatus::NeverStarted => self.send_reply(attempt, AttemptReply::NeverStarted),
            AttemptStatus::Unknown => self.send_reply(attempt, AttemptReply::Lost),
        }
    }

    /// Cancels an attempt whose router has stopped or restarted, as a sidecar does.
    pub(super) fn on_reader_check(&mut self, attempt: AttemptId) {
        let Some(connection) = self.connections.get(&attempt) else { return };
        let (router, sidecar) = (connection.router.clone(), connection.sidecar.clone());
        let is_read = self
            .nodes
            .get(&router)
            .is_some_and(|node| node.is_alive && node.incarnation == connection.router_incarnation);
        if !is_read {
            self.connections.remove(&attempt);
            self.deliver_input(&sidecar, NodeInput::Sidecar(SidecarInput::Cancel { attempt }));
            return;
        }

        self.schedule_event(READER_TIMEOUT, SimEvent::ReaderCheck(attempt));
    }
}
