//! The client of a model engine: turns as streams, and the engine's own requests and reports.

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

use crate::clients::{OrderClient, pooled, read_json, streaming, url};
use crate::input::{ClientOrder, ControlInput, ControlSender};
use crate::lines::Lines;
use crate::link::duration;
use crate::settings::SidecarRole;
use crate::tasks::Tasks;

/// How often a cut stream is asked for again before the attempt has failed.
const MAX_RESUMES: u32 = 5;
/// The wait before a stream is asked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// The wait before a failed release is reported, since the sidecar then asks again at once.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);
/// The largest answer other than a stream.
const MAX_ANSWER_BYTES: usize = 16_000_000;

/// What all requests to the engine need.
#[derive(Clone)]
struct Engine {
    requests: Client,
    streams: Client,
    address: SocketAddr,
    control: ControlSender,
}

/// Carries out a sidecar's orders at its engine.
pub(crate) struct EngineClient {
    engine: Engine,
    /// Dropping a sender stops the stream.
    running: BTreeMap<AttemptId, oneshot::Sender<()>>,
}

impl EngineClient {
    /// A client of the engine at the address in `role`.
    pub(crate) fn new(role: &SidecarRole, control: ControlSender) -> Self {
        let engine = Engine {
            requests: pooled(role.backend_timeout_us),
            streams: streaming(),
            address: role.backend_address,
            control,
        };
        Self {
            engine,
            running: BTreeMap::new(),
        }
    }

    /// Reads the engine's load and cache events again and again.
    pub(crate) fn poller(&self, role: &SidecarRole) -> impl Future<Output = ()> + 'static {
        poll(self.engine.clone(), duration(role.poll_us))
    }

    fn generate(&mut self, body: GenerateBody, tasks: &mut Tasks) {
        let (stop, stopped) = oneshot::channel();
        self.running.retain(|_, stop| !stop.is_closed());
        self.running.insert(body.attempt, stop);
        let engine = self.engine.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = generate(&engine, body) => {}
                _ = stopped => {}
            }
        });
    }
}

