//! The bodies that callers get: the OpenAI style for turns, and one shape for errors.

use actix_http::StatusCode;
use clementinepick::call::{CallDone, FinishReason, TurnState, Usage};
use clementinepick::error::{CallError, ErrorKind, NotRun};
use clementinepick::ids::{ModelName, RequestId};
use serde_json::{Value, json};

/// The last line of a stream.
pub(crate) const STREAM_END: &str = "data: [DONE]\n\n";

/// What stays the same in all bodies of one answer.
#[derive(Debug, Clone)]
pub(crate) struct ChatShape {
    pub(crate) request: RequestId,
    /// Absent where an answer is fetched later.
    pub(crate) model: Option<ModelName>,
    /// Seconds since 1970.
    pub(crate) created_s: u64,
    /// Whether a stream ends with the usage.
    pub(crate) include_usage: bool,
}

impl ChatShape {
    fn base(&self, object: &str) -> Value {
        let mut base = json!({
            "id": format!("chatcmpl-{}", self.request),
            "object": object,
            "created": self.created_s,
        });
        if let Some(model) = &self.model {
            base["model"] = json!(model);
        }
        base
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        let mut chunk = self.base("chat.completion.chunk");
        chunk["choices"] = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
        chunk
    }

    /// The first event of a stream.
    pub(crate) fn opening(&self) -> String {
        event(&self.chunk(&json!({"role": "assistant", "content": ""}), None))
    }

    /// An event with text.
    pub(crate) fn text(&self, text: &str) -> String {
        event(&self.chunk(&json!({"content": text}), None))
    }

    /// The last events of a stream.
    pub(crate) fn closing(&self, done: &CallDone) -> String {
        let mut last = self.chunk(&json!({}), Some(finish_reason(done)));
        last["clementinepick"] = call_of(done);
        let mut events = event(&last);
        if self.include_usage {
            let mut chunk = self.base("chat.completion.chunk");
            chunk["choices"] = json!([]);
            chunk["usage"] = usage(&done.usage);
            events += &event(&chunk);
        }
        events + STREAM_END
    }

    /// The body of an answer that is not streamed.
    pub(crate) fn whole(&self, text: &str, done: &CallDone) -> Value {
        let mut body = self.base("chat.completion");
        body["choices"] = json!([{
            "index": 0,
            "message": {"role": "assistant", "content": text, "refusal": null},
            "logprobs": null,
            "finish_reason": finish_reason(done),
        }]);
        body["usage"] = usage(&done.usage);
        body["clementinepick"] = call_of(done);
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

/// The call's place, by which its answer can be asked for again.
fn call_of(done: &CallDone) -> Value {
    json!({"program": done.call.program, "call": done.call.seq, "turn": done.turn})
}

/// The value of the header that says whether a turn is on record.
pub(crate) const fn turn_name(turn: TurnState) -> &'static str {
    match turn {
        TurnState::Committed => "committed",
        TurnState::Pending => "pending",
        TurnState::NotKept => "not_kept",
    }
}

/// The body of an error.
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

/// The error as the last event of a stream; no end line follows, since the answer is not whole.
pub(crate) fn error_event(error: &CallError) -> String {
    event(&error_body(error))
}

/// The error's status.
pub(crate) fn status(kind: ErrorKind) -> StatusCode {
    StatusCode::from_u16(kind.response().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// The error's type, as client libraries tell them apart.
fn error_type(kind: ErrorKind) -> &'static str {
    match kind.response().status {
        402 => "insufficient_quota",
        429 => "rate_limit_error",
        404 => "not_found_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
