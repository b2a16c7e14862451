//! Filters and the chain that runs them.

use crate::collections::HashMap;
use crate::config::{Config, Target};
use crate::hash::sha256_hex;
use crate::name::Name;
use crate::request::{QueueKey, Refusal, RefusalCode, Repeatability, RequestHead, RequestMeta};

/// Cost of a model request without a cost hint, in tokens.
const DEFAULT_MODEL_COST_TOKENS: u64 = 256;

/// Cost of a service call, in cost units.
const SERVICE_COST_UNITS: u64 = 256;

/// Maximum cost hint, in tokens; a higher hint is lowered to it.
const MAX_COST_TOKENS: u64 = 1_000_000;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Step of the filter chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Filter {
    /// Determines the workspace from the bearer key.
    Authenticate,
    /// Checks that the model or service exists.
    Resolve,
    /// Determines the class of the request.
    Classify,
    /// Estimates the cost of the request, in cost units.
    Estimate,
    /// Determines whether the request may be repeated.
    CheckIdempotency,
}

/// Filters in the order in which they run.
const CHAIN: [Filter; 5] = [
    Filter::Authenticate,
    Filter::Resolve,
    Filter::Classify,
    Filter::Estimate,
    Filter::CheckIdempotency,
];

/// Lookup tables of the filters.
#[derive(Clone, Copy, Debug)]
pub struct FilterContext<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Workspaces by key digest.
    pub keys: &'a HashMap<String, Name>,
}

/// Results of the filters that have run so far.
#[derive(Debug, Default)]
struct PartialMeta {
    workspace: Option<Name>,
    class: Option<Name>,
    cost: u64,
    repeatability: Option<Repeatability>,
}

/// Runs the filter chain on a request.
///
/// # Errors
///
/// Returns the refusal of the first filter that rejects the request.
pub fn run(head: &RequestHead, cx: FilterContext<'_>) -> Result<RequestMeta, Refusal> {
    let mut partial = PartialMeta::default();
    for filter in CHAIN {
        filter.apply(head, cx, &mut partial).map_err(Refusal::rejected)?;
    }

    let (Some(workspace), Some(class), Some(repeatability)) =
        (partial.workspace, partial.class, partial.repeatability)
    else {
        return Err(Refusal::rejected(RefusalCode::MalformedRequest));
    };
    let queue = QueueKey { target: head.target.clone(), workspace, class };
    Ok(RequestMeta { queue, cost: partial.cost, repeatability })
}

impl Filter {
    fn apply(
        self,
        head: &RequestHead,
        cx: FilterContext<'_>,
        partial: &mut PartialMeta,
    ) -> Result<(), RefusalCode> {
        match self {
            Self::Authenticate => partial.workspace = Some(authenticate(head, cx)?),
            Self::Resolve => resolve(head, cx)?,
            Self::Classify => partial.class = Some(classify(head, cx)?),
            Self::Estimate => partial.cost = estimate(head),
            Self::CheckIdempotency => {
                partial.repeatability = Some(repeatability(head, cx, partial)?)
            }
        }

        Ok(())
    }
}

fn authenticate(head: &RequestHead, cx: FilterContext<'_>) -> Result<Name, RefusalCode> {
    let digest = head.key_digest.as_ref().ok_or(RefusalCode::InvalidKey)?;

    cx.keys.get(digest).cloned().ok_or(RefusalCode::InvalidKey)
}

fn resolve(head: &RequestHead, cx: FilterContext<'_>) -> Result<(), RefusalCode> {
    if cx.config.has_target(&head.target) { Ok(()) } else { Err(RefusalCode::UnknownTarget) }
}

fn classify(head: &RequestHead, cx: FilterContext<'_>) -> Result<Name, RefusalCode> {
    let class = match &head.class {
        Some(text) => cx.config.classes.get_key_value(text.as_str()).map(|(name, _)| name),
        None => cx.config.default_class(),
    };

    class.cloned().ok_or(RefusalCode::UnknownClass)
}

fn estimate(head: &RequestHead) -> u64 {
    match head.target {
        Target::Model(_) => {
            head.cost_hint.unwrap_or(DEFAULT_MODEL_COST_TOKENS).clamp(1, MAX_COST_TOKENS)
        }
        Target::Service(_) => SERVICE_COST_UNITS,
    }
}

fn repeatability(
    head: &RequestHead,
    cx: FilterContext<'_>,
    partial: &PartialMeta,
) -> Result<Repeatability, RefusalCode> {
    let Target::Service(name) = &head.target else { return Ok(Repeatability::Idempotent) };
    let service = cx.config.services.get(name).ok_or(RefusalCode::UnknownTarget)?;
    if service.is_idempotent(&head.method, &head.path) {
        return Ok(Repeatability::Idempotent);
    }

    let Some(key) = &head.idempotency_key else { return Ok(Repeatability::NonIdempotent) };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RefusalCode::MalformedRequest);
    }
    let workspace = partial.workspace.as_ref().ok_or(RefusalCode::InvalidKey)?;
    let scoped_key = format!("{workspace}\0{name}\0{key}");
    Ok(Repeatability::Once {
        key: sha256_hex(scoped_key.as_bytes()),
        fingerprint: head.fingerprint.clone(),
    })
}
