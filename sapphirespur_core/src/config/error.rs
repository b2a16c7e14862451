//! Errors of configurations and changes.

use thiserror::Error;

use crate::config::Target;
use crate::name::Name;

/// Reason why a configuration or a change is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A name is empty, too long or has characters that are not allowed.
    #[error("name {0:?} must have 1 to 64 letters, digits, '-', '_', '.' or ':'")]
    InvalidName(Name),
    /// A value is zero or above its upper bound.
    #[error("{field} of {name} must be within 1..={max}")]
    OutOfRange {
        /// Name of the entry with the value.
        name: Name,
        /// Field of the value, as operators write it.
        field: &'static str,
        /// Highest allowed value; the lowest is one.
        max: u32,
    },
    /// An upstream has more cold slots than slots.
    #[error("cold-slots of upstream {0} exceeds its slots")]
    ColdSlotsAboveSlots(Name),
    /// An upstream references a data centre that is not configured.
    #[error("upstream {upstream} names unknown data centre {data_centre}")]
    UnknownDataCentre {
        /// Upstream with the reference.
        upstream: Name,
        /// Missing data centre.
        data_centre: Name,
    },
    /// An upstream references a model or service that is not configured.
    #[error("upstream {upstream} names unknown {target}")]
    UnknownTarget {
        /// Upstream with the reference.
        upstream: Name,
        /// Missing model or service.
        target: Target,
    },
    /// The number of default classes is not one; holds that number.
    #[error("exactly one class must be the default, found {0}")]
    DefaultClassCount(usize),
    /// A key digest is not 64 lower-case hexadecimal digits.
    #[error("a key digest of workspace {0} is not 64 lower-case hexadecimal digits")]
    InvalidKeyDigest(Name),
    /// Two workspaces have the same key.
    #[error("workspaces {0} and {1} have the same key")]
    DuplicateKey(Name, Name),
    /// Two upstreams have the same control address.
    #[error("upstreams {0} and {1} have the same control address")]
    DuplicateControlAddress(Name, Name),
    /// A change removes an entry that does not exist.
    #[error("{kind} {name} does not exist")]
    Missing {
        /// Kind of the entry, as operators write it.
        kind: &'static str,
        /// Name of the entry.
        name: Name,
    },
    /// A received or stored configuration of this revision does not match its digest.
    #[error("the configuration of revision {0} does not match its digest")]
    DigestMismatch(u64),
}
