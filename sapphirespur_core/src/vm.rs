//! Entries of the platform's VM list.

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
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// VM as the platform lists it; the list may lag behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name, unique in the list.
    pub name: Name,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Role of the process on the VM.
    pub role: VmRole,
    /// Whether the VM is in service or about to be removed.
    pub state: VmState,
    /// Control address of the process, as `ip:port`.
    pub control: Name,
    /// Address for operators' requests to the process, as `ip:port`.
    pub admin: Name,
}
