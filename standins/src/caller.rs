//! The callers' side of a call over HTTP: it sends, retries what was refused as not run, and reads
//! the answer to its end.

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

/// How long a caller tries before it gives a call up.
const PATIENCE: Duration = Duration::from_mins(1);
/// The least and the longest wait before a refused call is sent again.
const WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Shorter than the entries keep idle connections, so that none is used that they just close.
const IDLE_CONNECTION: Duration = Duration::from_secs(2);
/// The largest answer.
const MAX_ANSWER_BYTES: usize = 16_000_000;

/// Which program a call belongs to, and how it is to be treated.
#[derive(Debug, Clone, Default)]
pub struct CallMetadata {
    /// The service.
    pub service: String,
    /// The program; empty for a call on its own.
    pub program: String,
    /// The call's place in the program.
    pub seq: u64,
    /// The parent program.
    pub parent: Option<String>,
    /// The class; absent: the document's default.
    pub class: Option<String>,
}

/// A turn to ask for.
#[derive(Debug, Clone)]
pub struct ChatCallSpec {
    /// The model.
    pub model: String,
    /// The whole transcript.
    pub messages: Vec<ChatMessage>,
    /// How long the answer will be, for the engine stand-in.
    pub wanted: Tokens,
    /// Whether the answer comes as a stream.
    pub stream: bool,
    /// The tool that is called after the turn.
    pub tool: Option<String>,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainCallSpec {
    /// The method.
    pub method: awc::http::Method,
    /// The path below the service.
    pub path: String,
    /// The idempotency key of a call that must run once.
    pub once: Option<String>,
    /// The body.
    pub body: Value,
}

/// A whole answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallResponse {
    /// The text, or the plain service's body.
    pub text: String,
    /// Why a turn ended.
    pub finish: Option<String>,
    /// The prompt's tokens.
    pub prompt_tokens: u64,
    /// The prompt's tokens that came from a cache.
    pub cached_tokens: u64,
    /// The tokens generated.
    pub output_tokens: u64,
    /// The time to the first text of a stream.
    pub first_text: Option<Duration>,
}

/// What a call came to, with its refusals.
#[derive(Debug)]
pub struct CallOutcome {
    /// The time from the first attempt to the end.
    pub took: Duration,
    /// The codes of the answers that refused it.
    pub refusals: Vec<String>,
    /// How often the call was sent again.
    pub retries: u64,
    /// The answer, or why there is none.
    pub result: Result<CallResponse, CallFailure>,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// The answer is an error.
    #[error("{code}: {message}")]
    Refused {
        /// The error's code.
        code: String,
        /// Its sentence.
        message: String,
        /// Whether it says that the call did not run.
        not_run: bool,
        /// Whether it says that the call may be sent again.
        repeat_safe: bool,
    },
    /// No connection came about, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The answer is not whole.
    #[error("the answer broke off: {0}")]
    Broken(String),
    /// No entry was ready.
    #[error("no entry is ready")]
    NoEntry,
}

impl CallFailure {
    fn may_repeat(&self) -> bool {
        match self {
            Self::Refused {
                not_run,
                repeat_safe,
                ..
            } => *not_run && *repeat_safe,
            Self::NotSent(_) | Self::NoEntry => true,
            Self::Broken(_) => false,
        }
    }
}

/// A client of the entries.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    balancer: Balancer,
}

impl Caller {
    /// A caller over the balancer; it must live on a thread with a running system.
    #[must_use]
    pub fn new(balancer: Balancer) -> Self {
        Self {
            client: new_client(),
            balancer,
        }
    }

    /// The HTTP client.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Asks for a turn.
    pub async fn chat(&self, head: &CallMetadata, ask: &ChatCallSpec) -> CallOutcome {
        self.repeat(async |entry| self.chat_once(entry, head, ask).await)
            .await
    }

    /// Calls a plain service.
    pub async fn plain(&self, head: &CallMetadata, ask: &PlainCallSpec) -> CallOutcome {
        self.repeat(async |entry| self.plain_once(entry, head, ask).await)
            .await
    }

    /// Ends a program.
    pub async fn end(&self, program: &str) -> CallOutcome {
        self.repeat(async |entry| {
            let path = format!("/v1/programs/{program}/end");
            let request = self.client.post(format!("http://{entry}{path}"));
            let response = request.send().await.map_err(send_failure)?;
            whole(response).await
        })
        .await
    }

    async fn repeat(
        &self,
        attempt: impl AsyncFn(std::net::SocketAddr) -> Result<CallResponse, CallFailure>,
    ) -> CallOutcome {
        let begun = Instant::now();
        let (mut refusals, mut retries) = (Vec::new(), 0);
        let mut wait = WAIT.0;
        loop {
            let result = match self.balancer.next_ready() {
                Some(entry) => attempt(entry).await,
                None => Err(CallFailure::NoEntry),
            };
            let again = match &result {
                Ok(_) => false,
                Err(failure) => {
                    if let CallFailure::Refused { code, .. } = failure {
                        refusals.push(code.clone());
                    }
                    failure.may_repeat() && begun.elapsed() < PATIENCE
                }
            };
            if !again {
                return CallOutcome {
                    took: begun.elapsed(),
                    refusals,
                    retries,
                    result,
                };
            }
            retries += 1;
            actix_rt::time::sleep(wait).await;
            wait = (wait * 2).min(WAIT.1);
        }
    }

