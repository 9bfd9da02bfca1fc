//! Builds the bodies of responses to callers: turns in the style of the OpenAI API, and errors.

use actix_http::StatusCode;
use clementinepick::call::{CallDone, FinishReason, TurnState, Usage};
use clementinepick::error::{CallError, ErrorKind, NotRun};
use clementinepick::ids::{ModelName, RequestId};
use serde_json::{Value, json};

/// The event that ends a complete stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The fields that all bodies or events of one chat response share.
#[derive(Debug, Clone)]
pub(crate) struct ChatResponseTemplate {
    pub(crate) request: RequestId,
    /// None where the answer of an earlier call is fetched.
    pub(crate) model: Option<ModelName>,
    /// Unix time, in seconds.
    pub(crate) created_s: u64,
    /// Whether a stream reports the token usage before its end.
    pub(crate) include_usage: bool,
}

impl ChatResponseTemplate {
    fn common_fields(&self, object: &str) -> Value {
        let mut common_fields = json!({
            "id": format!("chatcmpl-{}", self.request),
            "object": object,
            "created": self.created_s,
        });
        if let Some(model) = &self.model {
            common_fields["model"] = json!(model);
        }
        common_fields
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        let mut chunk = self.common_fields("chat.completion.chunk");
        chunk["choices"] = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
        chunk
    }

    /// Returns the first event of a stream.
    pub(crate) fn first_event(&self) -> String {
        event(&self.chunk(&json!({"role": "assistant", "content": ""}), None))
    }

    /// Returns an event that carries text.
    pub(crate) fn text_event(&self, text: &str) -> String {
        event(&self.chunk(&json!({"content": text}), None))
    }

    /// Returns the last events of a stream, up to `[DONE]`.
    pub(crate) fn final_events(&self, done: &CallDone) -> String {
        let mut last = self.chunk(&json!({}), Some(finish_reason(done)));
        last["clementinepick"] = call_reference(done);
        let mut events = event(&last);
        if self.include_usage {
            let mut chunk = self.common_fields("chat.completion.chunk");
            chunk["choices"] = json!([]);
            chunk["usage"] = usage(&done.usage);
            events += &event(&chunk);
        }
        events + DONE_EVENT
    }

    /// Returns the body of a response that is not streamed.
    pub(crate) fn full_body(&self, text: &str, done: &CallDone) -> Value {
        let mut body = self.common_fields("chat.completion");
        body["choices"] = json!([{
            "index": 0,
            "message": {"role": "assistant", "content": text, "refusal": null},
            "logprobs": null,
            "finish_reason": finish_reason(done),
        }]);
        body["usage"] = usage(&done.usage);
        body["clementinepick"] = call_reference(done);
        body
    }
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

const fn finish_reason(done: &CallDone) -> &'static str {
    match done.finish {
        Some(FinishReason::Length) => "length",
        Some(FinishReason::Stop) | None => "stop",
    }
}

fn usage(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens.0,
        "completion_tokens": usage.output_tokens.0,
        "total_tokens": usage.prompt_tokens.0 + usage.output_tokens.0,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens.0},
    })
}

/// Returns the program and number of the call, by which its answer can be fetched later.
fn call_reference(done: &CallDone) -> Value {
    json!({"program": done.call.program, "call": done.call.seq, "turn": done.turn})
}

/// Returns the value of the header that says whether a turn has been recorded.
pub(crate) const fn turn_header_value(turn: TurnState) -> &'static str {
    match turn {
        TurnState::Committed => "committed",
        TurnState::Pending => "pending",
        TurnState::NotKept => "not_kept",
    }
}

/// Returns the body of an error response.
pub(crate) fn error_body(error: &CallError) -> Value {
    let answer = error.kind.response();
    let not_run = match answer.not_run {
        NotRun::Yes => json!(true),
        NotRun::No => json!(false),
        NotRun::Unknown => json!("unknown"),
    };
    json!({"error": {
        "message": error.detail,
        "type": error_type(error.kind),
        "code": answer.code,
        "param": error.field,
        "not_run": not_run,
        "repeat_safe": answer.repeat_safe,
    }})
}

/// Returns an error as the last event of a stream; no `[DONE]` follows, since the answer is
/// incomplete.
pub(crate) fn error_event(error: &CallError) -> String {
    event(&error_body(error))
}

/// Returns the HTTP status of an error.
pub(crate) fn status(kind: ErrorKind) -> StatusCode {
    StatusCode::from_u16(kind.response().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns the error type by which OpenAI client libraries classify errors.
fn error_type(kind: ErrorKind) -> &'static str {
    match kind.response().status {
        402 => "insufficient_quota",
        429 => "rate_limit_error",
        404 => "not_found_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
