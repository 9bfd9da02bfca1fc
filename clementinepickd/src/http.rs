//! The HTTP side of a process: callers' calls at an entry, and what operators ask of either role.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Request, Response,
    ResponseBuilder, StatusCode,
};
use actix_server::{Server, ServerHandle};
use bytes::BytesMut;
use clementinepick::call::{AnswerPart, CallDone, ChatCall, Payload};
use clementinepick::error::{CallError, ErrorKind};
use clementinepick::ids::{ProgramId, RequestId};
use clementinepick::parse::{HttpRequest, ParseSettings, parse_chat, parse_plain};
use futures_util::StreamExt;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use crate::answer::{Answer, EventStream};
use crate::body::{ChatShape, error_body, status, turn_name};
use crate::control::{Outputs, Wishes};
use crate::input::{ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::{Limits, LinkKey, Role, Settings};

/// How long connections may take to close once all answers are out.
const CLOSE_LIMIT_S: u64 = 1;
/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Carries the key of an operator.
const ADMIN_KEY_HEADER: &str = "clementinepick-admin-key";

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";
const PLAIN_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// What the handlers share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) is_entry: bool,
    pub(crate) parse: ParseSettings,
    pub(crate) limits: Limits,
    pub(crate) control: ControlSender,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) wishes: Arc<Wishes>,
    pub(crate) streams: Arc<Semaphore>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) admin_key: Option<LinkKey>,
}

impl Shared {
    /// What the handlers of a process with these settings share.
    pub(crate) fn new(
        settings: &Settings,
        control: ControlSender,
        outputs: &Outputs,
        metrics: PrometheusHandle,
    ) -> Self {
        let default_service = match &settings.role {
            Role::Entry(role) => role.default_service.clone(),
            Role::Sidecar(_) => None,
        };
        Self {
            is_entry: matches!(settings.role, Role::Entry(_)),
            parse: ParseSettings {
                default_service,
                max_body_bytes: settings.limits.body_bytes,
            },
            limits: settings.limits.clone(),
            control,
            ready: Arc::clone(&outputs.ready),
            wishes: Arc::clone(&outputs.wishes),
            streams: Arc::clone(&outputs.streams),
            metrics,
            admin_key: settings.admin_key.clone(),
        }
    }
}

/// Starts the server; it runs until its handle stops it.
pub(crate) fn start(
    listener: TcpListener,
    workers: usize,
    shared: Shared,
) -> std::io::Result<Server> {
    let limits = shared.limits.clone();
    let per_worker = limits.connections.div_ceil(workers);
    let server = Server::build()
        .workers(workers)
        .backlog(BACKLOG)
        .max_concurrent_connections(per_worker)
        .shutdown_timeout(CLOSE_LIMIT_S)
        .disable_signals()
        .listen("http", listener, move || {
            let shared = shared.clone();
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(duration(limits.keep_alive_us)))
                .client_request_timeout(duration(limits.receive_us))
                // A caller that closes its side is gone, and its call is cancelled.
                .h1_allow_half_closed(false)
                .finish(move |request| handle(shared.clone(), request))
                .tcp()
        })?
        .run();
    Ok(server)
}

/// Stops the server once all connections are closed or the limit has passed.
pub(crate) async fn stop(server: &ServerHandle) {
    server.stop(true).await;
}