    async fn chat_once(
        &self,
        entry: std::net::SocketAddr,
        head: &CallMetadata,
        ask: &ChatCallSpec,
    ) -> Result<CallResponse, CallFailure> {
        let begun = Instant::now();
        let mut body = json!({
            "model": ask.model,
            "messages": ask.messages,
            "stream": ask.stream,
            OUTPUT_TOKENS_FIELD: ask.wanted,
        });
        if ask.stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        let request = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"));
        let mut request = with_head(request, head).insert_header((SERVICE_HEADER, &*head.service));
        if let Some(tool) = &ask.tool {
            request = request.insert_header((TOOL_HEADER, &**tool));
        }
        let response = request.send_json(&body).await.map_err(send_failure)?;
        if ask.stream && response.status().is_success() {
            return read_stream(response, begun).await;
        }
        let answer = whole(response).await?;
        read_whole(&answer.text)
    }

    async fn plain_once(
        &self,
        entry: std::net::SocketAddr,
        head: &CallMetadata,
        ask: &PlainCallSpec,
    ) -> Result<CallResponse, CallFailure> {
        let url = format!("http://{entry}/services/{}{}", head.service, ask.path);
        let mut request = with_head(self.client.request(ask.method.clone(), url), head);
        if let Some(key) = &ask.once {
            request = request
                .insert_header((IDEMPOTENCY_KEY_HEADER, &**key))
                .insert_header((NON_IDEMPOTENT_HEADER, "yes"));
        }
        let sent = if ask.body.is_null() {
            request.send().await
        } else {
            request.send_json(&ask.body).await
        };
        whole(sent.map_err(send_failure)?).await
    }
}

/// A client without limits of its own, whose idle connections are given up early.
#[must_use]
pub fn new_client() -> Client {
    let connector = Connector::new()
        .limit(0)
        .conn_keep_alive(IDLE_CONNECTION)
        .timeout(Duration::from_secs(2));
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

fn with_head(request: awc::ClientRequest, head: &CallMetadata) -> awc::ClientRequest {
    let mut request = request;
    if !head.program.is_empty() {
        request = request
            .insert_header((PROGRAM_HEADER, &*head.program))
            .insert_header((CALL_HEADER, head.seq.to_string()));
    }
    if let Some(parent) = &head.parent {
        request = request.insert_header((PARENT_HEADER, &**parent));
    }
    if let Some(class) = &head.class {
        request = request.insert_header((CLASS_HEADER, &**class));
    }
    request
}

fn send_failure(error: SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(err) => CallFailure::NotSent(err.to_string()),
        err => CallFailure::Broken(err.to_string()),
    }
}

/// The whole body of an answer that is no error.
async fn whole<S>(mut response: ClientResponse<S>) -> Result<CallResponse, CallFailure>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|err| CallFailure::Broken(err.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        return Ok(CallResponse {
            text,
            ..CallResponse::default()
        });
    }
    Err(refusal(status.as_u16(), &text))
}

/// An error body, in the entries' shape.
fn refusal(status: u16, body: &str) -> CallFailure {
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

fn read_whole(body: &str) -> Result<CallResponse, CallFailure> {
    let value: Value =
        serde_json::from_str(body).map_err(|err| CallFailure::Broken(err.to_string()))?;
    let choice = &value["choices"][0];
    let mut answer = CallResponse {
        text: choice["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        finish: choice["finish_reason"].as_str().map(str::to_owned),
        ..CallResponse::default()
    };
    read_usage(&mut answer, &value["usage"]);
    Ok(answer)
}

fn read_usage(answer: &mut CallResponse, usage: &Value) {
    let count = |value: &Value| value.as_u64().unwrap_or_default();
    answer.prompt_tokens = count(&usage["prompt_tokens"]);
    answer.output_tokens = count(&usage["completion_tokens"]);
    answer.cached_tokens = count(&usage["prompt_tokens_details"]["cached_tokens"]);
}

/// Reads server-sent events up to `[DONE]`; an answer that ends before is not whole.
async fn read_stream<S>(
    mut response: ClientResponse<S>,
    begun: Instant,
) -> Result<CallResponse, CallFailure>
where
    S: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = CallResponse::default();
    let mut buffer = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|err| CallFailure::Broken(err.to_string()))?;
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).trim().to_owned();
            let Some(data) = event.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(answer);
            }
            read_event(&mut answer, data, begun)?;
        }
    }
    Err(CallFailure::Broken("no [DONE] came".to_owned()))
}

fn read_event(answer: &mut CallResponse, data: &str, begun: Instant) -> Result<(), CallFailure> {
    let value: Value =
        serde_json::from_str(data).map_err(|err| CallFailure::Broken(err.to_string()))?;
    if !value["error"].is_null() {
        return Err(refusal(200, data));
    }
    if value["usage"].is_object() {
        read_usage(answer, &value["usage"]);
    }
    let choice = &value["choices"][0];
    if let Some(text) = choice["delta"]["content"].as_str()
        && !text.is_empty()
    {
        answer.first_text.get_or_insert_with(|| begun.elapsed());
        answer.text += text;
    }
    if let Some(finish) = choice["finish_reason"].as_str() {
        answer.finish = Some(finish.to_owned());
    }
    Ok(())
}
