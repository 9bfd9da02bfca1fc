//! Parses a caller's HTTP request into a [`Request`], the first step of a call.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_128;

use crate::call::{ChatCall, ChatMessage, Fetch, Payload, PlainCall, Request};
use crate::error::{CallError, ErrorKind};
use crate::ids::{IdempotencyKey, ProgramId, RequestId, ServiceName};
use crate::prompt::Prompt;
use crate::units::{Bytes, SpanUs, Tokens};

/// The service of a chat call; defaults to the entry's default service.
pub const SERVICE_HEADER: &str = "clementinepick-service";
/// The program.
pub const PROGRAM_HEADER: &str = "clementinepick-program";
/// The call's sequence number in the program, from 0.
pub const CALL_HEADER: &str = "clementinepick-call";
/// The parent program of a sub-agent.
pub const PARENT_HEADER: &str = "clementinepick-parent";
/// The root program of a nested sub-agent; defaults to the parent.
pub const ROOT_HEADER: &str = "clementinepick-root";
/// `append` if a chat call contains only messages that follow the recorded history.
pub const HISTORY_HEADER: &str = "clementinepick-history";
/// The hash chain of the history that an appending call continues, from the last response.
pub const HISTORY_CHAIN_HEADER: &str = "clementinepick-history-chain";
/// The class of the call.
pub const CLASS_HEADER: &str = "clementinepick-class";
/// The caller's timeout, in milliseconds.
pub const DEADLINE_HEADER: &str = "clementinepick-deadline-ms";
/// The program's token budget.
pub const BUDGET_HEADER: &str = "clementinepick-budget-tokens";
/// The tool that the program calls after this turn.
pub const TOOL_HEADER: &str = "clementinepick-next-tool";
/// `yes` if the call is not idempotent.
pub const NON_IDEMPOTENT_HEADER: &str = "clementinepick-non-idempotent";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header, named in lower case, is hop-by-hop and not forwarded.
#[must_use]
pub fn is_hop_by_hop_header(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// The settings for parsing requests.
#[derive(Debug, Clone)]
pub struct ParseSettings {
    /// The service of chat calls that specify none.
    pub default_service: Option<ServiceName>,
    /// The maximum size of a request body.
    pub max_body_bytes: Bytes,
}

impl Default for ParseSettings {
    fn default() -> Self {
        Self {
            default_service: None,
            max_body_bytes: Bytes(8_000_000),
        }
    }
}

/// The parts of an HTTP request that are parsed.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    fn parse_header<T>(&self, name: &'static str) -> Result<Option<T>, CallError>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let Some(text) = self.header(name) else {
            return Ok(None);
        };
        let value = text.trim().parse();
        value
            .map(Some)
            .map_err(|err: T::Err| CallError::in_field(ErrorKind::BadHeader, name, err.to_string()))
    }

    fn parse_flag(&self, name: &'static str) -> Result<bool, CallError> {
        match self.header(name).map(str::trim) {
            None | Some("no") => Ok(false),
            Some("yes") => Ok(true),
            Some(_) => Err(CallError::in_field(
                ErrorKind::BadHeader,
                name,
                "must be `yes` or `no`",
            )),
        }
    }
}

/// Parses a request to `POST /v1/chat/completions`.
///
/// # Errors
///
/// Returns an error that names the invalid header or body field.
pub fn parse_chat(
    settings: &ParseSettings,
    id: RequestId,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    check_body_size(settings, http)?;
    let service = match http.parse_header(SERVICE_HEADER)? {
        Some(service) => service,
        None => settings.default_service.clone().ok_or_else(|| {
            CallError::in_field(
                ErrorKind::UnknownService,
                SERVICE_HEADER,
                "required, since the entry has no default service",
            )
        })?,
    };
    let call = parse_chat_body(&http.body)?;
    build_request(id, service, Payload::Chat(call), http)
}

/// Parses a request to `/services/{service}/{path}`.
///
/// # Errors
///
/// Returns an error that names the invalid header or part of the path.
pub fn parse_plain(
    settings: &ParseSettings,
    id: RequestId,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    check_body_size(settings, http)?;
    let rest = http.path.strip_prefix("/services/").unwrap_or_default();
    let (service, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let service: ServiceName = service.parse().map_err(|_| {
        CallError::in_field(
            ErrorKind::UnknownService,
            "path",
            "must be /services/{service}/{path}",
        )
    })?;
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let headers = http
        .headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name))
        .cloned()
        .collect();
    let call = PlainCall {
        method: http.method.clone(),
        path,
        headers,
        body: http.body.clone(),
    };
    build_request(id, service, Payload::Plain(call), http)
}

