//! Models and services that requests are sent to.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Model or plain service that a set of upstreams serves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Model served by inference engines.
    Model(Name),
    /// Plain HTTP service.
    Service(Name),
}

impl Target {
    /// Returns the name of the model or service.
    pub fn name(&self) -> &Name {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }

    /// Returns the kind, as operators write it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::Service(_) => "service",
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind(), self.name())
    }
}
