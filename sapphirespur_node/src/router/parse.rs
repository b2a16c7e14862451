//! Requests of callers, from HTTP to what the filters need.

use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead as HttpHead};
use bytes::Bytes;
use sapphirespur_core::config::Target;
use sapphirespur_core::hash::sha256_hex;
use sapphirespur_core::name::Name;
use sapphirespur_core::request::{RefusalCode, RequestHead};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::http::{header, header_text};

/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Path of the calls that continue a conversation.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Paths of the model calls.
const MODEL_PATHS: [&str; 2] = [CHAT_PATH, "/v1/completions"];

/// Fields of a model call that routing needs.
#[derive(Debug, Deserialize)]
struct ModelCall {
    model: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Option<Messages>,
    prompt: Option<IgnoredAny>,
}

/// Messages of a conversation, or what stands in their place.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Messages {
    List(Vec<IgnoredAny>),
    Other(IgnoredAny),
}

/// What a path leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// Model call.
    Model,
    /// Call of a plain service.
    Service {
        /// Name of the service.
        name: Name,
        /// Path below the service's name, with its query.
        path: String,
    },
    /// List of the models.
    Models,
    /// Sign of life.
    Health,
    /// Whether the router takes requests.
    Ready,
}

/// Call to the upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamCall {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Content type, when the caller told one.
    pub content_type: Option<String>,
    /// Idempotency key, which plain services see as well.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Returns what the path of a request leads to.
///
/// # Errors
///
/// Returns the refusal of a path that leads nowhere.
pub(super) fn route(head: &HttpHead) -> Result<Route, RefusalCode> {
    let path = head.uri.path();
    if MODEL_PATHS.contains(&path) && head.method == Method::POST {
        return Ok(Route::Model);
    }
    match path {
        "/v1/models" if head.method == Method::GET => return Ok(Route::Models),
        "/healthz" => return Ok(Route::Health),
        "/readyz" => return Ok(Route::Ready),
        _ => {}
    }

    let rest = path.strip_prefix(SERVICE_PREFIX).ok_or(RefusalCode::UnknownTarget)?;
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok(Route::Service { name: Name::new(name), path: format!("/{below}{query}") })
}

/// Returns the digest of the bearer key.
pub(super) fn key_digest(headers: &HeaderMap) -> Option<String> {
    let (scheme, key) = header_text(headers, "authorization")?.split_once(' ')?;

    scheme.eq_ignore_ascii_case("bearer").then(|| sha256_hex(key.trim().as_bytes()))
}

/// Returns what the filters need of a model call.
///
/// # Errors
///
/// Returns the refusal of a call that is not JSON, names no model or has nothing to answer.
pub(super) fn model_call(
    http: &HttpHead,
    body: Bytes,
) -> Result<(RequestHead, UpstreamCall), RefusalCode> {
    let content_type = header_text(http.headers(), "content-type").unwrap_or_default();
    if !content_type.to_ascii_lowercase().starts_with("application/json") {
        return Err(RefusalCode::UnsupportedMediaType);
    }
    let call: ModelCall =
        serde_json::from_slice(&body).map_err(|_| RefusalCode::MalformedRequest)?;

    if http.uri.path() == CHAT_PATH {
        let Some(Messages::List(messages)) = &call.messages else {
            return Err(RefusalCode::MissingMessages);
        };
        if messages.is_empty() {
            return Err(RefusalCode::MissingMessages);
        }
    } else if call.prompt.is_none() {
        return Err(RefusalCode::MissingPrompt);
    }

    let cost_hint = call.max_completion_tokens.or(call.max_tokens);
    let path = http.uri.path().to_owned();
    let target = Target::Model(Name::new(&call.model));
    Ok(build_request(http, target, path, cost_hint, body))
}

/// Returns what the filters need of a call of a plain service.
pub(super) fn service_call(
    http: &HttpHead,
    name: Name,
    path: String,
    body: Bytes,
) -> (RequestHead, UpstreamCall) {
    build_request(http, Target::Service(name), path, None, body)
}

fn build_request(
    http: &HttpHead,
    target: Target,
    path: String,
    cost_hint: Option<u64>,
    body: Bytes,
) -> (RequestHead, UpstreamCall) {
    let headers = http.headers();
    let method = http.method.as_str().to_owned();
    let idempotency_key = header_text(headers, header::IDEMPOTENCY_KEY).map(str::to_owned);
    let head = RequestHead {
        key_digest: key_digest(headers),
        target,
        method: method.clone(),
        path: path.clone(),
        class: header_text(headers, header::CLASS).map(str::to_owned),
        cost_hint,
        idempotency_key: idempotency_key.clone(),
        fingerprint: fingerprint(&method, &path, &body),
    };
    let content_type = header_text(headers, "content-type").map(str::to_owned);

    (head, UpstreamCall { method, path, content_type, idempotency_key, body })
}

fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut bytes = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }

    sha256_hex(&bytes)
}