/// Parses `GET /v1/programs/{program}/calls/{call}?position={characters}`.
///
/// # Errors
///
/// Returns an error that names the invalid part of the path.
pub fn parse_fetch(id: RequestId, http: &HttpRequest) -> Result<Fetch, CallError> {
    let invalid =
        |field: &str, detail: &str| CallError::in_field(ErrorKind::BadHeader, field, detail);
    let (path, query) = http.path.split_once('?').unwrap_or((&http.path, ""));
    let parts: Vec<&str> = path.split('/').collect();
    let ["", "v1", "programs", program, "calls", call] = parts[..] else {
        let detail = "must be /v1/programs/{program}/calls/{call}";
        return Err(CallError::in_field(ErrorKind::UnknownCall, "path", detail));
    };
    let position = query
        .split('&')
        .find_map(|part| part.strip_prefix("position="));
    Ok(Fetch {
        id,
        program: program
            .parse()
            .map_err(|_| invalid("program", "must be a valid program name"))?,
        root: http.parse_header(ROOT_HEADER)?,
        seq: call
            .parse()
            .map_err(|_| invalid("call", "must be a whole number"))?,
        position: position
            .map_or(Ok(0), str::parse)
            .map_err(|_| invalid("position", "must be a whole number"))?,
    })
}

fn check_body_size(settings: &ParseSettings, http: &HttpRequest) -> Result<(), CallError> {
    if http.body.len() as u64 > settings.max_body_bytes.0 {
        let detail = format!("the limit is {}", settings.max_body_bytes);
        return Err(CallError::in_field(ErrorKind::BodyTooLarge, "body", detail));
    }
    Ok(())
}

fn build_request(
    id: RequestId,
    service: ServiceName,
    payload: Payload,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    let program: Option<ProgramId> = http.parse_header(PROGRAM_HEADER)?;
    let single_call = program.is_none();
    let parent = http.parse_header(PARENT_HEADER)?;
    let root = http.parse_header(ROOT_HEADER)?;
    let key: Option<IdempotencyKey> = http.parse_header(IDEMPOTENCY_KEY_HEADER)?;
    if parent.is_none() && root.is_some() {
        let detail = format!("requires the header `{PARENT_HEADER}`");
        return Err(CallError::in_field(
            ErrorKind::BadHeader,
            ROOT_HEADER,
            detail,
        ));
    }
    let append = match http.header(HISTORY_HEADER).map(str::trim) {
        None => false,
        Some("append") => true,
        Some(_) => {
            let detail = "must be `append`";
            return Err(CallError::in_field(
                ErrorKind::BadHeader,
                HISTORY_HEADER,
                detail,
            ));
        }
    };
    if single_call && append {
        let detail = format!("requires the header `{PROGRAM_HEADER}`");
        return Err(CallError::in_field(
            ErrorKind::BadHeader,
            HISTORY_HEADER,
            detail,
        ));
    }
    if single_call && parent.is_some() {
        let detail = format!("requires the header `{PROGRAM_HEADER}`");
        return Err(CallError::in_field(
            ErrorKind::BadHeader,
            PARENT_HEADER,
            detail,
        ));
    }
    let deadline_ms: Option<u64> = http.parse_header(DEADLINE_HEADER)?;
    let budget: Option<u64> = http.parse_header(BUDGET_HEADER)?;
    Ok(Request {
        id,
        program: program.map_or_else(|| single_call_program(id, &service, key.as_ref()), Ok)?,
        service,
        single_call,
        seq: http.parse_header(CALL_HEADER)?,
        parent,
        root,
        append,
        history_chain: http.parse_header(HISTORY_CHAIN_HEADER)?,
        class: http.parse_header(CLASS_HEADER)?,
        deadline_left_us: deadline_ms.map(SpanUs::from_ms),
        budget_tokens: budget.map(Tokens),
        idempotency_key: key,
        non_idempotent: http.parse_flag(NON_IDEMPOTENT_HEADER)?,
        next_tool: http.parse_header(TOOL_HEADER)?,
        payload,
    })
}

/// Returns the program of a request that specifies none.
///
/// A repeat with the same idempotency key must find the record of the first request at any entry,
/// so the program's name is derived from the key if there is one.
fn single_call_program(
    id: RequestId,
    service: &ServiceName,
    key: Option<&IdempotencyKey>,
) -> Result<ProgramId, CallError> {
    let name = key.map_or_else(
        || format!("call-{id}"),
        |key| {
            let text = format!("{service}/{key}");
            format!("key-{:032x}", xxh3_128(text.as_bytes()))
        },
    );
    let program = name.parse();
    program.map_err(|err| CallError::new(ErrorKind::Internal, format!("{err}")))
}

