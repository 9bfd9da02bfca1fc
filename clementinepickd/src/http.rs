//! Serves HTTP: callers' requests at an entry, and operators' requests in either role.

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
use crate::control_messages::{ControlInput, ControlSender};
use crate::daemon::ShutdownKind;
use crate::http_calls::{handle_chat, handle_plain, handle_program};
use crate::http_reply::{RequestError, error_response, json_response, reject_path, shutting_down};
use crate::link::duration;
use crate::settings::{Limits, LinkKey, Role, Settings};

/// How long connections may take to flush their buffers to slow callers when the process shuts down.
const SHUTDOWN_TIMEOUT_S: u64 = 10;
/// The most connections that may be waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// The header that carries an operator's key.
const ADMIN_KEY_HEADER: &str = "clementinepick-admin-key";

const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The state that the handlers share.
#[derive(Clone)]
pub(crate) struct HttpContext {
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

impl HttpContext {
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

/// Starts the server, which runs until it is stopped by its handle.
pub(crate) fn start(
    listener: TcpListener,
    workers: usize,
    context: HttpContext,
) -> std::io::Result<Server> {
    let limits = context.limits.clone();
    let connections_per_worker = limits.connections.div_ceil(workers);
    let server = Server::build()
        .workers(workers)
        .backlog(ACCEPT_BACKLOG)
        .max_concurrent_connections(connections_per_worker)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen("http", listener, move || {
            let context = context.clone();
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(duration(limits.keep_alive_us)))
                .client_request_timeout(duration(limits.receive_timeout_us))
                // Treats a half-closed connection as a disconnect, which cancels the call.
                .h1_allow_half_closed(false)
                .finish(move |request| handle(context.clone(), request))
                .tcp()
        })?
        .run();
    Ok(server)
}

/// Stops the server: at once, or gracefully within [`SHUTDOWN_TIMEOUT_S`].
pub(crate) async fn stop(server: &ServerHandle, ended: ShutdownKind) {
    server.stop(ended == ShutdownKind::Graceful).await;
}

async fn handle(
    context: HttpContext,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let answer = match (method, path.as_str()) {
        (Method::GET, "/healthz") => Ok(json_response(StatusCode::OK, &json!({"ok": true}))),
        (Method::GET, "/readyz") => Ok(readiness(&context)),
        (Method::GET, "/metrics") => metrics(&context).await,
        (Method::GET, "/debug/dump") => dump(&context).await,
        (Method::POST, "/admin/drain") => drain(&context, &request),
        _ if !context.is_entry => reject_path("this sidecar takes calls over links only"),
        (Method::POST, "/v1/chat/completions") => handle_chat(&context, &mut request).await,
        (method, path) if path.starts_with("/v1/programs/") => {
            handle_program(&context, &method, path, &mut request).await
        }
        (_, path) if path.starts_with("/services/") => handle_plain(&context, &mut request).await,
        (_, "/v1/chat/completions") => reject_path("must be POST"),
        _ => reject_path("no such path"),
    };
    let mut response = match answer {
        Ok(answer) => answer,
        Err(RequestError::Http(error)) => {
            let refused = ControlInput::Refused(error.kind);
            let _ = context.control.inputs.try_send(refused);
            error_response(&error)
        }
        Err(RequestError::Control(error)) => error_response(&error),
    };
    // A connection that is kept alive would be closed by the shutdown during the next request.
    if context.shutdown.graceful.load(Ordering::Relaxed) {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

fn readiness(context: &HttpContext) -> Response<BoxBody> {
    let ready = context.ready.load(Ordering::Relaxed);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_response(status, &json!({"ready": ready}))
}

/// Starts a graceful shutdown at the request of an operator.
///
/// Requires the admin key: callers can reach this port too, and could shut down the deployment entry
/// by entry.
fn drain(context: &HttpContext, request: &Request) -> Result<Response<BoxBody>, RequestError> {
    let Some(key) = &context.admin_key else {
        return reject_path("this process has no admin key");
    };
    let given = request.headers().get(ADMIN_KEY_HEADER);
    let given = given.map_or(&[][..], |value| value.as_bytes());
    // Comparing digests keeps the time taken from revealing how much of the key matches.
    if Sha256::digest(given) != Sha256::digest(key.as_bytes()) {
        let refused = json!({"leaving": false, "detail": "wrong admin key"});
        return Ok(json_response(StatusCode::FORBIDDEN, &refused));
    }
    context.shutdown.graceful.store(true, Ordering::Relaxed);
    Ok(json_response(StatusCode::OK, &json!({"leaving": true})))
}

async fn metrics(context: &HttpContext) -> Result<Response<BoxBody>, RequestError> {
    let (answer, done) = oneshot::channel();
    context
        .control
        .send(ControlInput::RefreshGauges(answer))
        .await;
    done.await.map_err(|_| shutting_down())?;
    context.metrics.run_upkeep();
    let mut response = Response::build(StatusCode::OK);
    response.insert_header((CONTENT_TYPE, METRICS_CONTENT_TYPE));
    Ok(response
        .body(context.metrics.render())
        .map_into_boxed_body())
}

async fn dump(context: &HttpContext) -> Result<Response<BoxBody>, RequestError> {
    let (answer, state) = oneshot::channel();
    context.control.send(ControlInput::Dump(answer)).await;
    let state = state.await.map_err(|_| shutting_down())?;
    Ok(json_response(StatusCode::OK, &state))
}
