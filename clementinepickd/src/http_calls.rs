//! Handles callers' requests over HTTP: turns, plain calls, fetches of earlier answers, and ending
//! programs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, Request, Response, ResponseBuilder, StatusCode};
use clementinepick::call::{
    AnswerPart, CallDone, ChatCall, Fetch, Payload, PlainAnswer, Request as CallRequest,
};
use clementinepick::error::{CallError, ErrorKind};
use clementinepick::http_request::{parse_chat, parse_fetch, parse_plain};
use clementinepick::ids::{ProgramId, RequestId};
use serde_json::{Value, json};

use crate::answer::{AnswerStream, CompleteAnswer, EventStream};
use crate::answer_queue::{AnswerQueueLimits, answer_queue};
use crate::control_messages::ControlInput;
use crate::http::HttpContext;
use crate::http_receive::read_request;
use crate::http_reply::{RequestError, json_response, reject_path, shutting_down, with_json};
use crate::link::duration;
use crate::response_body::{ChatResponseTemplate, turn_header_value};

const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Handles `POST /v1/chat/completions`, with or without streaming.
pub(crate) async fn handle_chat(
    context: &HttpContext,
    request: &mut Request,
) -> Result<Response<BoxBody>, RequestError> {
    let http = read_request(context, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_chat(&context.parse, id, &http)?;
    let Payload::Chat(call) = &request.payload else {
        return Err(
            CallError::new(ErrorKind::Internal, "the parsed request is not a chat call").into(),
        );
    };
    let (template, stream) = (response_template(id, call)?, call.stream);
    let answer = submit(context, CallInput::Call(Box::new(request))).await?;
    respond(answer, template, stream).await
}

fn response_template(
    request: RequestId,
    call: &ChatCall,
) -> Result<ChatResponseTemplate, CallError> {
    let invalid_field =
        |field: &str, detail: &str| CallError::in_field(ErrorKind::BadBody, field, detail);
    let include_usage = match call.extra.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(options)) => match options.get("include_usage") {
            None => false,
            Some(Value::Bool(include)) => *include,
            Some(_) => {
                return Err(invalid_field(
                    "stream_options.include_usage",
                    "must be true or false",
                ));
            }
        },
        Some(_) => return Err(invalid_field("stream_options", "must be an object")),
    };
    if !matches!(call.extra.get("n"), None | Some(Value::Null))
        && call.extra.get("n").and_then(Value::as_u64) != Some(1)
    {
        return Err(invalid_field("n", "must be 1: a call has a single choice"));
    }
    Ok(ChatResponseTemplate {
        request,
        model: Some(call.model.clone()),
        created_s: unix_seconds(),
        include_usage,
    })
}

fn unix_seconds() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |since| since.as_secs())
}

