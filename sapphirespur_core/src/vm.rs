//! Entry of the platform's VM list.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Role of the process that runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Entry VM with a router.
    Router,
    /// Upstream VM with a sidecar.
    Sidecar,
}

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Serves.
    Live,
    /// Is about to be taken away.
    Leaving,
}

/// VM of the platform; the list may lag behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Role of its process.
    pub role: VmRole,
    /// State as listed.
    pub state: VmState,
    /// Control address of its process, as `ip:port`.
    pub control: Name,
    /// Address for operators' requests, as `ip:port`.
    pub admin: Name,
}
