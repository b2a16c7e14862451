//! Ways in which a configuration can be wrong.

use thiserror::Error;

use crate::config::Target;
use crate::name::Name;

/// Reason why a configuration or a change is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A name has characters that are not allowed, is empty or too long.
    #[error("name {0:?} must have 1 to 64 letters, digits, '-', '_', '.' or ':'")]
    InvalidName(Name),
    /// A value is zero or above its bound.
    #[error("{field} of {name} must be within 1..={max}")]
    OutOfRange {
        /// Owner of the value.
        name: Name,
        /// Name of the value.
        field: &'static str,
        /// Highest allowed value.
        max: u32,
    },
    /// Cold slots exceed slots.
    #[error("cold-slots of upstream {0} exceeds its slots")]
    ColdSlotsAboveSlots(Name),
    /// An upstream names a data centre that is not configured.
    #[error("upstream {upstream} names unknown data centre {data_centre}")]
    UnknownDataCentre {
        /// Upstream with the reference.
        upstream: Name,
        /// Data centre that is missing.
        data_centre: Name,
    },
    /// An upstream names a model or service that is not configured.
    #[error("upstream {upstream} names unknown {target}")]
    UnknownTarget {
        /// Upstream with the reference.
        upstream: Name,
        /// Target that is missing.
        target: Target,
    },
    /// The number of default classes is not one.
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
    /// A change removes something that does not exist.
    #[error("{kind} {name} does not exist")]
    Missing {
        /// Kind of the thing.
        kind: &'static str,
        /// Name of the thing.
        name: Name,
    },
    /// The stored configuration does not match its digest.
    #[error("the configuration of revision {0} does not match its digest")]
    DigestMismatch(u64),
}