impl OrderClient for EngineClient {
    fn start(&mut self, order: ClientOrder, tasks: &mut Tasks) {
        let ClientOrder::Backend(action) = order else {
            return;
        };
        let engine = self.engine.clone();
        match action {
            SidecarAction::Generate(body) => self.generate(*body, tasks),
            SidecarAction::Cancel(attempt) => {
                self.running.remove(&attempt);
                tasks.spawn(async move {
                    engine.cancel(attempt).await;
                });
            }
            SidecarAction::Release { program, chains } => tasks.spawn(async move {
                let body = ReleaseBody { chains };
                let freed: Option<ReleaseResponse> = engine.post("/v1/cache/release", &body).await;
                if freed.is_none() {
                    actix_rt::time::sleep(RELEASE_PAUSE).await;
                }
                let freed_tokens = freed.map(|answer| answer.freed_tokens);
                engine
                    .report(SidecarInput::Released {
                        program,
                        freed_tokens,
                    })
                    .await;
            }),
            SidecarAction::Retain { chains } => tasks.spawn(async move {
                let body = RetainBody { chains };
                // A list that gets lost is made good by the next one.
                let _: Option<ReleaseResponse> = engine.post("/v1/cache/retain", &body).await;
            }),
            SidecarAction::Order { from, order } => {
                tasks.spawn(async move { engine.order(from, order).await });
            }
            SidecarAction::Call { attempt, .. } => tasks.spawn(async move {
                let event = BackendEvent::Failed {
                    detail: "the backend server is no plain service".to_owned(),
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

impl Engine {
    async fn report(&self, input: SidecarInput) {
        self.control.send(ControlInput::Sidecar(input)).await;
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let sent = self.requests.get(url(self.address, path)).send().await;
        read_json(&mut sent.ok()?, MAX_ANSWER_BYTES).await
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Option<T> {
        let request = self.requests.post(url(self.address, path));
        let sent = request.send_json(body).await;
        read_json(&mut sent.ok()?, MAX_ANSWER_BYTES).await
    }

    /// Stops an attempt; an engine that can't be reached has nothing left to stop or ends the turn
    /// at its own limit.
    async fn cancel(&self, attempt: AttemptId) {
        let request = self.requests.post(url(self.address, "/v1/cancel"));
        let _ = request.send_json(&CancelBody { attempt }).await;
    }

    async fn order(&self, from: VmId, order: OrderBody) {
        let request = self.requests.post(url(self.address, "/v1/orders"));
        let (state, refused) = match request.send_json(&order).await {
            Ok(mut response) if response.status() == StatusCode::OK => {
                let state: Option<EngineState> = read_json(&mut response, MAX_ANSWER_BYTES).await;
                (state, None)
            }
            Ok(mut response) => {
                let status = response.status();
                let body = response.body().limit(MAX_ANSWER_BYTES).await;
                let why = body.unwrap_or_default();
                let why = String::from_utf8_lossy(&why).into_owned();
                (None, Some(format!("{status}: {why}")))
            }
            Err(err) => (None, Some(err.to_string())),
        };
        let state = match state {
            Some(state) => Some(state),
            None => self.get("/v1/state").await,
        };
        // Without the engine's state there is nothing true to say; the decider asks again.
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
    /// The engine has said the last word.
    Complete,
    /// It broke off.
    Cut(String),
}

/// Runs a turn to its end, asking for the stream again when it is cut.
async fn generate(engine: &Engine, body: GenerateBody) {
    let attempt = body.attempt;
    let mut position = 0;
    let request = engine.streams.post(url(engine.address, "/v1/generate"));
    let mut cut = match request.send_json(&body).await {
        Ok(response) if response.status() == StatusCode::OK => {
            match follow(engine, attempt, response, &mut position).await {
                StreamEnd::Complete => return,
                StreamEnd::Cut(detail) => detail,
            }
        }
        Ok(response) => {
            let status = response.status();
            let not_run = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
            let detail = format!("the engine refused with {status}");
            fail(engine, attempt, detail, not_run).await;
            return;
        }
        Err(SendRequestError::Connect(err)) => {
            fail(engine, attempt, err.to_string(), true).await;
            return;
        }
        Err(err) => err.to_string(),
    };
    for _ in 0..MAX_RESUMES {
        actix_rt::time::sleep(RESUME_PAUSE).await;
        let request = engine.streams.post(url(engine.address, "/v1/resume"));
        match request.send_json(&ResumeBody { attempt, position }).await {
            Ok(response) if response.status() == StatusCode::OK => {
                match follow(engine, attempt, response, &mut position).await {
                    StreamEnd::Complete => return,
                    StreamEnd::Cut(detail) => cut = detail,
                }
            }
            Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                "the engine no longer knows the attempt".clone_into(&mut cut);
                break;
            }
            Ok(response) => cut = format!("the engine refused with {}", response.status()),
            Err(err) => cut = err.to_string(),
        }
    }
    fail(engine, attempt, cut, false).await;
}

async fn fail(engine: &Engine, attempt: AttemptId, detail: String, not_run: bool) {
    let event = BackendEvent::Failed { detail, not_run };
    engine
        .report(SidecarInput::Backend { attempt, event })
        .await;
}

/// Reports the lines of a stream.
async fn follow<S>(
    engine: &Engine,
    attempt: AttemptId,
    mut response: awc::ClientResponse<S>,
    position: &mut u64,
) -> StreamEnd
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut lines = Lines::default();
    while let Some(chunk) = response.next().await {
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(err) => return StreamEnd::Cut(err.to_string()),
        };
        if lines.push(&chunk).is_err() {
            return StreamEnd::Cut("a line is too long".to_owned());
        }
        while let Some(line) = lines.next_line() {
            let Ok(line) = serde_json::from_slice(&line) else {
                return StreamEnd::Cut("a line is not what engines say".to_owned());
            };
            let (event, last) = read_line(line, position);
            engine
                .report(SidecarInput::Backend { attempt, event })
                .await;
            if last {
                return StreamEnd::Complete;
            }
        }
    }
    StreamEnd::Cut("the stream ended before the turn".to_owned())
}

fn read_line(line: GenerateLine, position: &mut u64) -> (BackendEvent, bool) {
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

async fn poll(engine: Engine, pause: Duration) {
    let mut after = 0;
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
            if next != after {
                after = next;
                engine.report(SidecarInput::Cache { first, events }).await;
            }
        }
        actix_rt::time::sleep(pause).await;
    }
}
