//! Callers' calls over HTTP: turns, plain calls, earlier answers and the ends of programs.

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

use crate::answer::{Answer, EventStream, WholeAnswer};
use crate::answer_queue::{Patience, answer_queue};
use crate::body::{ChatShape, turn_name};
use crate::http::Shared;
use crate::http_receive::read;
use crate::http_reply::{Refusal, ending, json_answer, no_such_path, with_json};
use crate::input::ControlInput;
use crate::link::duration;

const EVENT_STREAM: &str = "text/event-stream";

/// `POST /v1/chat/completions`: a turn, whole or as a stream.
pub(crate) async fn chat(
    shared: &Shared,
    request: &mut Request,
) -> Result<Response<BoxBody>, Refusal> {
    let http = read(shared, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_chat(&shared.parse, id, &http)?;
    let Payload::Chat(call) = &request.payload else {
        return Err(CallError::new(ErrorKind::Internal, "no chat call").into());
    };
    let (shape, stream) = (chat_shape(id, call)?, call.stream);
    let answer = submit(shared, Asked::Call(Box::new(request))).await?;
    give(answer, shape, stream).await
}

fn chat_shape(request: RequestId, call: &ChatCall) -> Result<ChatShape, CallError> {
    let bad = |field: &str, detail: &str| CallError::in_field(ErrorKind::BadBody, field, detail);
    let include_usage = match call.extra.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(options)) => match options.get("include_usage") {
            None => false,
            Some(Value::Bool(include)) => *include,
            Some(_) => {
                return Err(bad("stream_options.include_usage", "must be true or false"));
            }
        },
        Some(_) => return Err(bad("stream_options", "must be an object")),
    };
    if !matches!(call.extra.get("n"), None | Some(Value::Null))
        && call.extra.get("n").and_then(Value::as_u64) != Some(1)
    {
        return Err(bad("n", "one answer a call is given: must be 1"));
    }
    Ok(ChatShape {
        request,
        model: Some(call.model.clone()),
        created_s: seconds_since_1970(),
        include_usage,
    })
}

fn seconds_since_1970() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |since| since.as_secs())
}

