//! Requests of the simulated clients and the platform's load balancer.

use std::time::Duration;

use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Refusal, RequestHead, RequestId};
use sapphirespur_core::router::RouterInput;

use crate::client::{CallKind, Client, ClientRequest};
use crate::fleet::{Fleet, NodeInput, StateMachine};
use crate::history::{FinalAnswer, HistoryEvent};
use crate::sim_event::SimEvent;

impl Fleet {
    /// Sends a new request of a client, or sends `retry` again.
    pub(super) fn submit(&mut self, index: usize, retry: Option<ClientRequest>) {
        let client = self.clients[index].clone();
        if self.now >= client.until {
            return;
        }

        self.next_request += 1;
        let request = self.next_request;
        self.request_clients.insert(request, index);
        let router = self.pick_router(&client);
        let tokens = match &retry {
            Some(retry) => retry.tokens,
            None => {
                self.rng.between(client.token_range.0.into(), client.token_range.1.into()) as u32
            }
        };
        let (key, retries_left) = match (retry, client.kind) {
            (Some(retry), _) => (retry.key, retry.retries_left),
            (None, CallKind::Keyed) => (Some(format!("key-{request}")), client.retries),
            (None, CallKind::Idempotent | CallKind::Unkeyed) => (None, 0),
        };
        self.record(HistoryEvent::Submitted {
            request,
            workspace: client.workspace.clone(),
            key: key.clone(),
            is_idempotent: client.kind == CallKind::Idempotent,
        });
        let Some(router) = router else {
            self.finish_request(
                request,
                FinalAnswer::Interrupted,
                Some((index, tokens, key, retries_left)),
            );
            return;
        };

        let mut head = request_head(&client, tokens, key.clone());
        if self.is_fifo {
            head.key_digest = Some(sha256_hex(b"w0"));
            head.class = None;
        }
        let entry =
            ClientRequest { client: index, router: router.clone(), tokens, key, retries_left };
        self.requests.insert(request, entry);
        let id = RequestId(request);
        self.deliver_input(&router, NodeInput::Router(RouterInput::Request { id, head }));
    }

    /// Returns a router, chosen as the platform's load balancer does; `None` if none is running.
    pub(super) fn pick_router(&mut self, client: &Client) -> Option<Name> {
        let routers: Vec<Name> = self
            .nodes
            .iter()
            .filter(|(_, node)| matches!(node.state_machine, StateMachine::Router(_)))
            .map(|(name, _)| name.clone())
            .collect();
        let weights: Vec<u32> = routers
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let is_ready = self.is_running(name) && self.router(name).is_ready();
                let weight = client.router_weights.get(index).copied().unwrap_or(1);
                if is_ready { weight } else { 0 }
            })
            .collect();
        if weights.iter().all(|weight| *weight == 0) {
            return routers.into_iter().find(|name| self.is_running(name));
        }

        let index = self.rng.weighted_index(&weights);
        Some(routers[index].clone())
    }

    /// Records the final answer of a request and schedules the client's next request or a retry.
    ///
    /// `unrouted` holds the client, tokens, key and retries left of a request that had no router.
    pub(super) fn finish_request(
        &mut self,
        request: u64,
        answer: FinalAnswer,
        unrouted: Option<(usize, u32, Option<String>, u32)>,
    ) {
        let entry = match (self.requests.remove(&request), unrouted) {
            (Some(entry), _) => entry,
            (None, Some((client, tokens, key, retries_left))) => {
                ClientRequest { client, router: Name::new("none"), tokens, key, retries_left }
            }
            (None, None) => return,
        };
        self.record(HistoryEvent::Answered { request, answer });

        let index = entry.client;
        let delay = match answer {
            FinalAnswer::Refused(refusal) => {
                refusal.retry_after.unwrap_or(Duration::from_millis(100))
            }
            FinalAnswer::Complete { .. } => self.clients[index].think_time,
            FinalAnswer::Interrupted => Duration::from_millis(100),
        };
        let is_incomplete = !matches!(answer, FinalAnswer::Complete { .. });
        if entry.key.is_some() && entry.retries_left > 0 && is_incomplete {
            let retry = ClientRequest { retries_left: entry.retries_left - 1, ..entry };
            self.schedule_action(delay, move |fleet| fleet.submit(index, Some(retry)));
        } else {
            self.schedule_event(delay, SimEvent::Submit { client: index });
        }
    }

    pub(super) fn on_refuse(&mut self, id: RequestId, refusal: Refusal) {
        let delivering = self
            .connections
            .values()
            .any(|connection| connection.id == id && connection.delivering);
        let answer =
            if delivering { FinalAnswer::Interrupted } else { FinalAnswer::Refused(refusal) };

        self.connections.retain(|_, connection| connection.id != id);
        self.finish_request(id.0, answer, None);
    }
}

fn request_head(client: &Client, tokens: u32, key: Option<String>) -> RequestHead {
    let path = match client.kind {
        CallKind::Idempotent => "/lookup",
        CallKind::Keyed | CallKind::Unkeyed => "/bookings",
    };

    RequestHead {
        key_digest: Some(sha256_hex(client.workspace.as_str().as_bytes())),
        target: client.target.clone(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        class: Some(client.class.to_string()),
        cost_hint: Some(u64::from(tokens * client.cost_hint_percent / 100).max(1)),
        fingerprint: sha256_hex(key.clone().unwrap_or_default().as_bytes()),
        idempotency_key: key,
    }
}