fn parse_chat_body(body: &[u8]) -> Result<ChatCall, CallError> {
    let invalid =
        |field: &str, detail: &str| CallError::in_field(ErrorKind::BadBody, field, detail);
    let value: Value = serde_json::from_slice(body)
        .map_err(|err| CallError::in_field(ErrorKind::BadBody, "body", err.to_string()))?;
    let Value::Object(mut fields) = value else {
        return Err(invalid("body", "must be a JSON object"));
    };
    let model = match fields.remove("model") {
        Some(Value::String(model)) => model
            .parse()
            .map_err(|_| invalid("model", "must be a valid model name"))?,
        _ => return Err(invalid("model", "must be a string")),
    };
    let Some(Value::Array(messages)) = fields.remove("messages") else {
        return Err(invalid("messages", "must be an array"));
    };
    if messages.is_empty() {
        return Err(invalid("messages", "must not be empty"));
    }
    let messages: Result<Vec<_>, _> = messages
        .into_iter()
        .enumerate()
        .map(|(at, message)| parse_message(at, message))
        .collect();
    let messages = messages?;
    let stream = match fields.remove("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => stream,
        Some(_) => return Err(invalid("stream", "must be true or false")),
    };
    Ok(ChatCall {
        model,
        prompt: Prompt::of_messages(&messages),
        messages,
        max_output_tokens: parse_max_output(&mut fields)?,
        stream,
        extra: fields.into_iter().collect(),
    })
}

fn parse_max_output(fields: &mut Map<String, Value>) -> Result<Option<Tokens>, CallError> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.remove(name) {
            None | Some(Value::Null) => {}
            Some(value) => {
                let count = value.as_u64().filter(|count| *count > 0).ok_or_else(|| {
                    CallError::in_field(ErrorKind::BadBody, name, "must be a whole number from 1")
                })?;
                return Ok(Some(Tokens(count)));
            }
        }
    }
    Ok(None)
}

fn parse_message(at: usize, message: Value) -> Result<ChatMessage, CallError> {
    let invalid = |field: &str, detail: &str| {
        CallError::in_field(ErrorKind::BadBody, format!("messages[{at}]{field}"), detail)
    };
    let Value::Object(mut fields) = message else {
        return Err(invalid("", "must be an object"));
    };
    let Some(Value::String(role)) = fields.remove("role") else {
        return Err(invalid(".role", "must be a string"));
    };
    let content = match fields.remove("content") {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text,
        Some(Value::Array(parts)) => join_text_parts(&parts)
            .ok_or_else(|| invalid(".content", "must be a string or an array of text parts"))?,
        Some(_) => {
            return Err(invalid(
                ".content",
                "must be a string or an array of text parts",
            ));
        }
    };
    let extra: BTreeMap<String, Value> = fields.into_iter().collect();
    Ok(ChatMessage {
        role,
        content,
        extra,
    })
}

fn join_text_parts(parts: &[Value]) -> Option<String> {
    parts
        .iter()
        .map(|part| part.get("text")?.as_str())
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn chat(headers: &[(&str, &str)], body: &str) -> Result<Request, CallError> {
        let settings = ParseSettings {
            default_service: Some("agent-llm".parse().expect("valid name")),
            ..Default::default()
        };
        let headers = headers
            .iter()
            .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
            .collect();
        let http = HttpRequest {
            headers,
            body: body.into(),
            ..Default::default()
        };
        parse_chat(&settings, RequestId(7), &http)
    }

    const BODY: &str = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"top_p":1}"#;

    #[test]
    fn headers_are_optional() {
        let request = chat(&[], BODY).expect("valid request");
        assert!(request.single_call);
        let Payload::Chat(call) = request.payload else {
            panic!("a chat call")
        };
        assert_eq!(call.messages, [ChatMessage::new("user", "hi")]);
        assert_eq!(call.extra["top_p"], 1);
    }

    #[test]
    fn error_names_the_invalid_field() {
        let field =
            |headers: &[(&str, &str)], body| chat(headers, body).expect_err("invalid").field;
        assert_eq!(field(&[], "{").as_deref(), Some("body"));
        assert_eq!(field(&[], r#"{"model":"m"}"#).as_deref(), Some("messages"));
        let body = r#"{"model":"m","messages":[{"role":"user","content":7}]}"#;
        assert_eq!(field(&[], body).as_deref(), Some("messages[0].content"));
        assert_eq!(
            field(&[(CALL_HEADER, "x")], BODY).as_deref(),
            Some(CALL_HEADER)
        );
        assert_eq!(
            field(&[(PARENT_HEADER, "p")], BODY).as_deref(),
            Some(PARENT_HEADER)
        );
    }

    #[test]
    fn service_is_split_from_the_plain_path() {
        let http = HttpRequest {
            method: "POST".into(),
            path: "/services/book-app/holds?x=1".into(),
            headers: vec![("host".into(), "h".into()), ("accept".into(), "a".into())],
            body: Vec::new(),
        };
        let request =
            parse_plain(&ParseSettings::default(), RequestId(7), &http).expect("valid request");
        assert_eq!(request.service.as_str(), "book-app");
        let Payload::Plain(call) = request.payload else {
            panic!("a plain call")
        };
        assert_eq!(call.path, "/holds?x=1");
        assert_eq!(call.headers, [("accept".to_owned(), "a".to_owned())]);
    }
}
