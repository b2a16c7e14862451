//! Single calls of models and plain services.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use awc::Client;
use futures::StreamExt;
use serde_json::{Value, json};

/// Failure of a call.
#[derive(Clone, Debug)]
pub enum CallError {
    /// The request could not be sent, or the response is missing or broke off; holds the cause.
    Transport(String),
    /// The response has an HTTP status other than 2xx.
    Status {
        /// HTTP status code.
        status: u16,
        /// Value of the `Retry-After` header, in seconds; absent when there is no such number.
        retry_after_s: Option<u64>,
        /// Body of the response, which usually states the problem.
        body: String,
    },
    /// The body is malformed, incomplete or not the one that the prompt calls for; holds the text
    /// or the cause.
    UnexpectedBody(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(cause) => write!(f, "transport error: {cause}"),
            Self::Status { status, retry_after_s, body } => {
                write!(f, "status {status}, retry after {retry_after_s:?}: {body}")
            }
            Self::UnexpectedBody(text) => write!(f, "unexpected response body: {text}"),
        }
    }
}

/// Complete response to a call, with its times.
#[derive(Clone, Debug)]
pub struct Response {
    /// Text of the completion, or the body of a plain response.
    pub text: String,
    /// Time from the request to the first data of the body.
    pub time_to_first_byte: Duration,
    /// Time from the request to the end of the body.
    pub total_time: Duration,
}

/// Calls a model and checks that the response repeats the words of the prompt for `tokens` tokens.
///
/// # Errors
///
/// Returns an error if the call fails, the response breaks off or its text differs.
pub async fn complete(
    client: &Client,
    base: &str,
    key: &str,
    model: &str,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Result<Response, CallError> {
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    let response = call_model(client, base, key, &body, stream).await?;

    let words: Vec<&str> = prompt.split_whitespace().collect();
    let expected: Vec<&str> = (0..tokens).map(|n| words[n as usize % words.len()]).collect();
    if response.text.split_whitespace().collect::<Vec<_>>() != expected {
        return Err(CallError::UnexpectedBody(response.text));
    }
    Ok(response)
}

/// Calls a model and returns the text of its completion.
///
/// # Errors
///
/// Returns an error if the call fails or the response breaks off.
pub async fn call_model(
    client: &Client,
    base: &str,
    key: &str,
    body: &Value,
    stream: bool,
) -> Result<Response, CallError> {
    let url = format!("{base}/v1/chat/completions");
    let request = client.post(url).bearer_auth(key);
    let start = Instant::now();
    let response = request.send_json(body).await;
    let (data, time_to_first_byte, total_time) = read_response(response, start).await?;

    let text = if stream { parse_stream(&data)? } else { parse_completion(&data)? };
    Ok(Response { text, time_to_first_byte, total_time })
}

/// Calls a plain service and returns its body as text.
///
/// # Errors
///
/// Returns an error if the call fails or the response breaks off.
pub async fn call_service(
    client: &Client,
    url: &str,
    key: &str,
    idempotency_key: Option<&str>,
    body: &str,
) -> Result<Response, CallError> {
    let mut request = client.post(url).bearer_auth(key);
    if let Some(idempotency_key) = idempotency_key {
        request = request.insert_header(("idempotency-key", idempotency_key));
    }
    let start = Instant::now();
    let response = request.send_body(body.to_owned()).await;
    let (data, time_to_first_byte, total_time) = read_response(response, start).await?;

    Ok(Response {
        text: String::from_utf8_lossy(&data).into_owned(),
        time_to_first_byte,
        total_time,
    })
}

/// Returns the body with the times from `start` to its first data and to its end.
async fn read_response(
    response: Result<awc::ClientResponse, awc::error::SendRequestError>,
    start: Instant,
) -> Result<(Vec<u8>, Duration, Duration), CallError> {
    let transport_error = |e: &dyn fmt::Display| CallError::Transport(e.to_string());
    let mut response = response.map_err(|e| transport_error(&e))?.timeout(Duration::from_secs(600));
    let mut data = Vec::new();
    let mut time_to_first_byte = None;
    while let Some(chunk) = response.next().await {
        data.extend_from_slice(&chunk.map_err(|e| transport_error(&e))?);
        time_to_first_byte.get_or_insert_with(|| start.elapsed());
    }

    let total_time = start.elapsed();
    if response.status().is_success() {
        return Ok((data, time_to_first_byte.unwrap_or(total_time), total_time));
    }
    let header = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    Err(CallError::Status {
        status: response.status().as_u16(),
        retry_after_s: header.and_then(|text| text.parse().ok()),
        body: String::from_utf8_lossy(&data).into_owned(),
    })
}

/// Returns the text of a streamed completion, which must end with `[DONE]`.
fn parse_stream(data: &[u8]) -> Result<String, CallError> {
    let mut text = String::new();
    for line in String::from_utf8_lossy(data).lines() {
        let Some(event) = line.strip_prefix("data: ") else { continue };
        if event == "[DONE]" {
            return Ok(text);
        }
        let chunk: Value =
            serde_json::from_str(event).map_err(|e| CallError::UnexpectedBody(e.to_string()))?;
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }

    Err(CallError::UnexpectedBody(format!("the stream ends without [DONE]: {text}")))
}

/// Returns the text of a completion that is not streamed.
fn parse_completion(data: &[u8]) -> Result<String, CallError> {
    let completion: Value =
        serde_json::from_slice(data).map_err(|e| CallError::UnexpectedBody(e.to_string()))?;

    Ok(completion["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned())
}

/// Returns how often the plain service at `url` ran calls whose method and URI start with `prefix`.
///
/// # Errors
///
/// Returns an error if the service sends no valid counts.
pub async fn count_runs(url: &str, prefix: &str) -> Result<u64, CallError> {
    let client = Client::default();
    let start = Instant::now();
    let response = client.get(format!("{url}/standin/runs")).send().await;
    let (data, ..) = read_response(response, start).await?;

    let runs: BTreeMap<String, u64> =
        serde_json::from_slice(&data).map_err(|e| CallError::UnexpectedBody(e.to_string()))?;
    Ok(runs.iter().filter(|(call, _)| call.starts_with(prefix)).map(|(_, count)| count).sum())
}
