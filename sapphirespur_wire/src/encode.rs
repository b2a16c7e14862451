//! Encoding of control messages.

use sapphirespur_core::config::Target;
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::message::{
    AccountUpdate, ConfigDelta, Demand, Heartbeat, Message, NodeState, ServiceReport,
};

use crate::control_capnp as schema;

/// Encodes `message` into `builder`.
///
/// # Panics
///
/// Never: every configuration and change can be serialised.
pub fn encode_message(message: &Message, mut builder: schema::message::Builder<'_>) {
    match message {
        Message::Heartbeat(heartbeat) => encode_heartbeat(heartbeat, builder.init_heartbeat()),
        Message::Demand(demand) => encode_demand(demand, builder.init_demand()),
        Message::DemandResync(resync) => builder.set_demand_resync(resync.last_sequence),
        Message::Permit(permit) => {
            let mut b = builder.init_permit();
            b.set_id(permit.id);
            b.set_workspace(permit.workspace.as_str());
            b.set_class(permit.class.as_str());
        }
        Message::PermitReturn(returned) => {
            let mut b = builder.init_permit_return();
            b.set_id(returned.id);
            b.set_remaining(returned.remaining);
        }
        Message::ServiceReport(report) => encode_report(report, builder.init_service_report()),
        Message::AccountUpdate(update) => encode_update(update, builder.init_account_update()),
        Message::ConfigPull(pull) => builder.set_config_pull(pull.revision),
        Message::ConfigDelta(delta) => encode_delta(delta, builder.init_config_delta()),
        Message::ConfigFull(full) => builder.set_config_full(&full.config.to_json()),
    }
}

fn encode_heartbeat(heartbeat: &Heartbeat, mut builder: schema::heartbeat::Builder<'_>) {
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_revision(heartbeat.revision);
    match &heartbeat.state {
        NodeState::Router { demand_sequence, draining } => {
            let mut b = builder.init_router();
            b.set_demand_sequence(*demand_sequence);
            b.set_draining(*draining);
        }
        NodeState::Sidecar(state) => {
            let mut b = builder.init_sidecar();
            b.set_upstream(state.upstream.as_str());
            b.set_warm(state.phase == Phase::Warm);
            b.set_limit(state.limit);
            b.set_free(state.free);
            b.set_serving(state.serving);
        }
    }
}

fn encode_demand(demand: &Demand, mut builder: schema::demand::Builder<'_>) {
    builder.set_sequence(demand.sequence);
    builder.set_full(demand.full);

    let mut entries = builder.init_entries(demand.entries.len() as u32);
    for (index, entry) in demand.entries.iter().enumerate() {
        let mut b = entries.reborrow().get(index as u32);
        b.set_workspace(entry.workspace.as_str());
        b.set_class(entry.class.as_str());
        b.set_count(entry.count);
        b.set_head_age_micros(entry.head_age.as_micros() as u64);
        b.set_head_cost(entry.head_cost);
    }
}

fn encode_target(target: &Target, mut builder: schema::target::Builder<'_>) {
    match target {
        Target::Model(name) => builder.set_model(name.as_str()),
        Target::Service(name) => builder.set_service(name.as_str()),
    }
}

fn encode_report(report: &ServiceReport, mut builder: schema::service_report::Builder<'_>) {
    builder.set_sequence(report.sequence);
    encode_target(&report.target, builder.reborrow().init_target());

    let mut entries = builder.init_entries(report.entries.len() as u32);
    for (index, entry) in report.entries.iter().enumerate() {
        let mut b = entries.reborrow().get(index as u32);
        b.set_workspace(entry.workspace.as_str());
        b.set_session(entry.session);
        b.set_charged(entry.charged);
        b.set_known(entry.observed_virtual_time);
        b.set_has_floor(entry.floor.is_some());
        b.set_floor(entry.floor.unwrap_or(0));
        b.set_backlogged(entry.backlogged);
    }
}

fn encode_update(update: &AccountUpdate, mut builder: schema::account_update::Builder<'_>) {
    encode_target(&update.target, builder.reborrow().init_target());

    let mut entries = builder.init_entries(update.entries.len() as u32);
    for (index, entry) in update.entries.iter().enumerate() {
        let mut b = entries.reborrow().get(index as u32);
        b.set_workspace(entry.workspace.as_str());
        b.set_session(entry.session);
        b.set_virtual_time(entry.virtual_time);
        b.set_acknowledged(entry.acknowledged);
        b.set_competitors(entry.competitors);
    }
}

fn encode_delta(delta: &ConfigDelta, mut builder: schema::config_delta::Builder<'_>) {
    builder.set_base(delta.base);
    builder.set_digest(delta.digest.as_str());

    let mut revisions = builder.init_steps(delta.revisions.len() as u32);
    for (index, changes) in delta.revisions.iter().enumerate() {
        let json = serde_json::to_vec(changes).expect("changes have an encoding");
        revisions.set(index as u32, &json);
    }
}
