//! Decoding of control messages.

use std::time::Duration;

use capnp::text;
use sapphirespur_core::config::Target;
use sapphirespur_core::limiter::Phase;
use sapphirespur_core::message::{
    AccountEntry, AccountUpdate, ConfigDelta, ConfigFull, ConfigPull, Demand, DemandResync,
    Heartbeat, Message, NodeState, Permit, PermitReturn, QueueDemand, ReportEntry, ServiceReport,
    SidecarState,
};
use sapphirespur_core::name::Name;

use crate::control_capnp as schema;
use crate::error::WireError;

/// Decodes a control message.
///
/// # Errors
///
/// Returns an error when the structure is malformed or holds an unknown variant.
pub fn decode_message(reader: schema::message::Reader<'_>) -> Result<Message, WireError> {
    use schema::message::Which;

    Ok(match reader.which()? {
        Which::Heartbeat(heartbeat) => Message::Heartbeat(decode_heartbeat(heartbeat?)?),
        Which::Demand(demand) => Message::Demand(decode_demand(demand?)?),
        Which::DemandResync(last_sequence) => Message::DemandResync(DemandResync { last_sequence }),
        Which::Permit(permit) => {
            let permit = permit?;
            Message::Permit(Permit {
                id: permit.get_id(),
                workspace: decode_name(permit.get_workspace()?)?,
                class: decode_name(permit.get_class()?)?,
            })
        }
        Which::PermitReturn(returned) => {
            let returned = returned?;
            Message::PermitReturn(PermitReturn {
                id: returned.get_id(),
                remaining: returned.get_remaining(),
            })
        }
        Which::ServiceReport(report) => Message::ServiceReport(decode_report(report?)?),
        Which::AccountUpdate(update) => Message::AccountUpdate(decode_update(update?)?),
        Which::ConfigPull(revision) => Message::ConfigPull(ConfigPull { revision }),
        Which::ConfigDelta(delta) => Message::ConfigDelta(decode_delta(delta?)?),
        Which::ConfigFull(json) => {
            Message::ConfigFull(ConfigFull { config: serde_json::from_slice(json?)? })
        }
    })
}

fn decode_name(text: text::Reader<'_>) -> Result<Name, WireError> {
    Ok(Name::new(text.to_str()?))
}

fn decode_heartbeat(reader: schema::heartbeat::Reader<'_>) -> Result<Heartbeat, WireError> {
    use schema::heartbeat::Which;

    let state = match reader.which()? {
        Which::Router(router) => NodeState::Router {
            demand_sequence: router.get_demand_sequence(),
            draining: router.get_draining(),
        },
        Which::Sidecar(sidecar) => NodeState::Sidecar(SidecarState {
            upstream: decode_name(sidecar.get_upstream()?)?,
            phase: if sidecar.get_warm() { Phase::Warm } else { Phase::Cold },
            limit: sidecar.get_limit(),
            free: sidecar.get_free(),
            serving: sidecar.get_serving(),
        }),
    };

    Ok(Heartbeat { incarnation: reader.get_incarnation(), revision: reader.get_revision(), state })
}

fn decode_demand(reader: schema::demand::Reader<'_>) -> Result<Demand, WireError> {
    let entries = reader
        .get_entries()?
        .iter()
        .map(|entry| {
            Ok(QueueDemand {
                workspace: decode_name(entry.get_workspace()?)?,
                class: decode_name(entry.get_class()?)?,
                count: entry.get_count(),
                head_age: Duration::from_micros(entry.get_head_age_micros()),
                head_cost: entry.get_head_cost(),
            })
        })
        .collect::<Result<_, WireError>>()?;

    Ok(Demand { sequence: reader.get_sequence(), full: reader.get_full(), entries })
}

fn decode_target(reader: schema::target::Reader<'_>) -> Result<Target, WireError> {
    use schema::target::Which;

    Ok(match reader.which()? {
        Which::Model(name) => Target::Model(decode_name(name?)?),
        Which::Service(name) => Target::Service(decode_name(name?)?),
    })
}

fn decode_report(reader: schema::service_report::Reader<'_>) -> Result<ServiceReport, WireError> {
    let entries = reader
        .get_entries()?
        .iter()
        .map(|entry| {
            Ok(ReportEntry {
                workspace: decode_name(entry.get_workspace()?)?,
                session: entry.get_session(),
                charged: entry.get_charged(),
                observed_virtual_time: entry.get_known(),
                floor: entry.get_has_floor().then_some(entry.get_floor()),
                backlogged: entry.get_backlogged(),
            })
        })
        .collect::<Result<_, WireError>>()?;
    let target = decode_target(reader.get_target()?)?;

    Ok(ServiceReport { sequence: reader.get_sequence(), target, entries })
}

fn decode_update(reader: schema::account_update::Reader<'_>) -> Result<AccountUpdate, WireError> {
    let entries = reader
        .get_entries()?
        .iter()
        .map(|entry| {
            Ok(AccountEntry {
                workspace: decode_name(entry.get_workspace()?)?,
                session: entry.get_session(),
                virtual_time: entry.get_virtual_time(),
                acknowledged: entry.get_acknowledged(),
                competitors: entry.get_competitors(),
            })
        })
        .collect::<Result<_, WireError>>()?;

    Ok(AccountUpdate { target: decode_target(reader.get_target()?)?, entries })
}

fn decode_delta(reader: schema::config_delta::Reader<'_>) -> Result<ConfigDelta, WireError> {
    let revisions = reader
        .get_steps()?
        .iter()
        .map(|json| Ok(serde_json::from_slice(json?)?))
        .collect::<Result<_, WireError>>()?;

    Ok(ConfigDelta {
        base: reader.get_base(),
        revisions,
        digest: reader.get_digest()?.to_str()?.to_owned(),
    })
}
