//! The client of a model engine: streams turns, sends the sidecar's other requests, and polls the
//! engine's reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use clementinepick::ids::{AttemptId, VmId};
use clementinepick::platform::{
    CacheEventsResponse, CancelBody, EngineState, GenerateBody, GenerateLine, LoadReport,
    OrderBody, ReleaseBody, ReleaseResponse, ResumeBody, RetainBody,
};
use clementinepick::sidecar::{BackendEvent, SidecarAction, SidecarInput};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::clients::{CommandClient, pooled_client, read_json, streaming_client, url};
use crate::control_messages::{ClientCommand, ControlInput, ControlSender};
use crate::line_splitter::LineSplitter;
use crate::link::duration;
use crate::settings::SidecarRole;
use crate::tasks::{Tasks, contain, run_to_end};

/// The names in logs of a turn and of a release of memory.
const GENERATE_PART: &str = "generate";
const RELEASE_PART: &str = "release";
/// How often an interrupted stream is resumed before the attempt counts as failed.
const MAX_RESUME_ATTEMPTS: u32 = 5;
/// The delay before each resume of a stream.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);
/// The delay before a failed release is reported, since the sidecar then retries immediately.
const RELEASE_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// The largest response other than a stream.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// The HTTP interface of an engine.
#[derive(Clone)]
struct EngineApi {
    requests: Client,
    streams: Client,
    address: SocketAddr,
    control: ControlSender,
}

/// Executes a sidecar's commands at its engine.
pub(crate) struct EngineClient {
    engine: EngineApi,
    /// The streams in flight; dropping a sender stops its stream.
    running: BTreeMap<AttemptId, oneshot::Sender<()>>,
}

impl EngineClient {
    /// Creates a client of the engine at the address in `role`.
    pub(crate) fn new(role: &SidecarRole, control: ControlSender) -> Self {
        let engine = EngineApi {
            requests: pooled_client(role.backend_timeout_us),
            streams: streaming_client(),
            address: role.backend_address,
            control,
        };
        Self {
            engine,
            running: BTreeMap::new(),
        }
    }

    /// Polls the engine's load, state and cache events.
    pub(crate) fn poller(&self, role: &SidecarRole) -> impl Future<Output = ()> + 'static {
        let (engine, interval) = (self.engine.clone(), duration(role.poll_us));
        async move {
            let mut after = 0;
            let poll = async || poll_reports(&engine, interval, &mut after).await;
            run_to_end(&engine.control, "engine_reports", poll).await;
        }
    }

    fn generate(&mut self, body: GenerateBody, tasks: &mut Tasks) {
        let (stop, stopped) = oneshot::channel();
        self.running.retain(|_, stop| !stop.is_closed());
        self.running.insert(body.attempt, stop);
        let engine = self.engine.clone();
        tasks.spawn("generate_command", async move {
            let attempt = body.attempt;
            let generated = contain(&engine.control, GENERATE_PART, generate(&engine, body));
            tokio::select! {
                generated = generated => if generated.is_none() {
                    let detail = "the turn ended by a defect of the sidecar".to_owned();
                    report_failure(&engine, attempt, detail, false).await;
                },
                _ = stopped => {}
            }
        });
    }
}

