//! Single change to the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::{Class, DataCentre, Model, Service, Upstream, Workspace};
use crate::name::Name;

/// Change that sets or removes one named entry of the configuration.
///
/// Removing an entry that does not exist is an error, and so are changes that leave an upstream
/// without its data centre, model or service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a workspace.
    SetWorkspace(Name, Workspace),
    /// Removes a workspace.
    RemoveWorkspace(Name),
    /// Creates or replaces a class.
    SetClass(Name, Class),
    /// Removes a class.
    RemoveClass(Name),
    /// Creates or replaces a data centre.
    SetDataCentre(Name, DataCentre),
    /// Removes a data centre.
    RemoveDataCentre(Name),
    /// Creates or replaces a model.
    SetModel(Name, Model),
    /// Removes a model.
    RemoveModel(Name),
    /// Creates or replaces a service.
    SetService(Name, Service),
    /// Removes a service.
    RemoveService(Name),
    /// Creates or replaces an upstream.
    SetUpstream(Name, Upstream),
    /// Removes an upstream.
    RemoveUpstream(Name),
}

impl Change {
    /// Returns the name of the changed entry.
    pub fn name(&self) -> &Name {
        match self {
            Self::SetWorkspace(name, _) | Self::RemoveWorkspace(name) => name,
            Self::SetClass(name, _) | Self::RemoveClass(name) => name,
            Self::SetDataCentre(name, _) | Self::RemoveDataCentre(name) => name,
            Self::SetModel(name, _) | Self::RemoveModel(name) => name,
            Self::SetService(name, _) | Self::RemoveService(name) => name,
            Self::SetUpstream(name, _) | Self::RemoveUpstream(name) => name,
        }
    }

    /// Returns the kind of the changed entry, as operators write it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::SetWorkspace(..) | Self::RemoveWorkspace(_) => "workspace",
            Self::SetClass(..) | Self::RemoveClass(_) => "class",
            Self::SetDataCentre(..) | Self::RemoveDataCentre(_) => "data-centre",
            Self::SetModel(..) | Self::RemoveModel(_) => "model",
            Self::SetService(..) | Self::RemoveService(_) => "service",
            Self::SetUpstream(..) | Self::RemoveUpstream(_) => "upstream",
        }
    }

    /// Returns whether the change removes its entry.
    pub fn is_removal(&self) -> bool {
        matches!(
            self,
            Self::RemoveWorkspace(_)
                | Self::RemoveClass(_)
                | Self::RemoveDataCentre(_)
                | Self::RemoveModel(_)
                | Self::RemoveService(_)
                | Self::RemoveUpstream(_)
        )
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = if self.is_removal() { "remove" } else { "set" };
        write!(f, "{verb} {} {}", self.kind(), self.name())
    }
}
