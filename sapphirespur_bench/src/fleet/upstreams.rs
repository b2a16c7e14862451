//! Calls of sidecars to their simulated upstreams, and load reports.

use std::time::Duration;

use sapphirespur_core::at_most_once::RecordedResponse;
use sapphirespur_core::config::Target;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::AttemptId;
use sapphirespur_core::sidecar::{SidecarInput, UpstreamEvent, UpstreamFailure};

use crate::engine::Admission;
use crate::fleet::{Fleet, NodeInput};
use crate::history::HistoryEvent;
use crate::sim_event::{AttemptReply, SimEvent};

/// Time between two load reports of an upstream.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the sampling of a load report and its arrival at the sidecar.
const LOAD_REPORT_LAG: Duration = Duration::from_secs(2);

impl Fleet {
    pub(super) fn on_call(&mut self, sidecar: &Name, attempt: AttemptId) {
        let request = self.connections.get(&attempt).map(|connection| connection.id.0);
        let tokens = request.and_then(|r| self.requests.get(&r)).map_or(8, |r| r.tokens);
        let request = request.unwrap_or(0);
        let now = self.now;
        let Some(engine) = self.engines.get_mut(sidecar) else { return };
        if !engine.is_up {
            self.fail_call(sidecar, attempt, UpstreamFailure::NotSent);
            return;
        }

        let capacity = engine.capacity(now);
        let concurrency = engine.running.len() as u32 + 1;
        match engine.call(now, attempt, request, tokens) {
            Admission::Started(delay) => {
                self.record(HistoryEvent::RunStarted {
                    request,
                    upstream: sidecar.clone(),
                    concurrency,
                    capacity,
                });
                let sidecar = sidecar.clone();
                self.schedule_event(delay, SimEvent::EngineStep { sidecar, attempt });
            }
            Admission::Refused => self.fail_call(sidecar, attempt, UpstreamFailure::Overloaded),
            Admission::Crashed(failed) => {
                self.record(HistoryEvent::RunStarted {
                    request,
                    upstream: sidecar.clone(),
                    concurrency,
                    capacity,
                });
                for attempt in failed {
                    self.fail_call(sidecar, attempt, UpstreamFailure::Incomplete);
                }
            }
        }
    }

    /// Reports the failure of a call to the sidecar, unless the sidecar restarts first.
    pub(super) fn fail_call(
        &mut self,
        sidecar: &Name,
        attempt: AttemptId,
        failure: UpstreamFailure,
    ) {
        let incarnation = self.nodes[sidecar].incarnation;
        let sidecar = sidecar.clone();
        self.schedule_action(Duration::from_micros(200), move |fleet| {
            if fleet.nodes[&sidecar].incarnation == incarnation {
                let event = UpstreamEvent::Failed(failure);
                let input = SidecarInput::Upstream { attempt, event };
                fleet.deliver_input(&sidecar, NodeInput::Sidecar(input));
            }
        });
    }

    pub(super) fn on_engine_step(&mut self, sidecar: &Name, attempt: AttemptId) {
        let Some(engine) = self.engines.get_mut(sidecar) else { return };
        let step = engine.params.step_duration;
        let tokens_left = engine.running.get(&attempt).map(|running| running.tokens_left);
        let Some((running, tokens, is_complete)) = engine.step(attempt) else { return };
        let request = running.request;
        let answer_tokens =
            self.requests.get(&request).map_or(tokens_left.unwrap_or(0), |r| r.tokens);
        let is_first = answer_tokens == running.tokens_left + tokens;
        let client = self.requests.get(&request).map(|r| self.clients[r.client].clone());

        if let Some(client) = &client {
            let workspace = client.workspace.clone();
            self.record(HistoryEvent::Served { request, workspace, tokens });
        }
        let is_model = client.is_none_or(|c| matches!(c.target, Target::Model(_)));
        if is_model {
            let event = UpstreamEvent::Tokens(tokens);
            self.deliver_input(
                sidecar,
                NodeInput::Sidecar(SidecarInput::Upstream { attempt, event }),
            );
        }
        if is_first {
            self.send_reply(attempt, AttemptReply::FirstContent);
        }
        if !is_complete {
            let sidecar = sidecar.clone();
            self.schedule_event(step, SimEvent::EngineStep { sidecar, attempt });
            return;
        }

        self.send_reply(attempt, AttemptReply::End { answered_request: request });
        let cost = is_model.then_some(u64::from(answer_tokens));
        let response = RecordedResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: request.to_string(),
        };
        let event = UpstreamEvent::Finished { cost, response: Some(response) };
        self.deliver_input(sidecar, NodeInput::Sidecar(SidecarInput::Upstream { attempt, event }));
    }

    pub(super) fn on_sample_load(&mut self, sidecar: Name) {
        let now = self.now;
        let Some(engine) = self.engines.get(&sidecar) else { return };
        if engine.is_up {
            let cold = now < engine.cold_until;
            self.schedule_event(
                LOAD_REPORT_LAG,
                SimEvent::LoadReport { sidecar: sidecar.clone(), cold },
            );
        }

        self.schedule_event(LOAD_REPORT_INTERVAL, SimEvent::SampleLoad(sidecar));
    }
}
