//! Parsing of callers' HTTP requests.

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

/// Path prefix of calls to plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Path of chat completions, whose body must contain messages.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Paths of model calls.
const MODEL_PATHS: [&str; 2] = [CHAT_PATH, "/v1/completions"];

/// Fields of a model call's body that routing and validation need.
#[derive(Debug, Deserialize)]
struct ModelCall {
    model: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    messages: Option<Messages>,
    prompt: Option<IgnoredAny>,
}

/// Value of the `messages` field: a list, or any other JSON value, which is refused.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Messages {
    List(Vec<IgnoredAny>),
    Other(IgnoredAny),
}

/// Endpoint that a request is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// Model call: a completion or chat completion.
    Model,
    /// Call to a plain service.
    Service {
        /// Name of the service.
        name: Name,
        /// Path after the service's name, with the query.
        path: String,
    },
    /// List of models (`/v1/models`).
    Models,
    /// Liveness check (`/healthz`).
    Health,
    /// Readiness check (`/readyz`).
    Ready,
}

/// Call that a sidecar sends to the upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamCall {
    /// HTTP method of the caller's request, also used at the upstream.
    pub method: String,
    /// Path at the upstream, with the query.
    pub path: String,
    /// Value of the `Content-Type` header, if present.
    pub content_type: Option<String>,
    /// Value of the `Idempotency-Key` header, if present; forwarded to the upstream.
    pub idempotency_key: Option<String>,
    /// Body of the caller's request.
    pub body: Bytes,
}

/// Returns the endpoint for the method and path of a request.
///
/// # Errors
///
/// Returns the code of the refusal when the path is unknown.
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

/// Returns the SHA-256 digest of the bearer key, or `None` without a key.
pub(super) fn key_digest(headers: &HeaderMap) -> Option<String> {
    let (scheme, key) = header_text(headers, "authorization")?.split_once(' ')?;

    scheme.eq_ignore_ascii_case("bearer").then(|| sha256_hex(key.trim().as_bytes()))
}

/// Parses a model call.
///
/// # Errors
///
/// Returns the code of the refusal when the content type or the body is not JSON, or when the body
/// names no model or lacks messages or a prompt.
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

/// Parses a call to a plain service.
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

/// Returns the digest of a call; a zero byte ends each part.
fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut bytes = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }

    sha256_hex(&bytes)
}
