//! First filter: turns an HTTP request of a caller into a [`Request`], or says which field is wrong.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_128;

use crate::call::{ChatCall, ChatMessage, Fetch, Payload, PlainCall, Request};
use crate::error::{CallError, ErrorKind};
use crate::ids::{IdempotencyKey, ProgramId, RequestId, ServiceName};
use crate::prompt::Prompt;
use crate::units::{Bytes, SpanUs, Tokens};

/// Names the service of a chat call; absent: the entry's default.
pub const SERVICE_HEADER: &str = "clementinepick-service";
/// Names the program.
pub const PROGRAM_HEADER: &str = "clementinepick-program";
/// The call's place in the program, from 0.
pub const CALL_HEADER: &str = "clementinepick-call";
/// Names the parent program of a sub-agent.
pub const PARENT_HEADER: &str = "clementinepick-parent";
/// Names the root program of a sub-agent's sub-agent; absent: the parent is the root.
pub const ROOT_HEADER: &str = "clementinepick-root";
/// `append` when a chat call brings only messages that the history on record lacks.
pub const HISTORY_HEADER: &str = "clementinepick-history";
/// The chain of the history that an appending call builds on, from the last answer.
pub const HISTORY_CHAIN_HEADER: &str = "clementinepick-history-chain";
/// Names the class.
pub const CLASS_HEADER: &str = "clementinepick-class";
/// The milliseconds until the caller gives up.
pub const DEADLINE_HEADER: &str = "clementinepick-deadline-ms";
/// The token budget of the program.
pub const BUDGET_HEADER: &str = "clementinepick-budget-tokens";
/// Names the tool that the program calls after this turn.
pub const TOOL_HEADER: &str = "clementinepick-next-tool";
/// `yes` when the call may not run twice.
pub const NON_IDEMPOTENT_HEADER: &str = "clementinepick-non-idempotent";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers between two hops, which are not passed on.
const HOP_HEADERS: &[&str] = &[
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

/// Whether a header, named in lower case, belongs to one hop and is not passed on.
#[must_use]
pub fn is_hop_by_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// What an entry accepts.
#[derive(Debug, Clone)]
pub struct ParseSettings {
    /// The service of chat calls that name none.
    pub default_service: Option<ServiceName>,
    /// The largest body.
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

/// An HTTP request as far as the parser needs it.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    /// The method, in capitals.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, names in lower case.
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

    fn read<T>(&self, name: &'static str) -> Result<Option<T>, CallError>
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

    fn read_flag(&self, name: &'static str) -> Result<bool, CallError> {
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

/// Reads a call of `POST /v1/chat/completions`.
///
/// # Errors
///
/// Which header or field of the body is wrong.
pub fn parse_chat(
    settings: &ParseSettings,
    id: RequestId,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    check_size(settings, http)?;
    let service = match http.read(SERVICE_HEADER)? {
        Some(service) => service,
        None => settings.default_service.clone().ok_or_else(|| {
            CallError::in_field(
                ErrorKind::UnknownService,
                SERVICE_HEADER,
                "name the service here",
            )
        })?,
    };
    let call = read_chat_body(&http.body)?;
    read_request(id, service, Payload::Chat(call), http)
}

/// Reads a call of `/services/{service}/{path}`.
///
/// # Errors
///
/// Which header or part of the path is wrong.
pub fn parse_plain(
    settings: &ParseSettings,
    id: RequestId,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    check_size(settings, http)?;
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
    read_request(id, service, Payload::Plain(call), http)
}

/// Reads `GET /v1/programs/{program}/calls/{call}?position={characters}`.
///
/// # Errors
///
/// Which part of the path is wrong.
pub fn parse_fetch(id: RequestId, http: &HttpRequest) -> Result<Fetch, CallError> {
    let bad = |field: &str, detail: &str| CallError::in_field(ErrorKind::BadHeader, field, detail);
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
        program: program.parse().map_err(|_| bad("program", "is no name"))?,
        root: http.read(ROOT_HEADER)?,
        seq: call.parse().map_err(|_| bad("call", "is no number"))?,
        position: position
            .map_or(Ok(0), str::parse)
            .map_err(|_| bad("position", "is no number"))?,
    })
}

fn check_size(settings: &ParseSettings, http: &HttpRequest) -> Result<(), CallError> {
    if http.body.len() as u64 > settings.max_body_bytes.0 {
        let detail = format!("the limit is {}", settings.max_body_bytes);
        return Err(CallError::in_field(ErrorKind::BodyTooLarge, "body", detail));
    }
    Ok(())
}

fn read_request(
    id: RequestId,
    service: ServiceName,
    payload: Payload,
    http: &HttpRequest,
) -> Result<Request, CallError> {
    let program: Option<ProgramId> = http.read(PROGRAM_HEADER)?;
    let single_call = program.is_none();
    let parent = http.read(PARENT_HEADER)?;
    let root = http.read(ROOT_HEADER)?;
    let key: Option<IdempotencyKey> = http.read(IDEMPOTENCY_KEY_HEADER)?;
    if parent.is_none() && root.is_some() {
        let detail = format!("needs `{PARENT_HEADER}` as well");
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
        let detail = format!("needs `{PROGRAM_HEADER}` as well");
        return Err(CallError::in_field(
            ErrorKind::BadHeader,
            HISTORY_HEADER,
            detail,
        ));
    }
    if single_call && parent.is_some() {
        let detail = format!("needs `{PROGRAM_HEADER}` as well");
        return Err(CallError::in_field(
            ErrorKind::BadHeader,
            PARENT_HEADER,
            detail,
        ));
    }
    let deadline_ms: Option<u64> = http.read(DEADLINE_HEADER)?;
    let budget: Option<u64> = http.read(BUDGET_HEADER)?;
    Ok(Request {
        id,
        program: program.map_or_else(|| single_program(id, &service, key.as_ref()), Ok)?,
        service,
        single_call,
        seq: http.read(CALL_HEADER)?,
        parent,
        root,
        append,
        history_chain: http.read(HISTORY_CHAIN_HEADER)?,
        class: http.read(CLASS_HEADER)?,
        deadline_left_us: deadline_ms.map(SpanUs::from_ms),
        budget_tokens: budget.map(Tokens),
        idempotency_key: key,
        non_idempotent: http.read_flag(NON_IDEMPOTENT_HEADER)?,
        next_tool: http.read(TOOL_HEADER)?,
        payload,
    })
}

/// The program of a request that names none.
///
/// A repeat under the same idempotency key must find the first one's record, at whichever entry it
/// comes in; so the key gives the program, where there is one.
fn single_program(
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

fn read_chat_body(body: &[u8]) -> Result<ChatCall, CallError> {
    let bad = |field: &str, detail: &str| CallError::in_field(ErrorKind::BadBody, field, detail);
    let value: Value = serde_json::from_slice(body)
        .map_err(|err| CallError::in_field(ErrorKind::BadBody, "body", err.to_string()))?;
    let Value::Object(mut fields) = value else {
        return Err(bad("body", "must be a JSON object"));
    };
    let model = match fields.remove("model") {
        Some(Value::String(model)) => model.parse().map_err(|_| bad("model", "is no name"))?,
        _ => return Err(bad("model", "must be a string")),
    };
    let Some(Value::Array(messages)) = fields.remove("messages") else {
        return Err(bad("messages", "must be an array"));
    };
    if messages.is_empty() {
        return Err(bad("messages", "must not be empty"));
    }
    let messages: Result<Vec<_>, _> = messages
        .into_iter()
        .enumerate()
        .map(|(at, message)| read_message(at, message))
        .collect();
    let messages = messages?;
    let stream = match fields.remove("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => stream,
        Some(_) => return Err(bad("stream", "must be true or false")),
    };
    Ok(ChatCall {
        model,
        prompt: Prompt::of_messages(&messages),
        messages,
        max_output_tokens: read_max_output(&mut fields)?,
        stream,
        extra: fields.into_iter().collect(),
    })
}

fn read_max_output(fields: &mut Map<String, Value>) -> Result<Option<Tokens>, CallError> {
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

fn read_message(at: usize, message: Value) -> Result<ChatMessage, CallError> {
    let bad = |field: &str, detail: &str| {
        CallError::in_field(ErrorKind::BadBody, format!("messages[{at}]{field}"), detail)
    };
    let Value::Object(mut fields) = message else {
        return Err(bad("", "must be an object"));
    };
    let Some(Value::String(role)) = fields.remove("role") else {
        return Err(bad(".role", "must be a string"));
    };
    let content = match fields.remove("content") {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text,
        Some(Value::Array(parts)) => join_parts(&parts)
            .ok_or_else(|| bad(".content", "must be a string or an array of text parts"))?,
        Some(_) => {
            return Err(bad(
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

fn join_parts(parts: &[Value]) -> Option<String> {
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
            default_service: Some("agent-llm".parse().expect("a name")),
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
    fn a_plain_client_needs_no_header() {
        let request = chat(&[], BODY).expect("right");
        assert!(request.single_call);
        let Payload::Chat(call) = request.payload else {
            panic!("a chat call")
        };
        assert_eq!(call.messages, [ChatMessage::new("user", "hi")]);
        assert_eq!(call.extra["top_p"], 1);
    }

    #[test]
    fn an_error_names_its_field() {
        let field = |headers: &[(&str, &str)], body| chat(headers, body).expect_err("wrong").field;
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
    fn a_plain_path_is_split_from_its_service() {
        let http = HttpRequest {
            method: "POST".into(),
            path: "/services/book-app/holds?x=1".into(),
            headers: vec![("host".into(), "h".into()), ("accept".into(), "a".into())],
            body: Vec::new(),
        };
        let request = parse_plain(&ParseSettings::default(), RequestId(7), &http).expect("right");
        assert_eq!(request.service.as_str(), "book-app");
        let Payload::Plain(call) = request.payload else {
            panic!("a plain call")
        };
        assert_eq!(call.path, "/holds?x=1");
        assert_eq!(call.headers, [("accept".to_owned(), "a".to_owned())]);
    }
}
