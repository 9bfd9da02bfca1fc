//! The HTTP side of a process: callers' calls at an entry, and what operators ask of either role.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
};
use actix_server::{Server, ServerHandle};
use clementinepick::http_request::ParseSettings;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::{Semaphore, oneshot};

use crate::control::{Outputs, ShutdownRequests};
use crate::daemon::ShutdownKind;
use crate::http_calls::{chat, plain, program};
use crate::http_reply::{Refusal, ending, error_answer, json_answer, no_such_path};
use crate::input::{ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::{Limits, LinkKey, Role, Settings};

/// How long a slow caller may take to read what is in its connection's buffers once the process has
/// nothing more to do.
const CLOSE_LIMIT_S: u64 = 10;
/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Carries the key of an operator.
const ADMIN_KEY_HEADER: &str = "clementinepick-admin-key";

const PLAIN_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// What the handlers share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) is_entry: bool,
    pub(crate) parse: ParseSettings,
    pub(crate) limits: Limits,
    pub(crate) control: ControlSender,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) shutdown: Arc<ShutdownRequests>,
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
            shutdown: Arc::clone(&outputs.shutdown),
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
                .client_request_timeout(duration(limits.receive_timeout_us))
                // A caller that closes its side is gone, and its call is cancelled.
                .h1_allow_half_closed(false)
                .finish(move |request| handle(shared.clone(), request))
                .tcp()
        })?
        .run();
    Ok(server)
}

/// Stops the server: at once, or when all connections are closed or the limit has passed.
pub(crate) async fn stop(server: &ServerHandle, ended: ShutdownKind) {
    server.stop(ended == ShutdownKind::Graceful).await;
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
            program(&shared, &method, path, &mut request).await
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
    if shared.shutdown.graceful.load(Ordering::Relaxed) {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
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
    shared.shutdown.graceful.store(true, Ordering::Relaxed);
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
