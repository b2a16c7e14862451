//! Responses to clients: their body type, and the error responses of the router itself.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use thiserror::Error;

use super::dialect::Dialect;

/// Reason why a response body is aborted; the client connection is closed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AbortReason {
    /// The upstream failed and no other upstream could resume the stream.
    #[error("upstream connection lost")]
    UpstreamLost,
    /// The process stops.
    #[error("stopping")]
    Stopping,
    /// The deadline of the request passed.
    #[error("request timed out")]
    TimedOut,
}

/// Response body, complete or streamed.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = AbortReason>>>;

/// Response to a client, from an upstream or from the router itself.
pub type ClientResponse = Response<ResponseBody>;

/// Error that the router reports to the client itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorResponse {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or belongs to no workspace.
    UnknownKey,
    /// No route matches the request.
    NoRoute,
    /// The request body exceeds the configured limit.
    TooLarge,
    /// The request body did not arrive before the client's deadline.
    BodyTimedOut,
    /// The request was not run; the client may retry after the given time.
    NotRun(Duration),
    /// The process is short of processor time and has not looked at the request further; the client
    /// may retry after the given time.
    Busy(Duration),
    /// The stream was not resumed and cannot be: the version that began it serves no longer.
    VersionGone,
    /// The request may have run, but its response is lost.
    OutcomeUnknown,
    /// The deadline of the request passed; it may have run.
    TimedOut,
}

/// JSON body of an error response (RFC 9457).
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    outcome: &'static str,
    request_id: &'a str,
}

impl ErrorResponse {
    /// Returns the HTTP status code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::Busy(_) | Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::VersionGone => StatusCode::MISDIRECTED_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the problem type URI and its title.
    fn type_and_title(self) -> (&'static str, &'static str) {
        match self {
            Self::BadRequest => ("urn:sapphirespur:problem:bad-request", "request is malformed"),
            Self::UnknownKey => ("urn:sapphirespur:problem:unknown-key", "key is not known"),
            Self::NoRoute => ("urn:sapphirespur:problem:no-route", "no route takes the request"),
            Self::TooLarge => ("urn:sapphirespur:problem:too-large", "body is too large"),
            Self::BodyTimedOut => {
                ("urn:sapphirespur:problem:body-timed-out", "body came too slowly")
            }
            Self::Busy(_) => ("urn:sapphirespur:problem:not-run", "this router is busy"),
            Self::NotRun(_) => ("urn:sapphirespur:problem:not-run", "no room for the request now"),
            Self::VersionGone => {
                ("urn:sapphirespur:problem:version-gone", "stream cannot go on, begin it anew")
            }
            Self::OutcomeUnknown => {
                ("urn:sapphirespur:problem:outcome-unknown", "answer of the upstream is lost")
            }
            Self::TimedOut => ("urn:sapphirespur:problem:timed-out", "time of the request ran out"),
        }
    }

    /// Returns whether the request may have run, as reported to the client.
    fn outcome(self) -> &'static str {
        match self {
            Self::OutcomeUnknown | Self::TimedOut => "unknown",
            _ => "not_run",
        }
    }

    /// Builds the response to the client attempt `attempt_id`.
    pub fn into_response(self, dialect: &dyn Dialect, attempt_id: &str) -> ClientResponse {
        let (kind, title) = self.type_and_title();
        let problem = Problem {
            kind,
            title,
            status: self.status().as_u16(),
            outcome: self.outcome(),
            request_id: attempt_id,
        };

        // Serialising this struct cannot fail.
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(full_body(body.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Self::Busy(after) | Self::NotRun(after) = self
            && let Ok(value) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        dialect.write_response_headers(headers, attempt_id);
        response
    }
}

/// Returns a complete body of the given bytes.
pub fn full_body(body: Bytes) -> ResponseBody {
    Box::pin(Full::new(body).map_err(|never| match never {}))
}