/// `/services/{service}/{path}`, with any method: a call of a plain service.
pub(crate) async fn plain(
    shared: &Shared,
    request: &mut Request,
) -> Result<Response<BoxBody>, Refusal> {
    let http = read(shared, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_plain(&shared.parse, id, &http)?;
    let mut answer = submit(shared, Asked::Call(Box::new(request))).await?;
    match answer.whole().await.map_err(Refusal::Decided)? {
        WholeAnswer::Plain(plain, done) => plain_answer(plain, &done),
        WholeAnswer::Turn(..) => {
            Err(CallError::new(ErrorKind::Internal, "a turn in place of an answer").into())
        }
    }
}

/// `GET /v1/programs/{program}/calls/{call}`: an earlier answer, or the rest of one.
///
/// A turn comes as a stream when the caller accepts one.
async fn fetch(shared: &Shared, request: &mut Request) -> Result<Response<BoxBody>, Refusal> {
    let http = read(shared, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let fetch = parse_fetch(id, &http)?;
    let accept = http.headers.iter().find(|(name, _)| name == "accept");
    let stream = accept.is_some_and(|(_, value)| value.contains(EVENT_STREAM));
    let shape = ChatShape {
        request: id,
        model: None,
        created_s: seconds_since_1970(),
        include_usage: true,
    };
    let answer = submit(shared, Asked::Fetch(Box::new(fetch))).await?;
    give(answer, shape, stream).await
}

/// Gives an answer of either kind, a turn as a stream if so wanted.
async fn give(
    mut answer: Answer,
    shape: ChatShape,
    stream: bool,
) -> Result<Response<BoxBody>, Refusal> {
    // The status goes out with the first part, so a call that is refused has its own.
    let first = answer.next().await;
    let streamed = match &first {
        AnswerPart::Text { .. } | AnswerPart::Done(_) => stream,
        AnswerPart::Plain(_) | AnswerPart::Failed(_) => false,
    };
    if streamed {
        let mut response = Response::build(StatusCode::OK);
        response.insert_header((CONTENT_TYPE, EVENT_STREAM));
        response.insert_header(("cache-control", "no-cache"));
        let events = EventStream::new(answer, shape, first);
        return Ok(response.body(events).map_into_boxed_body());
    }
    let whole = answer.whole_from(first).await;
    match whole.map_err(Refusal::Decided)? {
        WholeAnswer::Turn(text, done) => {
            let mut response = Response::build(StatusCode::OK);
            add_call(&mut response, &done);
            Ok(with_json(response, &shape.whole(&text, &done)))
        }
        WholeAnswer::Plain(plain, done) => plain_answer(plain, &done),
    }
}

fn plain_answer(plain: PlainAnswer, done: &CallDone) -> Result<Response<BoxBody>, Refusal> {
    let status = StatusCode::from_u16(plain.status).map_err(|_| {
        CallError::new(ErrorKind::BackendFailed, "the service gave no valid status")
    })?;
    let mut response = Response::build(status);
    for header in plain.headers {
        response.append_header(header);
    }
    add_call(&mut response, done);
    Ok(response.body(plain.body).map_into_boxed_body())
}

/// `POST /v1/programs/{program}/end`.
async fn end_program(shared: &Shared, program: &str) -> Result<Response<BoxBody>, Refusal> {
    let program: ProgramId = program
        .parse()
        .map_err(|_| CallError::in_field(ErrorKind::UnknownCall, "path", "is no program"))?;
    if !shared.ready.load(Ordering::Relaxed) {
        let error = CallError::new(ErrorKind::NotReady, "this entry is not ready");
        return Err(error.into());
    }
    let input = ControlInput::EndProgram(program.clone());
    if !shared.control.send(input).await {
        return Err(ending().into());
    }
    let body = json!({"program": program, "ending": true});
    Ok(json_answer(StatusCode::ACCEPTED, &body))
}

/// What stands below `/v1/programs/`.
pub(crate) async fn program(
    shared: &Shared,
    method: &Method,
    path: &str,
    request: &mut Request,
) -> Result<Response<BoxBody>, Refusal> {
    let rest = path.strip_prefix("/v1/programs/").unwrap_or_default();
    match (method, rest.split_once('/')) {
        (&Method::POST, Some((program, "end"))) => end_program(shared, program).await,
        (&Method::GET, Some((_, rest))) if rest.starts_with("calls/") => {
            fetch(shared, request).await
        }
        _ => no_such_path(
            "must be POST /v1/programs/{program}/end or GET /v1/programs/{program}/calls/{call}",
        ),
    }
}

/// What a caller asks for.
enum Asked {
    Call(Box<CallRequest>),
    Fetch(Box<Fetch>),
}

/// Hands a request to the control thread.
async fn submit(shared: &Shared, asked: Asked) -> Result<Answer, CallError> {
    let permit = Arc::clone(&shared.streams).try_acquire_owned();
    let permit = permit.map_err(|_| {
        CallError::new(
            ErrorKind::Overloaded,
            "this entry has as many calls as it takes",
        )
    })?;
    let (answers, parts) = answer_queue(Patience {
        max_bytes: usize::try_from(shared.limits.answer_bytes.0).unwrap_or(usize::MAX),
        max_stall: duration(shared.limits.answer_stall_us),
    });
    let (id, position) = match &asked {
        Asked::Call(request) => (request.id, 0),
        Asked::Fetch(fetch) => (fetch.id, fetch.position),
    };
    let gone = shared.control.gone.clone();
    let answer = Answer::new(id, parts, gone, position, permit);
    let input = match asked {
        Asked::Call(request) => ControlInput::Request { request, answers },
        Asked::Fetch(fetch) => ControlInput::Fetch { fetch, answers },
    };
    if shared.control.send(input).await {
        Ok(answer)
    } else {
        Err(ending())
    }
}

fn add_call(response: &mut ResponseBuilder, done: &CallDone) {
    response.insert_header(("clementinepick-program", done.call.program.as_str()));
    response.insert_header(("clementinepick-call", done.call.seq.to_string()));
    response.insert_header(("clementinepick-turn", turn_name(done.turn)));
}
