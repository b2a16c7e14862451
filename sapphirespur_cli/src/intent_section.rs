//! The configuration as the sections and fields of an intent.

use sapphirespur_core::config::{
    Change, Class, Config, DataCentre, DataCentreState, Service, Target, Upstream, UpstreamState,
    Workspace,
};
use sapphirespur_core::name::Name;

/// Field of an intent section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Key, as in an intent.
    pub key: &'static str,
    /// Value, as in an intent.
    pub value: String,
}

/// Section of an intent, which describes one object of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntentSection {
    /// Kind of the object, the first word of the section's header.
    pub kind: &'static str,
    /// Name of the object, the second word of the header.
    pub name: Name,
    /// All fields of the object; empty for a model, which has none.
    pub fields: Vec<Field>,
}

/// Returns the intent sections that describe a whole configuration.
pub fn intent_sections(config: &Config) -> Vec<IntentSection> {
    let section = |kind, name: &Name, fields| IntentSection { kind, name: name.clone(), fields };
    let mut sections = Vec::new();
    sections.extend(
        config.data_centres.iter().map(|(n, v)| section("data-centre", n, data_centre_fields(v))),
    );
    sections.extend(config.classes.iter().map(|(n, v)| section("class", n, class_fields(v))));
    sections.extend(config.models.keys().map(|n| section("model", n, Vec::new())));
    sections.extend(config.services.iter().map(|(n, v)| section("service", n, service_fields(v))));
    sections
        .extend(config.upstreams.iter().map(|(n, v)| section("upstream", n, upstream_fields(v))));
    sections.extend(
        config.workspaces.iter().map(|(n, v)| section("workspace", n, workspace_fields(v))),
    );

    sections
}

/// Returns the fields that a change sets; empty for a model and for a removal.
pub fn set_fields(change: &Change) -> Vec<Field> {
    match change {
        Change::SetWorkspace(_, value) => workspace_fields(value),
        Change::SetClass(_, value) => class_fields(value),
        Change::SetDataCentre(_, value) => data_centre_fields(value),
        Change::SetService(_, value) => service_fields(value),
        Change::SetUpstream(_, value) => upstream_fields(value),
        Change::SetModel(..)
        | Change::RemoveWorkspace(_)
        | Change::RemoveClass(_)
        | Change::RemoveDataCentre(_)
        | Change::RemoveModel(_)
        | Change::RemoveService(_)
        | Change::RemoveUpstream(_) => Vec::new(),
    }
}

/// Returns the current fields of the object that a change concerns; `None` when `config` does not
/// have the object.
pub fn current_fields(config: &Config, change: &Change) -> Option<Vec<Field>> {
    let name = change.name();

    match change.kind() {
        "workspace" => config.workspaces.get(name).map(workspace_fields),
        "class" => config.classes.get(name).map(class_fields),
        "data-centre" => config.data_centres.get(name).map(data_centre_fields),
        "model" => config.models.get(name).map(|_| Vec::new()),
        "service" => config.services.get(name).map(service_fields),
        "upstream" => config.upstreams.get(name).map(upstream_fields),
        _ => None,
    }
}

fn field(key: &'static str, value: &(impl ToString + ?Sized)) -> Field {
    Field { key, value: value.to_string() }
}

fn workspace_fields(workspace: &Workspace) -> Vec<Field> {
    vec![field("share", &workspace.share), field("key-digests", &workspace.key_digests.join(", "))]
}

fn class_fields(class: &Class) -> Vec<Field> {
    vec![field("weight", &class.weight), field("default", &class.default)]
}

fn data_centre_fields(data_centre: &DataCentre) -> Vec<Field> {
    let state = match data_centre.state {
        DataCentreState::In => "in",
        DataCentreState::Out => "out",
    };

    vec![field("state", state)]
}

fn service_fields(service: &Service) -> Vec<Field> {
    let patterns: Vec<String> = service
        .idempotent
        .iter()
        .map(|pattern| format!("{} {}", pattern.method, pattern.path))
        .collect();

    vec![field("idempotent", &patterns.join(", "))]
}

fn upstream_fields(upstream: &Upstream) -> Vec<Field> {
    let target = match &upstream.target {
        Target::Model(name) => field("model", name),
        Target::Service(name) => field("service", name),
    };
    let state = match upstream.state {
        UpstreamState::Active => "active",
        UpstreamState::Leaving => "leaving",
    };

    vec![
        target,
        field("data-centre", &upstream.data_centre),
        field("address", &upstream.address),
        field("control", &upstream.control),
        field("slots", &upstream.slots),
        field("cold-slots", &upstream.cold_slots),
        field("state", state),
    ]
}
