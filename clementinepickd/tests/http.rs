//! Tests that invalid, oversized or slow requests get a typed error that names the field and says that
//! nothing ran.

mod exchange;
mod support;

use clementinepick::units::{Bytes, SpanUs};
use clementinepickd::Daemon;
use clementinepickd::settings::{Limits, Settings};
use exchange::{exchange, get};
use expect_test::{Expect, expect};
use support::{end, entry_settings, sidecar_settings};

const CHAT_HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\n";

const SERVICE_HEADER: &str = "clementinepick-service: agent-llm\r\n";
const VALID_BODY: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;

fn small_limits() -> Settings {
    Settings {
        limits: Limits {
            body_bytes: Bytes(1_000),
            header_bytes: Bytes(500),
            receive_timeout_us: SpanUs::from_ms(300),
            ..Limits::default()
        },
        ..entry_settings()
    }
}

/// Formats the status and the error of a response in one line.
fn summarize_error(response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").expect("a response");
    let status = head.split(' ').nth(1).expect("a status");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let error = &body["error"];
    format!(
        "{status} {} {} not_run={} {}",
        error["code"], error["param"], error["not_run"], error["message"]
    )
}

fn assert_error(settings: Settings, request: &str, expected: &Expect) {
    let daemon = Daemon::start(settings).expect("it starts");
    let response = exchange(daemon.http_address(), request.as_bytes());
    end(daemon);
    expected.assert_eq(&summarize_error(&response));
}

fn chat_request(headers: &str, body: &str) -> String {
    format!(
        "{CHAT_HEAD}{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn malformed_json_is_rejected() {
    assert_error(
        small_limits(),
        &chat_request(SERVICE_HEADER, "{"),
        &expect![[
            r#"400 "bad_body" "body" not_run=true "EOF while parsing an object at line 1 column 1""#
        ]],
    );
}

#[test]
fn an_invalid_header_is_rejected_by_name() {
    assert_error(
        small_limits(),
        &chat_request(
            "clementinepick-service: s\r\nclementinepick-deadline-ms: soon\r\n",
            VALID_BODY,
        ),
        &expect![[
            r#"400 "bad_header" "clementinepick-deadline-ms" not_run=true "invalid digit found in string""#
        ]],
    );
}

#[test]
fn a_header_given_twice_is_rejected() {
    let headers = "clementinepick-program: a\r\nclementinepick-program: b\r\n";
    assert_error(
        small_limits(),
        &chat_request(headers, VALID_BODY),
        &expect![[r#"400 "bad_header" "clementinepick-program" not_run=true "is given twice""#]],
    );
}

#[test]
fn headers_over_the_limit_are_rejected() {
    let headers = format!("x-long: {}\r\n", "x".repeat(600));
    assert_error(
        small_limits(),
        &chat_request(&headers, "{}"),
        &expect![[
            r#"400 "bad_header" "x-long" not_run=true "the headers exceed their total limit of 500 B""#
        ]],
    );
}

#[test]
fn a_body_over_the_limit_is_rejected() {
    assert_error(
        small_limits(),
        &chat_request("", &"x".repeat(2_000)),
        &expect![[r#"413 "body_too_large" "body" not_run=true "exceeds the limit of 1000 B""#]],
    );
}

#[test]
fn a_chunked_body_over_the_limit_is_rejected() {
    let chunk = format!("1f4\r\n{}\r\n", "x".repeat(500));
    let request = format!(
        "{CHAT_HEAD}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk.repeat(3)
    );
    assert_error(
        small_limits(),
        &request,
        &expect![[r#"413 "body_too_large" "body" not_run=true "exceeds the limit of 1000 B""#]],
    );
}

// A caller announces a body and never sends all of it: the connection would be held forever.
#[test]
fn an_incomplete_body_times_out() {
    let request = format!("{CHAT_HEAD}content-length: 500\r\n\r\nhalf");
    assert_error(
        small_limits(),
        &request,
        &expect![[r#"400 "bad_body" "body" not_run=true "did not arrive within 300 ms""#]],
    );
}

#[test]
fn invalid_stream_options_are_rejected() {
    assert_error(
        small_limits(),
        &chat_request(
            SERVICE_HEADER,
            r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream_options":{"include_usage":1}}"#,
        ),
        &expect![[
            r#"400 "bad_body" "stream_options.include_usage" not_run=true "must be true or false""#
        ]],
    );
}

#[test]
fn an_unknown_path_is_rejected() {
    let request = "GET /v1/nothing HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    assert_error(
        small_limits(),
        request,
        &expect![[r#"404 "unknown_service" "path" not_run=true "no such path""#]],
    );
}

#[test]
fn a_call_before_the_log_is_read_is_rejected_as_not_ready() {
    assert_error(
        small_limits(),
        &chat_request(SERVICE_HEADER, VALID_BODY),
        &expect![[r#"503 "not_ready" null not_run=true "this entry still reads the log""#]],
    );
}

#[test]
fn a_sidecar_rejects_calls_over_http() {
    assert_error(
        sidecar_settings(),
        &chat_request("", "{}"),
        &expect![[
            r#"404 "unknown_service" "path" not_run=true "this sidecar takes calls over links only""#
        ]],
    );
}

#[test]
fn a_process_is_healthy_before_it_is_ready() {
    let daemon = Daemon::start(entry_settings()).expect("it starts");
    expect![[r#"{"ok":true}"#]].assert_eq(&get(daemon.http_address(), "/healthz"));
    expect![[r#"{"ready":false}"#]].assert_eq(&get(daemon.http_address(), "/readyz"));
    let dump: serde_json::Value =
        serde_json::from_str(&get(daemon.http_address(), "/debug/dump")).expect("JSON");
    assert_eq!(dump["state"]["peer"]["vm"], "entry-a");
    end(daemon);
}