async fn handle(shared: Shared, mut request: Request) -> Result<Response<BoxBody>, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let answer = match (method, path.as_str()) {
        (Method::GET, "/healthz") => Ok(json_answer(StatusCode::OK, &json!({"ok": true}))),
        (Method::GET, "/readyz") => Ok(readiness(&shared)),
        (Method::GET, "/metrics") => metrics(&shared).await,
        (Method::GET, "/debug/dump") => dump(&shared).await,
        (Method::POST, "/admin/drain") => drain(&shared, &request),
        _ if !shared.is_entry => no_such_path("this sidecar takes calls over links only"),
        (Method::POST, "/v1/chat/completions") => chat(&shared, &mut request).await,
        (method, path) if path.starts_with("/v1/programs/") => {
            program(&shared, &method, path).await
        }
        (_, path) if path.starts_with("/services/") => plain(&shared, &mut request).await,
        (_, "/v1/chat/completions") => no_such_path("must be POST"),
        _ => no_such_path("no such path"),
    };
    let mut response = match answer {
        Ok(answer) => answer,
        Err(Refusal::Here(error)) => {
            let refused = ControlInput::Refused(error.kind);
            let _ = shared.control.inputs.try_send(refused);
            error_answer(&error)
        }
        Err(Refusal::Decided(error)) => error_answer(&error),
    };
    // A connection kept for the next request would be closed under it when the process ends.
    if shared.wishes.leave.load(Ordering::Relaxed) {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Where a request failed.
enum Refusal {
    /// Before the decisions have seen it.
    Here(CallError),
    /// By the decisions, which have counted it.
    Decided(CallError),
}

impl From<CallError> for Refusal {
    fn from(error: CallError) -> Self {
        Self::Here(error)
    }
}

fn no_such_path(detail: &str) -> Result<Response<BoxBody>, Refusal> {
    let error = CallError::at(ErrorKind::UnknownService, "path", detail);
    Err(Refusal::Here(error))
}

fn readiness(shared: &Shared) -> Response<BoxBody> {
    let ready = shared.ready.load(Ordering::Relaxed);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_answer(status, &json!({"ready": ready}))
}

/// Begins to leave, for an operator who has the key.
///
/// Callers reach this port as well, and one of them could empty the deployment, entry by entry.
fn drain(shared: &Shared, request: &Request) -> Result<Response<BoxBody>, Refusal> {
    let Some(key) = &shared.admin_key else {
        return no_such_path("this process has no admin key");
    };
    let given = request.headers().get(ADMIN_KEY_HEADER);
    let given = given.map_or(&[][..], |value| value.as_bytes());
    // Digests are compared, so that the time taken says nothing of the key.
    if Sha256::digest(given) != Sha256::digest(key.as_bytes()) {
        let refused = json!({"leaving": false, "detail": "wrong admin key"});
        return Ok(json_answer(StatusCode::FORBIDDEN, &refused));
    }
    shared.wishes.leave.store(true, Ordering::Relaxed);
    Ok(json_answer(StatusCode::OK, &json!({"leaving": true})))
}

async fn metrics(shared: &Shared) -> Result<Response<BoxBody>, Refusal> {
    let (answer, done) = oneshot::channel();
    shared.control.send(ControlInput::Gauges(answer)).await;
    done.await.map_err(|_| ending())?;
    shared.metrics.run_upkeep();
    let mut response = Response::build(StatusCode::OK);
    response.insert_header((CONTENT_TYPE, PLAIN_TEXT));
    Ok(response.body(shared.metrics.render()).map_into_boxed_body())
}

async fn dump(shared: &Shared) -> Result<Response<BoxBody>, Refusal> {
    let (answer, state) = oneshot::channel();
    shared.control.send(ControlInput::Dump(answer)).await;
    let state = state.await.map_err(|_| ending())?;
    Ok(json_answer(StatusCode::OK, &state))
}

fn ending() -> CallError {
    CallError::new(ErrorKind::ShuttingDown, "this process ends")
}

async fn chat(shared: &Shared, request: &mut Request) -> Result<Response<BoxBody>, Refusal> {
    let http = read(shared, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_chat(&shared.parse, id, &http)?;
    let Payload::Chat(call) = &request.payload else {
        return Err(CallError::new(ErrorKind::Internal, "no chat call").into());
    };
    let (shape, stream) = (chat_shape(id, call)?, call.stream);
    let mut answer = submit(shared, request).await?;
    if !stream {
        let (text, done) = answer.whole_turn().await.map_err(Refusal::Decided)?;
        let mut response = Response::build(StatusCode::OK);
        add_call(&mut response, &done);
        return Ok(with_json(response, &shape.whole(&text, &done)));
    }
    // The status goes out with the first part, so a call that is refused has its own.
    let first = answer.next().await;
    if let AnswerPart::Failed(error) = first {
        return Err(Refusal::Decided(error));
    }
    let mut response = Response::build(StatusCode::OK);
    response.insert_header((CONTENT_TYPE, EVENT_STREAM));
    response.insert_header(("cache-control", "no-cache"));
    let stream = EventStream::new(answer, shape, first);
    Ok(response.body(stream).map_into_boxed_body())
}

fn chat_shape(request: RequestId, call: &ChatCall) -> Result<ChatShape, CallError> {
    let bad = |field: &str, detail: &str| CallError::at(ErrorKind::BadBody, field, detail);
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
    if !matches!(call.extra.get("n").and_then(Value::as_u64), None | Some(1)) {
        return Err(bad("n", "one answer a call is given: must be 1"));
    }
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    Ok(ChatShape {
        request,
        model: call.model.clone(),
        created_s: since_1970.map_or(0, |since| since.as_secs()),
        include_usage,
    })
}

async fn plain(shared: &Shared, request: &mut Request) -> Result<Response<BoxBody>, Refusal> {
    let http = read(shared, request).await?;
    let id = RequestId::draw(&mut rand::rng());
    let request = parse_plain(&shared.parse, id, &http)?;
    let answered = submit(shared, request).await?.plain().await;
    let (plain, done) = answered.map_err(Refusal::Decided)?;
    let status = StatusCode::from_u16(plain.status).map_err(|_| {
        CallError::new(ErrorKind::BackendFailed, "the service gave no valid status")
    })?;
    let mut response = Response::build(status);
    for header in plain.headers {
        response.append_header(header);
    }
    add_call(&mut response, &done);
    Ok(response.body(plain.body).map_into_boxed_body())
}

/// `POST /v1/programs/{program}/end`.
async fn program(
    shared: &Shared,
    method: &Method,
    path: &str,
) -> Result<Response<BoxBody>, Refusal> {
    let rest = path.strip_prefix("/v1/programs/").unwrap_or_default();
    let Some((program, "end")) = rest.split_once('/') else {
        return no_such_path("must be /v1/programs/{program}/end");
    };
    if *method != Method::POST {
        return no_such_path("must be POST");
    }
    let program: ProgramId = program
        .parse()
        .map_err(|_| CallError::at(ErrorKind::UnknownCall, "path", "is no program"))?;
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

/// Hands a request to the control thread.
async fn submit(
    shared: &Shared,
    request: clementinepick::call::Request,
) -> Result<Answer, CallError> {
    let permit = Arc::clone(&shared.streams).try_acquire_owned();
    let permit = permit.map_err(|_| {
        CallError::new(
            ErrorKind::Overloaded,
            "this entry has as many calls as it takes",
        )
    })?;
    let (sender, parts) = mpsc::channel(shared.limits.answer_parts);
    let answer = Answer::new(request.id, parts, shared.control.gone.clone(), permit);
    let input = ControlInput::Request {
        request: Box::new(request),
        answers: sender,
    };
    if shared.control.send(input).await {
        Ok(answer)
    } else {
        Err(ending())
    }
}

/// Reads a request with its body, within the limits.
async fn read(shared: &Shared, request: &mut Request) -> Result<HttpRequest, CallError> {
    let headers = read_headers(shared, request)?;
    let path = request.uri().path_and_query();
    let path = path.map_or_else(|| request.path().to_owned(), ToString::to_string);
    let method = request.method().as_str().to_owned();
    let body = timeout(
        duration(shared.limits.receive_us),
        read_body(shared, request),
    )
    .await
    .map_err(|_| {
        let detail = format!("did not arrive within {}", shared.limits.receive_us);
        CallError::at(ErrorKind::BadBody, "body", detail)
    })??;
    Ok(HttpRequest {
        method,
        path,
        headers,
        body,
    })
}

fn read_headers(shared: &Shared, request: &Request) -> Result<Vec<(String, String)>, CallError> {
    let mut left = shared.limits.header_bytes.0;
    let mut headers = Vec::new();
    for (name, value) in request.headers() {
        let size = (name.as_str().len() + value.len()) as u64;
        left = left.checked_sub(size).ok_or_else(|| {
            let detail = format!("the limit of all is {}", shared.limits.header_bytes);
            CallError::at(ErrorKind::BadHeader, name.as_str(), detail)
        })?;
        let value = value.to_str().map_err(|_| {
            CallError::at(ErrorKind::BadHeader, name.as_str(), "must be visible ASCII")
        })?;
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    Ok(headers)
}

async fn read_body(shared: &Shared, request: &mut Request) -> Result<Vec<u8>, CallError> {
    let limit = usize::try_from(shared.limits.body_bytes.0).unwrap_or(usize::MAX);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|err| CallError::at(ErrorKind::BadBody, "body", err.to_string()))?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the limit is {}", shared.limits.body_bytes);
            return Err(CallError::at(ErrorKind::BodyTooLarge, "body", detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}

fn add_call(response: &mut ResponseBuilder, done: &CallDone) {
    response.insert_header(("clementinepick-program", done.call.program.as_str()));
    response.insert_header(("clementinepick-call", done.call.seq.to_string()));
    response.insert_header(("clementinepick-turn", turn_name(done.turn)));
}

fn error_answer(error: &CallError) -> Response<BoxBody> {
    let mut response = Response::build(status(error.kind));
    if let Some(seconds) = error.retry_after_s() {
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    with_json(response, &error_body(error))
}

fn json_answer(status: StatusCode, body: &Value) -> Response<BoxBody> {
    with_json(Response::build(status), body)
}

fn with_json(mut response: ResponseBuilder, body: &Value) -> Response<BoxBody> {
    response.insert_header((CONTENT_TYPE, JSON));
    response.body(body.to_string()).map_into_boxed_body()
}