impl CommandClient for EngineClient {
    fn execute(&mut self, command: ClientCommand, tasks: &mut Tasks) {
        let ClientCommand::Backend(action) = command else {
            return;
        };
        let engine = self.engine.clone();
        match action {
            SidecarAction::Generate(body) => self.generate(*body, tasks),
            SidecarAction::Cancel(attempt) => {
                self.running.remove(&attempt);
                tasks.spawn("cancel", async move {
                    engine.cancel(attempt).await;
                });
            }
            SidecarAction::Release { program, chains } => {
                tasks.spawn("release_command", async move {
                    let body = ReleaseBody { chains };
                    let release = engine.post("/v1/cache/release", &body);
                    let released = contain(&engine.control, RELEASE_PART, release).await;
                    let released: Option<ReleaseResponse> = released.flatten();
                    if released.is_none() {
                        actix_rt::time::sleep(RELEASE_FAILURE_BACKOFF).await;
                    }
                    let freed_tokens = released.map(|reply| reply.freed_tokens);
                    engine
                        .report(SidecarInput::Released {
                            program,
                            freed_tokens,
                        })
                        .await;
                });
            }
            SidecarAction::Retain { chains } => tasks.spawn("retain", async move {
                let body = RetainBody { chains };
                // A failure is ignored: the next list replaces this one.
                let _: Option<ReleaseResponse> = engine.post("/v1/cache/retain", &body).await;
            }),
            SidecarAction::Order { from, order } => {
                tasks.spawn("order", async move { engine.send_order(from, order).await });
            }
            SidecarAction::Call { attempt, .. } => tasks.spawn("report", async move {
                let event = BackendEvent::Failed {
                    detail: "the backend server is not a plain service".to_owned(),
                    not_run: true,
                };
                engine
                    .report(SidecarInput::Backend { attempt, event })
                    .await;
            }),
            SidecarAction::Send { .. } | SidecarAction::Log(_) | SidecarAction::Finished => {}
        }
    }
}

impl EngineApi {
    async fn report(&self, input: SidecarInput) {
        self.control.send(ControlInput::Sidecar(input)).await;
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let sent = self.requests.get(url(self.address, path)).send().await;
        read_json(&mut sent.ok()?, MAX_RESPONSE_BYTES).await
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Option<T> {
        let request = self.requests.post(url(self.address, path));
        let sent = request.send_json(body).await;
        read_json(&mut sent.ok()?, MAX_RESPONSE_BYTES).await
    }

    /// Cancels an attempt.
    ///
    /// A failure is ignored: an engine that is down runs nothing, and one that is unreachable ends
    /// the turn at its own limit.
    async fn cancel(&self, attempt: AttemptId) {
        let request = self.requests.post(url(self.address, "/v1/cancel"));
        let _ = request.send_json(&CancelBody { attempt }).await;
    }

    async fn send_order(&self, from: VmId, order: OrderBody) {
        let request = self.requests.post(url(self.address, "/v1/orders"));
        let (state, refused) = match request.send_json(&order).await {
            Ok(mut response) if response.status() == StatusCode::OK => {
                let state: Option<EngineState> = read_json(&mut response, MAX_RESPONSE_BYTES).await;
                (state, None)
            }
            Ok(mut response) => {
                let status = response.status();
                let body = response.body().limit(MAX_RESPONSE_BYTES).await;
                let reason = body.unwrap_or_default();
                let reason = String::from_utf8_lossy(&reason).into_owned();
                (None, Some(format!("{status}: {reason}")))
            }
            Err(err) => (None, Some(err.to_string())),
        };
        let state = match state {
            Some(state) => Some(state),
            None => self.get("/v1/state").await,
        };
        // Without the engine's state the outcome is unknown, so nothing is reported; the decider
        // repeats the order.
        if let Some(state) = state {
            self.report(SidecarInput::OrderDone {
                from,
                state,
                refused,
            })
            .await;
        }
    }
}

/// How a stream ended.
enum StreamEnd {
    /// The engine has sent the final event.
    Complete,
    /// The stream ended early, for this reason.
    Interrupted(String),
}

/// Runs a turn to its end, resuming the stream when it is interrupted.
async fn generate(engine: &EngineApi, body: GenerateBody) {
    let attempt = body.attempt;
    let mut position = 0;
    let request = engine.streams.post(url(engine.address, "/v1/generate"));
    let mut cause = match request.send_json(&body).await {
        Ok(response) if response.status() == StatusCode::OK => {
            match forward_stream(engine, attempt, response, &mut position).await {
                StreamEnd::Complete => return,
                StreamEnd::Interrupted(detail) => detail,
            }
        }
        Ok(response) => {
            let status = response.status();
            let not_run = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
            let detail = format!("the engine rejected the request: {status}");
            report_failure(engine, attempt, detail, not_run).await;
            return;
        }
        Err(SendRequestError::Connect(err)) => {
            report_failure(engine, attempt, err.to_string(), true).await;
            return;
        }
        Err(err) => err.to_string(),
    };
    for _ in 0..MAX_RESUME_ATTEMPTS {
        actix_rt::time::sleep(RESUME_BACKOFF).await;
        let request = engine.streams.post(url(engine.address, "/v1/resume"));
        match request.send_json(&ResumeBody { attempt, position }).await {
            Ok(response) if response.status() == StatusCode::OK => {
                match forward_stream(engine, attempt, response, &mut position).await {
                    StreamEnd::Complete => return,
                    StreamEnd::Interrupted(detail) => cause = detail,
                }
            }
            Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                "the engine has no record of the attempt".clone_into(&mut cause);
                break;
            }
            Ok(response) => cause = format!("the engine refused to resume: {}", response.status()),
            Err(err) => cause = err.to_string(),
        }
    }
    report_failure(engine, attempt, cause, false).await;
}

