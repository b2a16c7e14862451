//! Parts of the configuration as fields of an intent.

use sapphirespur_core::config::{
    Change, Class, Config, DataCentre, DataCentreState, Service, Target, Upstream, UpstreamState,
    Workspace,
};
use sapphirespur_core::name::Name;

/// Field of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Key in an intent.
    pub key: &'static str,
    /// Value in an intent.
    pub value: String,
}

/// Part of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Kind, as the section of an intent starts.
    pub kind: &'static str,
    /// Name.
    pub name: Name,
    /// Fields.
    pub fields: Vec<Field>,
}

/// Returns all parts of a configuration.
pub fn parts(config: &Config) -> Vec<Part> {
    let part = |kind, name: &Name, fields| Part { kind, name: name.clone(), fields };
    let mut parts = Vec::new();
    parts.extend(config.data_centres.iter().map(|(n, v)| part("data-centre", n, of_centre(v))));
    parts.extend(config.classes.iter().map(|(n, v)| part("class", n, of_class(v))));
    parts.extend(config.models.keys().map(|n| part("model", n, Vec::new())));
    parts.extend(config.services.iter().map(|(n, v)| part("service", n, of_service(v))));
    parts.extend(config.upstreams.iter().map(|(n, v)| part("upstream", n, of_upstream(v))));
    parts.extend(config.workspaces.iter().map(|(n, v)| part("workspace", n, of_workspace(v))));

    parts
}

/// Returns the fields that a change sets; none for a removal.
pub fn set_fields(change: &Change) -> Vec<Field> {
    match change {
        Change::SetWorkspace(_, value) => of_workspace(value),
        Change::SetClass(_, value) => of_class(value),
        Change::SetDataCentre(_, value) => of_centre(value),
        Change::SetService(_, value) => of_service(value),
        Change::SetUpstream(_, value) => of_upstream(value),
        Change::SetModel(..)
        | Change::RemoveWorkspace(_)
        | Change::RemoveClass(_)
        | Change::RemoveDataCentre(_)
        | Change::RemoveModel(_)
        | Change::RemoveService(_)
        | Change::RemoveUpstream(_) => Vec::new(),
    }
}

/// Returns the fields of the part that a change concerns, when it exists in `config`.
pub fn current_fields(config: &Config, change: &Change) -> Option<Vec<Field>> {
    let name = change.name();

    match change.kind() {
        "workspace" => config.workspaces.get(name).map(of_workspace),
        "class" => config.classes.get(name).map(of_class),
        "data-centre" => config.data_centres.get(name).map(of_centre),
        "model" => config.models.get(name).map(|_| Vec::new()),
        "service" => config.services.get(name).map(of_service),
        "upstream" => config.upstreams.get(name).map(of_upstream),
        _ => None,
    }
}

fn field(key: &'static str, value: &(impl ToString + ?Sized)) -> Field {
    Field { key, value: value.to_string() }
}

fn of_workspace(workspace: &Workspace) -> Vec<Field> {
    vec![field("share", &workspace.share), field("key-digests", &workspace.key_digests.join(", "))]
}

fn of_class(class: &Class) -> Vec<Field> {
    vec![field("weight", &class.weight), field("default", &class.default)]
}

fn of_centre(data_centre: &DataCentre) -> Vec<Field> {
    let state = match data_centre.state {
        DataCentreState::In => "in",
        DataCentreState::Out => "out",
    };

    vec![field("state", state)]
}

fn of_service(service: &Service) -> Vec<Field> {
    let patterns: Vec<String> = service
        .idempotent
        .iter()
        .map(|pattern| format!("{} {}", pattern.method, pattern.path))
        .collect();

    vec![field("idempotent", &patterns.join(", "))]
}

fn of_upstream(upstream: &Upstream) -> Vec<Field> {
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
