//! Callers and the balancer before the routers.

use std::time::Duration;

use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{Refusal, RequestHead, RequestId};
use sapphirespur_core::router::RouterInput;

use crate::client::{CallKind, Client, ClientRequest};
use crate::fleet::{Decisions, Fleet, Input};
use crate::happening::Happening;
use crate::history::{Final, Seen};

impl Fleet {
    /// Sends a request of a client, or one of its requests again.
    pub(super) fn submit(&mut self, index: usize, again: Option<ClientRequest>) {
        let client = self.clients[index].clone();
        if self.now >= client.until {
            return;
        }

        self.next_request += 1;
        let request = self.next_request;
        self.client_of.insert(request, index);
        let router = self.pick_router(&client);
        let tokens = match &again {
            Some(again) => again.tokens,
            None => self.rng.between(client.tokens.0.into(), client.tokens.1.into()) as u32,
        };
        let (key, repeats) = match (again, client.kind) {
            (Some(again), _) => (again.key, again.repeats),
            (None, CallKind::Once) => (Some(format!("key-{request}")), client.repeats),
            (None, CallKind::Idempotent | CallKind::Single) => (None, 0),
        };
        self.see(Seen::Submitted {
            request,
            workspace: client.workspace.clone(),
            key: key.clone(),
            may_repeat: client.kind == CallKind::Idempotent,
        });
        let Some(router) = router else {
            self.end(request, Final::Cut, Some((index, tokens, key, repeats)));
            return;
        };

        let mut head = head_of(&client, tokens, key.clone());
        if self.is_first_come {
            head.key_digest = Some(sha256_hex(b"w0"));
            head.class = None;
        }
        let entry = ClientRequest { client: index, router: router.clone(), tokens, key, repeats };
        self.requests.insert(request, entry);
        let id = RequestId(request);
        self.input(&router, Input::Router(RouterInput::Request { id, head }));
    }

    /// Returns a router that the platform's balancer would choose.
    pub(super) fn pick_router(&mut self, client: &Client) -> Option<Name> {
        let routers: Vec<Name> = self
            .nodes
            .iter()
            .filter(|(_, node)| matches!(node.decisions, Decisions::Router(_)))
            .map(|(name, _)| name.clone())
            .collect();
        let weights: Vec<u32> = routers
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let is_ready = self.is_running(name) && self.router(name).is_ready();
                let weight = client.spread.get(index).copied().unwrap_or(1);
                if is_ready { weight } else { 0 }
            })
            .collect();
        if weights.iter().all(|weight| *weight == 0) {
            return routers.into_iter().find(|name| self.is_running(name));
        }

        let index = self.rng.weighted(&weights);
        Some(routers[index].clone())
    }

    /// Ends a request at its caller, who sends the next one.
    pub(super) fn end(
        &mut self,
        request: u64,
        answer: Final,
        unplaced: Option<(usize, u32, Option<String>, u32)>,
    ) {
        let entry = match (self.requests.remove(&request), unplaced) {
            (Some(entry), _) => entry,
            (None, Some((client, tokens, key, repeats))) => {
                ClientRequest { client, router: Name::new("none"), tokens, key, repeats }
            }
            (None, None) => return,
        };
        self.see(Seen::Ended { request, answer });

        let index = entry.client;
        let pause = match answer {
            Final::Refused(refusal) => refusal.retry_after.unwrap_or(Duration::from_millis(100)),
            Final::Whole { .. } => self.clients[index].think,
            Final::Cut => Duration::from_millis(100),
        };
        let is_open = !matches!(answer, Final::Whole { .. });
        if entry.key.is_some() && entry.repeats > 0 && is_open {
            let again = ClientRequest { repeats: entry.repeats - 1, ..entry };
            self.act(pause, move |fleet| fleet.submit(index, Some(again)));
        } else {
            self.after(pause, Happening::Submit { client: index });
        }
    }

    pub(super) fn on_refuse(&mut self, id: RequestId, refusal: Refusal) {
        let delivering = self
            .connections
            .values()
            .any(|connection| connection.id == id && connection.delivering);
        let answer = if delivering { Final::Cut } else { Final::Refused(refusal) };

        self.connections.retain(|_, connection| connection.id != id);
        self.end(id.0, answer, None);
    }
}

fn head_of(client: &Client, tokens: u32, key: Option<String>) -> RequestHead {
    let path = match client.kind {
        CallKind::Idempotent => "/lookup",
        CallKind::Once | CallKind::Single => "/bookings",
    };

    RequestHead {
        key_digest: Some(sha256_hex(client.workspace.as_str().as_bytes())),
        target: client.target.clone(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        class: Some(client.class.to_string()),
        cost_hint: Some(u64::from(tokens * client.hint_percent / 100).max(1)),
        fingerprint: sha256_hex(key.clone().unwrap_or_default().as_bytes()),
        idempotency_key: key,
    }
}
