//! End-to-end tests of the interface for callers, with real processes.

mod common;

use std::time::Duration;

use awc::http::Method;
use common::{
    KEY, MODEL, block_on, book, client, count_bookings, eventually, get_json, read_log,
    request_stream, start,
};
use futures::StreamExt;
use sapphirespur_standin::client::{CallError, complete};
use sapphirespur_standin::engine::EngineOptions;
use sapphirespur_standin::processes::{Layout, ProcessFleet};
use serde_json::{Value, json};

const ROUTER: &str = "milano-r1";

/// Request that a router must refuse.
struct InvalidRequest {
    method: Method,
    path: &'static str,
    key: Option<&'static str>,
    content_type: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

impl Default for InvalidRequest {
    fn default() -> Self {
        let body = json!({ "model": MODEL, "prompt": "a b" });

        Self {
            method: Method::POST,
            path: "/v1/completions",
            key: Some(KEY),
            content_type: "application/json",
            headers: &[],
            body: body.to_string(),
        }
    }
}

fn chat(body: &Value) -> InvalidRequest {
    InvalidRequest {
        path: "/v1/chat/completions",
        body: body.to_string(),
        ..InvalidRequest::default()
    }
}

/// Asserts that a request gets a problem response with this status and code and was not run.
async fn assert_refused(fleet: &ProcessFleet, request: InvalidRequest, status: u16, code: &str) {
    let url = format!("{}{}", fleet.router_url(ROUTER), request.path);
    let mut builder = client().request(request.method, url);
    builder = builder.insert_header(("content-type", request.content_type));
    if let Some(key) = request.key {
        builder = builder.bearer_auth(key);
    }
    for header in request.headers {
        builder = builder.insert_header(*header);
    }
    let mut response = builder.send_body(request.body).await.expect("there is a response");
    let body: Value = serde_json::from_slice(&response.body().await.expect("the body is complete"))
        .expect("the body is JSON");

    assert_eq!(response.status().as_u16(), status, "{code}");
    assert_eq!(
        response.headers().get("content-type").expect("the type is set"),
        "application/problem+json"
    );
    assert_eq!(body["code"], code);
    assert_eq!(body["outcome"], "not-run", "{code}");
    assert_eq!(
        body["request_id"].as_str().expect("the problem has a request ID"),
        response.headers().get("x-request-id").expect("the ID is set").to_str().expect("text")
    );
}

#[test]
fn invalid_requests_get_problem_responses() {
    let fleet = start("bad_requests", Layout::minimal());
    let completion_body = |model: &str| json!({ "model": model, "prompt": "a" }).to_string();
    block_on(async {
        let cases = [
            (InvalidRequest { key: None, ..InvalidRequest::default() }, 401, "invalid-key"),
            (
                InvalidRequest { key: Some("wrong"), ..InvalidRequest::default() },
                401,
                "invalid-key",
            ),
            (
                InvalidRequest { body: "{".to_owned(), ..InvalidRequest::default() },
                400,
                "malformed-request",
            ),
            (
                InvalidRequest { body: "{}".to_owned(), ..InvalidRequest::default() },
                400,
                "malformed-request",
            ),
            (chat(&json!({ "model": MODEL })), 400, "missing-messages"),
            (chat(&json!({ "model": MODEL, "messages": [] })), 400, "missing-messages"),
            (chat(&json!({ "model": MODEL, "messages": "a" })), 400, "missing-messages"),
            (chat(&json!({ "model": MODEL, "messages": null })), 400, "missing-messages"),
            (chat(&json!({ "model": MODEL, "prompt": "a" })), 400, "missing-messages"),
            (
                InvalidRequest {
                    body: json!({ "model": MODEL }).to_string(),
                    ..InvalidRequest::default()
                },
                400,
                "missing-prompt",
            ),
            (
                InvalidRequest { content_type: "text/plain", ..InvalidRequest::default() },
                415,
                "unsupported-media-type",
            ),
            (
                InvalidRequest { body: completion_body("other"), ..InvalidRequest::default() },
                404,
                "unknown-target",
            ),
            (
                InvalidRequest { path: "/nowhere", ..InvalidRequest::default() },
                404,
                "unknown-target",
            ),
            (
                InvalidRequest { path: "/services/other/x", ..InvalidRequest::default() },
                404,
                "unknown-target",
            ),
            (
                InvalidRequest {
                    headers: &[("x-sapphirespur-class", "other")],
                    ..InvalidRequest::default()
                },
                400,
                "unknown-class",
            ),
            (
                InvalidRequest { body: "x".repeat(5 * 1024 * 1024), ..InvalidRequest::default() },
                413,
                "body-too-large",
            ),
        ];
        for (request, status, code) in cases {
            assert_refused(&fleet, request, status, code).await;
        }
    });
}

#[test]
fn concurrent_callers_get_complete_responses_to_their_own_prompts() {
    let fleet = start("own_answers", Layout::default());
    block_on(async {
        let routers = fleet.layout.router_names();
        let calls = (0..80).map(|n: usize| {
            let url = fleet.router_url(&routers[n % routers.len()]);
            async move { request_stream(&url, &format!("prompt {n} of its caller"), 30).await }
        });
        for response in futures::future::join_all(calls).await {
            response.expect("the response is complete and matches its prompt");
        }
    });
}

#[test]
fn repeated_booking_gets_the_recorded_response_through_any_router() {
    let fleet = start("repeats", Layout::default());
    block_on(async {
        let mut texts = Vec::new();
        for router in fleet.layout.router_names() {
            let response = book(&fleet.router_url(&router), "key", "one booking").await;
            texts.push(response.expect("the booking is answered").text);
        }
        texts.dedup();
        assert_eq!(texts.len(), 1);

        let conflicting = book(&fleet.router_url(ROUTER), "key", "another booking").await;
        assert!(
            matches!(conflicting, Err(CallError::Status { status: 422, .. })),
            "{conflicting:?}"
        );
        assert_eq!(count_bookings(&fleet).await, 1);
    });
}

#[test]
fn concurrent_bookings_with_one_key_run_once() {
    let layout = Layout { service_latency_ms: 300, ..Layout::default() };
    let fleet = start("simultaneous", layout);
    block_on(async {
        let routers = fleet.layout.router_names();
        let calls = (0..12).map(|n: usize| {
            let url = fleet.router_url(&routers[n % routers.len()]);
            async move { book(&url, "key", "one booking").await }
        });
        let responses = futures::future::join_all(calls).await;
        assert!(responses.iter().any(Result::is_ok), "{responses:?}");
        for response in responses {
            let is_expected =
                matches!(response, Ok(_) | Err(CallError::Status { status: 409, .. }));
            assert!(is_expected, "{response:?}");
        }
        assert_eq!(count_bookings(&fleet).await, 1);
    });
}

#[test]
fn caller_disconnect_cancels_the_engine_request() {
    let engine = EngineOptions { token_ms: 50, ..Layout::minimal().engine };
    let fleet = start("hang_up", Layout { engine, ..Layout::minimal() });
    block_on(async {
        let body = json!({
            "model": MODEL, "prompt": "a b c", "max_tokens": 1_000, "stream": true,
        });
        let url = format!("{}/v1/completions", fleet.router_url(ROUTER));
        let mut response =
            client().post(url).bearer_auth(KEY).send_json(&body).await.expect("the stream starts");
        response.next().await.expect("there is data").expect("the data is received");
        drop(response);

        let counts = format!("{}/standin/counts", fleet.standin_url("milano-e1"));
        let is_cancelled = eventually(Duration::from_secs(10), async || {
            let counts = get_json(&counts).await;
            counts["running"] == 0 && counts["cancelled"] == 1
        })
        .await;
        assert!(is_cancelled, "the engine still runs the cancelled request");
        let status = format!("{}/status", fleet.admin_url(ROUTER));
        let is_removed =
            eventually(Duration::from_secs(10), async || get_json(&status).await["serving"] == 0)
                .await;
        assert!(is_removed, "the router still counts the cancelled request");
    });
}

#[test]
fn slow_reader_gets_the_complete_response() {
    let fleet = start("slow_reader", Layout::minimal());
    block_on(async {
        let body = json!({
            "model": MODEL, "prompt": "word", "max_tokens": 3_000, "stream": true,
        });
        let url = format!("{}/v1/completions", fleet.router_url(ROUTER));
        let mut response =
            client().post(url).bearer_auth(KEY).send_json(&body).await.expect("the stream starts");
        let mut data = Vec::new();
        let mut chunks = 0;
        while let Some(chunk) = response.next().await {
            data.extend_from_slice(&chunk.expect("the response is complete"));
            chunks += 1;
            if chunks % 20 == 0 && chunks < 200 {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
        let text = String::from_utf8(data).expect("text");
        assert_eq!(text.matches("data: {").count(), 3_000);
        assert!(text.trim_end().ends_with("data: [DONE]"));
    });
}

#[test]
fn model_list_requires_a_key() {
    let fleet = start("models", Layout::minimal());
    block_on(async {
        let url = format!("{}/v1/models", fleet.router_url(ROUTER));
        let mut response = client().get(&url).bearer_auth(KEY).send().await.expect("a response");
        let list: Value =
            serde_json::from_slice(&response.body().await.expect("the body is complete"))
                .expect("JSON");
        assert_eq!(list["data"][0]["id"], MODEL);
        let response = client().get(&url).send().await.expect("a response");
        assert_eq!(response.status().as_u16(), 401);
    });
}

#[test]
fn router_is_ready_only_after_it_has_a_configuration() {
    let fleet = common::start_unconfigured("readiness", Layout::minimal());
    block_on(async {
        let status = async |path: &str| {
            let url = format!("{}{path}", fleet.router_url(ROUTER));
            client().get(url).send().await.expect("a response").status().as_u16()
        };
        assert_eq!(status("/healthz").await, 200);
        assert_eq!(status("/readyz").await, 503);
        let before = request_stream(&fleet.router_url(ROUTER), "a", 3).await;
        let is_expected =
            matches!(before, Err(CallError::Status { status: 503, retry_after_s: Some(_), .. }));
        assert!(is_expected, "{before:?}");
        fleet.configure().expect("the configuration is accepted");
        assert!(eventually(Duration::from_secs(5), async || status("/readyz").await == 200).await);
    });
}

#[test]
fn logs_are_json_lines_without_keys_or_request_bodies() {
    let fleet = start("logs", Layout::minimal());
    block_on(async {
        let secret = "an-unusual-prompt";
        let url = fleet.router_url(ROUTER);
        complete(&client(), &url, KEY, MODEL, secret, 3, true).await.expect("answered");
        book(&url, "an-unusual-key", secret).await.expect("answered");
        for name in [ROUTER, "milano-e1", "milano-s1"] {
            let log = read_log(&fleet.dir, name);
            for line in log.lines() {
                let line: Value = serde_json::from_str(line).expect("a line is JSON");
                for key in ["time_us", "level", "node", "message"] {
                    assert!(!line[key].is_null(), "{key} is missing in {line}");
                }
            }
            for text in [KEY, secret, "an-unusual-key"] {
                assert!(!log.contains(text), "{name} logs {text}");
            }
        }
    });
}