/// Handles a call to a plain service: `/services/{service}/{path}` with any method.
pub(crate) async fn handle_plain(
    context: &HttpContext,
    request: &mut Request,
) -> Result<Response<BoxBody>, RequestError> {
    let http = read_request(context, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_plain(&context.parse, id, &http)?;
    let mut answer = submit(context, CallInput::Call(Box::new(request))).await?;
    match answer.collect().await.map_err(RequestError::Control)? {
        CompleteAnswer::Plain(plain, done) => plain_response(plain, &done),
        CompleteAnswer::Turn(..) => {
            Err(CallError::new(ErrorKind::Internal, "the plain call returned a turn").into())
        }
    }
}

/// Handles `GET /v1/programs/{program}/calls/{call}`: returns an earlier answer, or the rest of one.
///
/// A turn is streamed if the caller accepts event streams.
async fn handle_fetch(
    context: &HttpContext,
    request: &mut Request,
) -> Result<Response<BoxBody>, RequestError> {
    let http = read_request(context, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let fetch = parse_fetch(id, &http)?;
    let accept = http.headers.iter().find(|(name, _)| name == "accept");
    let stream = accept.is_some_and(|(_, value)| value.contains(EVENT_STREAM_TYPE));
    let template = ChatResponseTemplate {
        request: id,
        model: None,
        created_s: unix_seconds(),
        include_usage: true,
    };
    let answer = submit(context, CallInput::Fetch(Box::new(fetch))).await?;
    respond(answer, template, stream).await
}

/// Builds the response from an answer; a turn is streamed if `stream` is set.
async fn respond(
    mut answer: AnswerStream,
    template: ChatResponseTemplate,
    stream: bool,
) -> Result<Response<BoxBody>, RequestError> {
    // The status is chosen after the first part, so that a rejected call gets its own status.
    let first = answer.next().await;
    let streamed = match &first {
        AnswerPart::Text { .. } | AnswerPart::Done(_) => stream,
        AnswerPart::Plain(_) | AnswerPart::Failed(_) => false,
    };
    if streamed {
        let mut response = Response::build(StatusCode::OK);
        response.insert_header((CONTENT_TYPE, EVENT_STREAM_TYPE));
        response.insert_header(("cache-control", "no-cache"));
        let events = EventStream::new(answer, template, first);
        return Ok(response.body(events).map_into_boxed_body());
    }
    let whole = answer.collect_from(first).await;
    match whole.map_err(RequestError::Control)? {
        CompleteAnswer::Turn(text, done) => {
            let mut response = Response::build(StatusCode::OK);
            insert_call_headers(&mut response, &done);
            Ok(with_json(response, &template.full_body(&text, &done)))
        }
        CompleteAnswer::Plain(plain, done) => plain_response(plain, &done),
    }
}

fn plain_response(plain: PlainAnswer, done: &CallDone) -> Result<Response<BoxBody>, RequestError> {
    let status = StatusCode::from_u16(plain.status).map_err(|_| {
        CallError::new(
            ErrorKind::BackendFailed,
            "the service returned an invalid HTTP status",
        )
    })?;
    let mut response = Response::build(status);
    for header in plain.headers {
        response.append_header(header);
    }
    insert_call_headers(&mut response, done);
    Ok(response.body(plain.body).map_into_boxed_body())
}

/// Handles `POST /v1/programs/{program}/end`.
async fn handle_end_program(
    context: &HttpContext,
    program: &str,
) -> Result<Response<BoxBody>, RequestError> {
    let program: ProgramId = program
        .parse()
        .map_err(|_| CallError::in_field(ErrorKind::UnknownCall, "path", "invalid program id"))?;
    if !context.ready.load(Ordering::Relaxed) {
        let error = CallError::new(ErrorKind::NotReady, "this entry is not ready");
        return Err(error.into());
    }
    let input = ControlInput::EndProgram(program.clone());
    if !context.control.send(input).await {
        return Err(shutting_down().into());
    }
    let body = json!({"program": program, "ending": true});
    Ok(json_response(StatusCode::ACCEPTED, &body))
}

/// Dispatches the requests below `/v1/programs/`.
pub(crate) async fn handle_program(
    context: &HttpContext,
    method: &Method,
    path: &str,
    request: &mut Request,
) -> Result<Response<BoxBody>, RequestError> {
    let rest = path.strip_prefix("/v1/programs/").unwrap_or_default();
    match (method, rest.split_once('/')) {
        (&Method::POST, Some((program, "end"))) => handle_end_program(context, program).await,
        (&Method::GET, Some((_, rest))) if rest.starts_with("calls/") => {
            handle_fetch(context, request).await
        }
        _ => reject_path(
            "must be POST /v1/programs/{program}/end or GET /v1/programs/{program}/calls/{call}",
        ),
    }
}

/// A caller's request that is answered with the parts of an answer.
enum CallInput {
    Call(Box<CallRequest>),
    Fetch(Box<Fetch>),
}

/// Submits a request to the control thread and returns its answer.
async fn submit(context: &HttpContext, call_input: CallInput) -> Result<AnswerStream, CallError> {
    let permit = Arc::clone(&context.streams).try_acquire_owned();
    let permit = permit.map_err(|_| {
        CallError::new(
            ErrorKind::Overloaded,
            "this entry has reached its limit of concurrent calls",
        )
    })?;
    let (answers, parts) = answer_queue(AnswerQueueLimits {
        max_bytes: usize::try_from(context.limits.answer_bytes.0).unwrap_or(usize::MAX),
        stall_timeout: duration(context.limits.answer_stall_us),
    });
    let (id, position) = match &call_input {
        CallInput::Call(request) => (request.id, 0),
        CallInput::Fetch(fetch) => (fetch.id, fetch.position),
    };
    let disconnects = context.control.disconnects.clone();
    let answer = AnswerStream::new(id, parts, disconnects, position, permit);
    let input = match call_input {
        CallInput::Call(request) => ControlInput::Request { request, answers },
        CallInput::Fetch(fetch) => ControlInput::Fetch { fetch, answers },
    };
    if context.control.send(input).await {
        Ok(answer)
    } else {
        Err(shutting_down())
    }
}

fn insert_call_headers(response: &mut ResponseBuilder, done: &CallDone) {
    response.insert_header(("clementinepick-program", done.call.program.as_str()));
    response.insert_header(("clementinepick-call", done.call.seq.to_string()));
    response.insert_header(("clementinepick-turn", turn_header_value(done.turn)));
}
