//! Implements the HTTP client of the callers: sends calls, retries those that provably did not run,
//! and reads responses to their end.

use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use awc::{Client, ClientResponse, Connector};
use clementinepick::call::ChatMessage;
use clementinepick::http_request::{
    CALL_HEADER, CLASS_HEADER, IDEMPOTENCY_KEY_HEADER, NON_IDEMPOTENT_HEADER, PARENT_HEADER,
    PROGRAM_HEADER, SERVICE_HEADER, TOOL_HEADER,
};
use clementinepick::units::Tokens;
use futures_util::{Stream, StreamExt};
use serde_json::{Value, json};
use thiserror::Error;

use crate::answer::OUTPUT_TOKENS_FIELD;
use crate::balancer::Balancer;

/// The time after the first attempt during which a call is retried.
const RETRY_TIMEOUT: Duration = Duration::from_mins(1);
/// The initial and the maximum backoff between attempts.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// How long idle connections are kept; shorter than on the entries, so that no request is sent on a
/// connection that an entry is closing.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// The metadata of a call, sent as request headers.
#[derive(Debug, Clone, Default)]
pub struct CallMetadata {
    /// The service.
    pub service: String,
    /// The program; empty for a call outside any program.
    pub program: String,
    /// The call's sequence number in the program.
    pub seq: u64,
    /// The parent program.
    pub parent: Option<String>,
    /// The class; `None` selects the document's default.
    pub class: Option<String>,
}

/// The request of a turn.
#[derive(Debug, Clone)]
pub struct ChatCallSpec {
    /// The model.
    pub model: String,
    /// The complete message history.
    pub messages: Vec<ChatMessage>,
    /// The length of the answer that the engine stand-in generates.
    pub answer_tokens: Tokens,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The tool that is called after the turn.
    pub tool: Option<String>,
}

/// The request of a plain service call.
#[derive(Debug, Clone)]
pub struct PlainCallSpec {
    /// The method.
    pub method: awc::http::Method,
    /// The path within the service.
    pub path: String,
    /// The idempotency key; set for a call that must run exactly once.
    pub idempotency_key: Option<String>,
    /// The JSON body; null for none.
    pub body: Value,
}

/// A complete successful response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallResponse {
    /// The generated text, or the response body of a plain service.
    pub text: String,
    /// The finish reason of a turn.
    pub finish_reason: Option<String>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens served from a cache.
    pub cached_tokens: u64,
    /// The number of generated tokens.
    pub output_tokens: u64,
    /// The time to the first text of a streamed answer.
    pub first_text: Option<Duration>,
}

/// The outcome of a call over all its attempts.
#[derive(Debug)]
pub struct CallOutcome {
    /// The time from the first attempt to the end of the last.
    pub took: Duration,
    /// The error codes of the attempts that were refused.
    pub refusals: Vec<String>,
    /// The number of retries.
    pub retries: u64,
    /// The response, or the failure of the last attempt.
    pub result: Result<CallResponse, CallFailure>,
}

/// Why an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// The entry returned an error response.
    #[error("{code}: {message}")]
    Refused {
        /// The error code.
        code: String,
        /// The error message.
        message: String,
        /// Whether the error states that the call did not run.
        not_run: bool,
        /// Whether the error states that the call is safe to retry.
        repeat_safe: bool,
    },
    /// The connection failed, so nothing was sent.
    #[error("connection to the entry failed: {0}")]
    NotSent(String),
    /// The request or the response was interrupted, or the response is malformed.
    #[error("response incomplete or malformed: {0}")]
    Incomplete(String),
    /// No entry was ready.
    #[error("no entry is ready")]
    NoEntry,
}

impl CallFailure {
    fn is_retryable(&self) -> bool {
        match self {
            Self::Refused {
                not_run,
                repeat_safe,
                ..
            } => *not_run && *repeat_safe,
            Self::NotSent(_) | Self::NoEntry => true,
            Self::Incomplete(_) => false,
        }
    }
}

/// An HTTP client of the entries.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    balancer: Balancer,
}