async fn report_failure(engine: &EngineApi, attempt: AttemptId, detail: String, not_run: bool) {
    let event = BackendEvent::Failed { detail, not_run };
    engine
        .report(SidecarInput::Backend { attempt, event })
        .await;
}

/// Forwards the events of a stream to the control thread until the stream ends.
async fn forward_stream<S>(
    engine: &EngineApi,
    attempt: AttemptId,
    mut response: awc::ClientResponse<S>,
    position: &mut u64,
) -> StreamEnd
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut lines = LineSplitter::default();
    while let Some(chunk) = response.next().await {
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(err) => return StreamEnd::Interrupted(err.to_string()),
        };
        if lines.push(&chunk).is_err() {
            return StreamEnd::Interrupted("the engine sent a line over the size limit".to_owned());
        }
        while let Some(line) = lines.next_line() {
            let Ok(line) = serde_json::from_slice(&line) else {
                return StreamEnd::Interrupted(
                    "the engine sent a line that is not a valid event".to_owned(),
                );
            };
            let (event, is_final) = event_from_line(line, position);
            engine
                .report(SidecarInput::Backend { attempt, event })
                .await;
            if is_final {
                return StreamEnd::Complete;
            }
        }
    }
    StreamEnd::Interrupted("the engine closed the stream before the end of the turn".to_owned())
}

fn event_from_line(line: GenerateLine, position: &mut u64) -> (BackendEvent, bool) {
    match line {
        GenerateLine::Text {
            position: at,
            text,
            count_tokens,
        } => {
            *position = (*position).max(at + text.chars().count() as u64);
            let event = BackendEvent::Text {
                position: at,
                text,
                count_tokens,
            };
            (event, false)
        }
        GenerateLine::Done {
            usage,
            finish,
            cached,
        } => {
            let done = BackendEvent::Done {
                usage,
                finish,
                cached,
            };
            (done, true)
        }
        GenerateLine::Failed { detail } => {
            let not_run = false;
            (BackendEvent::Failed { detail, not_run }, true)
        }
    }
}

/// Polls until dropped; `after` is the number of cache events that were reported.
async fn poll_reports(engine: &EngineApi, interval: Duration, after: &mut u64) {
    loop {
        let load: Option<LoadReport> = engine.get("/v1/load").await;
        if let Some(load) = load {
            engine.report(SidecarInput::Load(load)).await;
        }
        let state: Option<EngineState> = engine.get("/v1/state").await;
        if let Some(state) = state {
            engine.report(SidecarInput::Engine(state)).await;
        }
        let path = format!("/v1/cache/events?after={after}");
        let cache: Option<CacheEventsResponse> = engine.get(&path).await;
        if let Some(CacheEventsResponse { first, events }) = cache {
            let next = first + events.len() as u64;
            if next != *after {
                *after = next;
                engine.report(SidecarInput::Cache { first, events }).await;
            }
        }
        actix_rt::time::sleep(interval).await;
    }
}
