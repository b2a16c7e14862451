//! Typed messages between the processes of the fleet.

mod account;
mod config;
mod demand;
mod heartbeat;
mod permit;

pub use account::{AccountEntry, AccountUpdate, ReportEntry, ServiceReport};
pub use config::{ConfigDelta, ConfigFull, ConfigPull};
pub use demand::{Demand, DemandResync, QueueDemand};
pub use heartbeat::{Heartbeat, NodeState, SidecarState};
pub use permit::{Permit, PermitReturn};

/// Message from one process to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Liveness, revision and state of the sender.
    Heartbeat(Heartbeat),
    /// Waiting requests of a router, to a sidecar.
    Demand(Demand),
    /// Request for the full demand, to a router.
    DemandResync(DemandResync),
    /// Permission to dispatch one request, to a router.
    Permit(Permit),
    /// Unused permit, to the sidecar that granted it.
    PermitReturn(PermitReturn),
    /// Service provided by a sidecar, to the home of the accounts.
    ServiceReport(ServiceReport),
    /// Virtual times, from the home of the accounts to a sidecar.
    AccountUpdate(AccountUpdate),
    /// Request for a newer configuration.
    ConfigPull(ConfigPull),
    /// Configuration changes since an older revision.
    ConfigDelta(ConfigDelta),
    /// Complete configuration, for a receiver whose revision is too old for `ConfigDelta`.
    ConfigFull(ConfigFull),
}

impl Message {
    /// Returns the kind, as used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Demand(_) => "demand",
            Self::DemandResync(_) => "demand-resync",
            Self::Permit(_) => "permit",
            Self::PermitReturn(_) => "permit-return",
            Self::ServiceReport(_) => "service-report",
            Self::AccountUpdate(_) => "account-update",
            Self::ConfigPull(_) => "config-pull",
            Self::ConfigDelta(_) => "config-delta",
            Self::ConfigFull(_) => "config-full",
        }
    }
}
