//! Refusals of requests: reason, outcome and retry delay.

use std::time::Duration;

use thiserror::Error;

/// Retry delay that is returned to callers when no upstream can serve.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Whether a refused request may have had an effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The request did not run and will not be run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "outcome-unknown",
        }
    }
}

/// Reason why a request is refused, which callers receive as a code and an HTTP status.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum RefusalCode {
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    InvalidKey,
    /// The request is malformed.
    #[error("the request is malformed")]
    MalformedRequest,
    /// A chat call has no messages.
    #[error("the field 'messages' must be a list with at least one message")]
    MissingMessages,
    /// A completion call has no prompt.
    #[error("the field 'prompt' is missing")]
    MissingPrompt,
    /// The body exceeds the limit.
    #[error("the body exceeds the limit")]
    BodyTooLarge,
    /// The content type is not JSON.
    #[error("the content type must be application/json")]
    UnsupportedMediaType,
    /// The model or service is not configured.
    #[error("the model, service or path is unknown")]
    UnknownTarget,
    /// The class is not configured.
    #[error("the class of work is unknown")]
    UnknownClass,
    /// The idempotency key was used with another request.
    #[error("the idempotency key was used with another request")]
    KeyReused,
    /// An earlier request with the idempotency key is still running.
    #[error("an earlier request with the same idempotency key is in progress")]
    InProgress,
    /// An earlier request with the idempotency key may have run.
    #[error("an earlier request with the same idempotency key may have run")]
    EarlierOutcomeUnknown,
    /// The workspace has too many requests waiting.
    #[error("the workspace has too many requests waiting")]
    QueueFull,
    /// The request waited too long.
    #[error("the request waited too long")]
    WaitedTooLong,
    /// The router has no configuration yet or is shutting down.
    #[error("the router takes no requests now")]
    NotReady,
    /// No upstream can serve the request.
    #[error("no upstream can serve the request now")]
    NoUpstream,
    /// The platform's ledger is unavailable, so the request could not be recorded.
    #[error("the call cannot be recorded now")]
    LedgerUnavailable,
    /// The upstream failed to answer.
    #[error("the upstream failed")]
    UpstreamFailed,
    /// The answer was interrupted and could not be resumed.
    #[error("the answer was lost")]
    AnswerLost,
}

impl RefusalCode {
    /// Returns the code that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid-key",
            Self::MalformedRequest => "malformed-request",
            Self::MissingMessages => "missing-messages",
            Self::MissingPrompt => "missing-prompt",
            Self::BodyTooLarge => "body-too-large",
            Self::UnsupportedMediaType => "unsupported-media-type",
            Self::UnknownTarget => "unknown-target",
            Self::UnknownClass => "unknown-class",
            Self::KeyReused => "key-reused",
            Self::InProgress => "in-progress",
            Self::EarlierOutcomeUnknown => "earlier-outcome-unknown",
            Self::QueueFull => "queue-full",
            Self::WaitedTooLong => "waited-too-long",
            Self::NotReady => "not-ready",
            Self::NoUpstream => "no-upstream",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::UpstreamFailed => "upstream-failed",
            Self::AnswerLost => "answer-lost",
        }
    }

    /// Parses the text of `as_str`; returns `None` for an unknown code.
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [RefusalCode; 18] = [
            RefusalCode::InvalidKey,
            RefusalCode::MalformedRequest,
            RefusalCode::MissingMessages,
            RefusalCode::MissingPrompt,
            RefusalCode::BodyTooLarge,
            RefusalCode::UnsupportedMediaType,
            RefusalCode::UnknownTarget,
            RefusalCode::UnknownClass,
            RefusalCode::KeyReused,
            RefusalCode::InProgress,
            RefusalCode::EarlierOutcomeUnknown,
            RefusalCode::QueueFull,
            RefusalCode::WaitedTooLong,
            RefusalCode::NotReady,
            RefusalCode::NoUpstream,
            RefusalCode::LedgerUnavailable,
            RefusalCode::UpstreamFailed,
            RefusalCode::AnswerLost,
        ];

        ALL.into_iter().find(|code| code.as_str() == text)
    }

    /// Returns the HTTP status of the response.
    ///
    /// Source: RFC 9110, section 15; draft-ietf-httpapi-idempotency-key-header, section 2.7.
    pub fn http_status(self) -> u16 {
        match self {
            Self::InvalidKey => 401,
            Self::MalformedRequest
            | Self::MissingMessages
            | Self::MissingPrompt
            | Self::UnknownClass => 400,
            Self::BodyTooLarge => 413,
            Self::UnsupportedMediaType => 415,
            Self::UnknownTarget => 404,
            Self::KeyReused => 422,
            Self::InProgress | Self::EarlierOutcomeUnknown => 409,
            Self::QueueFull => 429,
            Self::WaitedTooLong | Self::NotReady | Self::NoUpstream | Self::LedgerUnavailable => {
                503
            }
            Self::UpstreamFailed | Self::AnswerLost => 502,
        }
    }
}

/// Final response to a request that is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Whether the request may have had an effect.
    pub outcome: Outcome,
    /// Time after which the caller may retry; absent when a retry is not advised.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and would be refused again on retry.
    pub const fn rejected(code: RefusalCode) -> Self {
        Self { code, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a refusal of a request that did not run and may be retried after a delay.
    pub const fn retryable(code: RefusalCode, retry_after: Duration) -> Self {
        Self { code, outcome: Outcome::NotRun, retry_after: Some(retry_after) }
    }

    /// Creates a refusal of a request that did not run because no upstream was available.
    pub const fn no_upstream() -> Self {
        Self::retryable(RefusalCode::NoUpstream, NO_UPSTREAM_RETRY)
    }

    /// Creates a refusal of a request that may have run.
    pub const fn outcome_unknown(code: RefusalCode) -> Self {
        Self { code, outcome: Outcome::Unknown, retry_after: None }
    }
}
