//! Error responses to callers.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use sapphirespur_core::request::{Refusal, RefusalCode};
use serde::Serialize;

use crate::http::header;

/// Body of an error response, a problem detail of RFC 9457.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    code: &'a str,
    outcome: &'a str,
    request_id: &'a str,
}

/// Returns the response to a refused request.
///
/// Sets `retry-after`, rounded up to whole seconds, when the refusal has one.
pub fn problem_response(refusal: &Refusal, request_id: &str) -> Response<BoxBody> {
    let status = refusal.code.http_status();
    let problem = Problem {
        kind: format!("urn:sapphirespur:problem:{}", refusal.code.as_str()),
        title: refusal.code.to_string(),
        status,
        code: refusal.code.as_str(),
        outcome: refusal.outcome.as_str(),
        request_id,
    };

    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/problem+json"));
    builder.insert_header((header::REQUEST_ID, request_id));
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    if refusal.code == RefusalCode::InvalidKey {
        builder.insert_header(("www-authenticate", "Bearer"));
    }

    // Serialising strings and an integer to JSON cannot fail.
    builder.body(serde_json::to_vec(&problem).unwrap_or_default()).map_into_boxed_body()
}
