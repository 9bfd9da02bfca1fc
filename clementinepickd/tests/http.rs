//! What callers get for input that is wrong, too large or too slow: a typed error that names the
//! field and says that nothing ran.

mod exchange;
mod support;

use clementinepick::units::{Bytes, SpanUs};
use clementinepickd::Daemon;
use clementinepickd::settings::{Limits, Settings};
use exchange::{exchange, get};
use expect_test::{Expect, expect};
use support::{end, entry_settings, sidecar_settings};

const CHAT: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\n";

const SERVICE: &str = "clementinepick-service: agent-llm\r\n";
const RIGHT: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;

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

/// The status and the error of an answer, in one line.
fn summary(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
    let status = head.split(' ').nth(1).expect("a status");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let error = &body["error"];
    format!(
        "{status} {} {} not_run={} {}",
        error["code"], error["param"], error["not_run"], error["message"]
    )
}

fn check(settings: Settings, request: &str, expected: &Expect) {
    let daemon = Daemon::start(settings).expect("it starts");
    let answer = exchange(daemon.http_address(), request.as_bytes());
    end(daemon);
    expected.assert_eq(&summary(&answer));
}

fn chat(headers: &str, body: &str) -> String {
    format!(
        "{CHAT}{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn broken_json() {
    check(
        small_limits(),
        &chat(SERVICE, "{"),
        &expect![[
            r#"400 "bad_body" "body" not_run=true "EOF while parsing an object at line 1 column 1""#
        ]],
    );
}

#[test]
fn a_header_that_cannot_be_read() {
    check(
        small_limits(),
        &chat(
            "clementinepick-service: s\r\nclementinepick-deadline-ms: soon\r\n",
            RIGHT,
        ),
        &expect![[
            r#"400 "bad_header" "clementinepick-deadline-ms" not_run=true "invalid digit found in string""#
        ]],
    );
}

#[test]
fn a_header_given_twice() {
    let headers = "clementinepick-program: a\r\nclementinepick-program: b\r\n";
    check(
        small_limits(),
        &chat(headers, RIGHT),
        &expect![[r#"400 "bad_header" "clementinepick-program" not_run=true "is given twice""#]],
    );
}

#[test]
fn a_header_over_the_limit() {
    let headers = format!("x-long: {}\r\n", "x".repeat(600));
    check(
        small_limits(),
        &chat(&headers, "{}"),
        &expect![[r#"400 "bad_header" "x-long" not_run=true "the limit of all is 500 B""#]],
    );
}

#[test]
fn a_body_over_the_limit() {
    check(
        small_limits(),
        &chat("", &"x".repeat(2_000)),
        &expect![[r#"413 "body_too_large" "body" not_run=true "the limit is 1000 B""#]],
    );
}

#[test]
fn a_chunked_body_over_the_limit() {
    let chunk = format!("1f4\r\n{}\r\n", "x".repeat(500));
    let request = format!(
        "{CHAT}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk.repeat(3)
    );
    check(
        small_limits(),
        &request,
        &expect![[r#"413 "body_too_large" "body" not_run=true "the limit is 1000 B""#]],
    );
}

// A caller announces a body and never sends it all. The connection would be held for ever.
#[test]
fn a_body_that_does_not_come() {
    let request = format!("{CHAT}content-length: 500\r\n\r\nhalf");
    check(
        small_limits(),
        &request,
        &expect![[r#"400 "bad_body" "body" not_run=true "did not arrive within 300 ms""#]],
    );
}

#[test]
fn stream_options_of_the_wrong_shape() {
    check(
        small_limits(),
        &chat(
            SERVICE,
            r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"stream_options":{"include_usage":1}}"#,
        ),
        &expect![[
            r#"400 "bad_body" "stream_options.include_usage" not_run=true "must be true or false""#
        ]],
    );
}

#[test]
fn an_unknown_path() {
    let request = "GET /v1/nothing HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    check(
        small_limits(),
        request,
        &expect![[r#"404 "unknown_service" "path" not_run=true "no such path""#]],
    );
}

#[test]
fn a_call_before_the_log_was_read() {
    check(
        small_limits(),
        &chat(SERVICE, RIGHT),
        &expect![[r#"503 "not_ready" null not_run=true "this entry still reads the log""#]],
    );
}

#[test]
fn a_call_at_a_sidecar() {
    check(
        sidecar_settings(),
        &chat("", "{}"),
        &expect![[
            r#"404 "unknown_service" "path" not_run=true "this sidecar takes calls over links only""#
        ]],
    );
}

#[test]
fn a_process_says_that_it_lives_before_it_is_ready() {
    let daemon = Daemon::start(entry_settings()).expect("it starts");
    expect![[r#"{"ok":true}"#]].assert_eq(&get(daemon.http_address(), "/healthz"));
    expect![[r#"{"ready":false}"#]].assert_eq(&get(daemon.http_address(), "/readyz"));
    let dump: serde_json::Value =
        serde_json::from_str(&get(daemon.http_address(), "/debug/dump")).expect("JSON");
    assert_eq!(dump["state"]["peer"]["vm"], "entry-a");
    end(daemon);
}