impl Caller {
    /// Returns a caller that sends to the balancer's ready entries; must be called on a thread with a
    /// running `actix_rt` system.
    #[must_use]
    pub fn new(balancer: Balancer) -> Self {
        Self {
            client: new_client(),
            balancer,
        }
    }

    /// Returns the HTTP client.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Requests a turn.
    pub async fn chat(&self, metadata: &CallMetadata, spec: &ChatCallSpec) -> CallOutcome {
        self.call_with_retries(async |entry| self.attempt_chat(entry, metadata, spec).await)
            .await
    }

    /// Calls a plain service.
    pub async fn plain(&self, metadata: &CallMetadata, spec: &PlainCallSpec) -> CallOutcome {
        self.call_with_retries(async |entry| self.attempt_plain(entry, metadata, spec).await)
            .await
    }

    /// Ends a program.
    pub async fn end(&self, program: &str) -> CallOutcome {
        self.call_with_retries(async |entry| {
            let path = format!("/v1/programs/{program}/end");
            let request = self.client.post(format!("http://{entry}{path}"));
            let response = request.send().await.map_err(send_error_to_failure)?;
            read_response(response).await
        })
        .await
    }

    async fn call_with_retries(
        &self,
        attempt: impl AsyncFn(std::net::SocketAddr) -> Result<CallResponse, CallFailure>,
    ) -> CallOutcome {
        let begun = Instant::now();
        let (mut refusals, mut retries) = (Vec::new(), 0);
        let mut backoff = RETRY_BACKOFF.0;
        loop {
            let result = match self.balancer.next_ready() {
                Some(entry) => attempt(entry).await,
                None => Err(CallFailure::NoEntry),
            };
            let should_retry = match &result {
                Ok(_) => false,
                Err(failure) => {
                    if let CallFailure::Refused { code, .. } = failure {
                        refusals.push(code.clone());
                    }
                    failure.is_retryable() && begun.elapsed() < RETRY_TIMEOUT
                }
            };
            if !should_retry {
                return CallOutcome {
                    took: begun.elapsed(),
                    refusals,
                    retries,
                    result,
                };
            }
            retries += 1;
            actix_rt::time::sleep(backoff).await;
            backoff = (backoff * 2).min(RETRY_BACKOFF.1);
        }
    }

    async fn attempt_chat(
        &self,
        entry: std::net::SocketAddr,
        metadata: &CallMetadata,
        spec: &ChatCallSpec,
    ) -> Result<CallResponse, CallFailure> {
        let begun = Instant::now();
        let mut body = json!({
            "model": spec.model,
            "messages": spec.messages,
            "stream": spec.stream,
            OUTPUT_TOKENS_FIELD: spec.answer_tokens,
        });
        if spec.stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        let request = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"));
        let mut request =
            with_metadata(request, metadata).insert_header((SERVICE_HEADER, &*metadata.service));
        if let Some(tool) = &spec.tool {
            request = request.insert_header((TOOL_HEADER, &**tool));
        }
        let response = request
            .send_json(&body)
            .await
            .map_err(send_error_to_failure)?;
        if spec.stream && response.status().is_success() {
            return read_stream(response, begun).await;
        }
        let response = read_response(response).await?;
        parse_completion(&response.text)
    }

    async fn attempt_plain(
        &self,
        entry: std::net::SocketAddr,
        metadata: &CallMetadata,
        spec: &PlainCallSpec,
    ) -> Result<CallResponse, CallFailure> {
        let url = format!("http://{entry}/services/{}{}", metadata.service, spec.path);
        let mut request = with_metadata(self.client.request(spec.method.clone(), url), metadata);
        if let Some(key) = &spec.idempotency_key {
            request = request
                .insert_header((IDEMPOTENCY_KEY_HEADER, &**key))
                .insert_header((NON_IDEMPOTENT_HEADER, "yes"));
        }
        let sent = if spec.body.is_null() {
            request.send().await
        } else {
            request.send_json(&spec.body).await
        };
        read_response(sent.map_err(send_error_to_failure)?).await
    }
}

