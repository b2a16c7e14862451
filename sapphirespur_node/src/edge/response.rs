//! Answers that the router gives itself, and the type of all bodies.

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

/// Reason why a body ends before it is whole; its connection is closed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum BodyError {
    /// Upstream broke off and no other could go on.
    #[error("the upstream broke off")]
    UpstreamLost,
    /// Time of the request ran out.
    #[error("the time of the request ran out")]
    TimedOut,
}

/// Body of an answer.
pub(super) type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Answer to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Final answer of the router itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ErrorResponse {
    /// Request cannot be read.
    BadRequest,
    /// Key is not known.
    UnknownKey,
    /// No route takes the request.
    NoRoute,
    /// Body is larger than allowed.
    TooLarge,
    /// Body did not come in the time that the client waits.
    BodyTimedOut,
    /// Request was not run and may come back after a time.
    NotRun(Duration),
    /// Request may have run and its answer is lost.
    OutcomeUnknown,
    /// Time of the request ran out; it may have run.
    TimedOut,
}

/// Body of an answer of the router itself.
///
/// Source: RFC 9457.
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
    /// Returns the status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn type_and_title(self) -> (&'static str, &'static str) {
        match self {
            Self::BadRequest => ("urn:sapphirespur:problem:bad-request", "request is malformed"),
            Self::UnknownKey => ("urn:sapphirespur:problem:unknown-key", "key is not known"),
            Self::NoRoute => ("urn:sapphirespur:problem:no-route", "no route takes the request"),
            Self::TooLarge => ("urn:sapphirespur:problem:too-large", "body is too large"),
            Self::BodyTimedOut => {
                ("urn:sapphirespur:problem:body-timed-out", "body came too slowly")
            }
            Self::NotRun(_) => ("urn:sapphirespur:problem:not-run", "no room for the request now"),
            Self::OutcomeUnknown => {
                ("urn:sapphirespur:problem:outcome-unknown", "answer of the upstream is lost")
            }
            Self::TimedOut => ("urn:sapphirespur:problem:timed-out", "time of the request ran out"),
        }
    }

    fn outcome(self) -> &'static str {
        match self {
            Self::OutcomeUnknown | Self::TimedOut => "unknown",
            _ => "not_run",
        }
    }

    /// Returns the answer to the attempt `attempt_id`.
    pub fn into_response(self, dialect: &dyn Dialect, attempt_id: &str) -> ClientResponse {
        let (kind, title) = self.type_and_title();
        let problem = Problem {
            kind,
            title,
            status: self.status().as_u16(),
            outcome: self.outcome(),
            request_id: attempt_id,
        };

        // The structure above always has an encoding.
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(full_body(body.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Self::NotRun(after) = self
            && let Ok(value) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        dialect.write_response_headers(headers, attempt_id);
        response
    }
}

/// Returns a body that is whole.
pub(super) fn full_body(body: Bytes) -> ResponseBody {
    Box::pin(Full::new(body).map_err(|never| match never {}))
}