/// Returns an HTTP client without request timeout or connection limit that closes idle connections
/// early.
#[must_use]
pub fn new_client() -> Client {
    let connector = Connector::new()
        .limit(0)
        .conn_keep_alive(IDLE_CONNECTION_TIMEOUT)
        .timeout(Duration::from_secs(2));
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

fn with_metadata(request: awc::ClientRequest, metadata: &CallMetadata) -> awc::ClientRequest {
    let mut request = request;
    if !metadata.program.is_empty() {
        request = request
            .insert_header((PROGRAM_HEADER, &*metadata.program))
            .insert_header((CALL_HEADER, metadata.seq.to_string()));
    }
    if let Some(parent) = &metadata.parent {
        request = request.insert_header((PARENT_HEADER, &**parent));
    }
    if let Some(class) = &metadata.class {
        request = request.insert_header((CLASS_HEADER, &**class));
    }
    request
}

fn send_error_to_failure(error: SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(err) => CallFailure::NotSent(err.to_string()),
        err => CallFailure::Incomplete(err.to_string()),
    }
}

/// Reads a response body to its end.
///
/// # Errors
///
/// Returns an error if the response is an error response or its body is incomplete.
async fn read_response<S>(mut response: ClientResponse<S>) -> Result<CallResponse, CallFailure>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|err| CallFailure::Incomplete(err.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        return Ok(CallResponse {
            text,
            ..CallResponse::default()
        });
    }
    Err(parse_refusal(status.as_u16(), &text))
}

/// Parses an error body in the entries' format.
fn parse_refusal(status: u16, body: &str) -> CallFailure {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    let error = &value["error"];
    let text = |name: &str| error[name].as_str().map(str::to_owned);
    CallFailure::Refused {
        code: text("code").unwrap_or_else(|| format!("status {status}")),
        message: text("message").unwrap_or_else(|| body.to_owned()),
        not_run: error["not_run"] == json!(true),
        repeat_safe: error["repeat_safe"] == json!(true),
    }
}

fn parse_completion(body: &str) -> Result<CallResponse, CallFailure> {
    let value: Value =
        serde_json::from_str(body).map_err(|err| CallFailure::Incomplete(err.to_string()))?;
    let choice = &value["choices"][0];
    let mut call_response = CallResponse {
        text: choice["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        finish_reason: choice["finish_reason"].as_str().map(str::to_owned),
        ..CallResponse::default()
    };
    parse_usage(&mut call_response, &value["usage"]);
    Ok(call_response)
}

fn parse_usage(call_response: &mut CallResponse, usage: &Value) {
    let count = |value: &Value| value.as_u64().unwrap_or_default();
    call_response.prompt_tokens = count(&usage["prompt_tokens"]);
    call_response.output_tokens = count(&usage["completion_tokens"]);
    call_response.cached_tokens = count(&usage["prompt_tokens_details"]["cached_tokens"]);
}

/// Reads server-sent events up to `[DONE]`; a stream that ends earlier is incomplete.
async fn read_stream<S>(
    mut response: ClientResponse<S>,
    begun: Instant,
) -> Result<CallResponse, CallFailure>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut call_response = CallResponse::default();
    let mut buffer = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|err| CallFailure::Incomplete(err.to_string()))?;
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).trim().to_owned();
            let Some(data) = event.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(call_response);
            }
            parse_event(&mut call_response, data, begun)?;
        }
    }
    Err(CallFailure::Incomplete(
        "the stream ended before [DONE]".to_owned(),
    ))
}

fn parse_event(
    call_response: &mut CallResponse,
    data: &str,
    begun: Instant,
) -> Result<(), CallFailure> {
    let value: Value =
        serde_json::from_str(data).map_err(|err| CallFailure::Incomplete(err.to_string()))?;
    if !value["error"].is_null() {
        return Err(parse_refusal(200, data));
    }
    if value["usage"].is_object() {
        parse_usage(call_response, &value["usage"]);
    }
    let choice = &value["choices"][0];
    if let Some(text) = choice["delta"]["content"].as_str()
        && !text.is_empty()
    {
        call_response
            .first_text
            .get_or_insert_with(|| begun.elapsed());
        call_response.text += text;
    }
    if let Some(finish) = choice["finish_reason"].as_str() {
        call_response.finish_reason = Some(finish.to_owned());
    }
    Ok(())
}
