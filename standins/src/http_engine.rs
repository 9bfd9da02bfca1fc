//! Serves a simulated model engine over HTTP.
//!
//! Besides the paths of the platform API it accepts `POST /control/hang/{ms}`,
//! `/control/speed/{percent}`, `/control/crash` and `/control/restart`.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use awc::Client;
use bytes::Bytes;
use clementinepick::ids::AttemptId;
use clementinepick::platform::{
    CacheImage, CancelBody, GenerateBody, GenerateLine, OrderBody, ReleaseBody, ReleaseResponse,
    ResumeBody, RetainBody,
};
use clementinepick::units::{Percent, SpanUs, Tokens};
use futures_util::stream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::Clock;
use crate::engine::{Engine, EngineError, EngineSettings};
use crate::engine_orders::{OrderError, WeightRequest};
use crate::http::{
    HandlerResult, HttpResponse, empty, json, lock, not_found, path_parts, query_number, read_json,
    sleep, text,
};

/// Retry interval if the weight store gives no usable response.
const WEIGHTS_RETRY_INTERVAL: SpanUs = SpanUs::from_s(1);
/// Maximum time that the driver sleeps between two advances.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// An engine and the receivers of each attempt's lines.
struct HostedEngine {
    engine: Engine,
    readers: BTreeMap<AttemptId, UnboundedSender<GenerateLine>>,
}

impl HostedEngine {
    /// Advances to now and sends the lines to their readers. Lines without a reader are retained by
    /// the engine for a resume.
    fn advance(&mut self, clock: Clock) {
        for (attempt, line) in self.engine.advance(clock.now()) {
            let is_last = !matches!(line, GenerateLine::Text { .. });
            if let Some(reader) = self.readers.get(&attempt) {
                let is_disconnected = reader.send(line).is_err();
                if is_last || is_disconnected {
                    self.readers.remove(&attempt);
                }
            }
        }
    }

    fn read(&mut self, attempt: AttemptId) -> UnboundedReceiver<GenerateLine> {
        let (sender, receiver) = unbounded_channel();
        self.readers.retain(|_, reader| !reader.is_closed());
        self.readers.insert(attempt, sender);
        receiver
    }
}

/// An engine served over HTTP.
#[derive(Clone)]
pub struct EngineHost {
    hosted: Arc<Mutex<HostedEngine>>,
    clock: Clock,
    wake: Arc<Notify>,
    weights: Option<SocketAddr>,
}

impl EngineHost {
    /// Creates an engine that loads from the weight store at `weights`, or at once without one.
    #[must_use]
    pub fn new(settings: EngineSettings, clock: Clock, weights: Option<SocketAddr>) -> Self {
        let hosted = HostedEngine {
            engine: Engine::new(settings),
            readers: BTreeMap::new(),
        };
        Self {
            hosted: Arc::new(Mutex::new(hosted)),
            clock,
            wake: Arc::new(Notify::new()),
            weights,
        }
    }

    /// Advances the engine to now and runs `look` on it.
    pub fn inspect<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        let mut hosted = lock(&self.hosted);
        hosted.advance(self.clock);
        look(&hosted.engine)
    }

    /// Advances the engine as time passes; never returns.
    pub(crate) async fn drive(self) {
        loop {
            let (next, weight_request) = {
                let mut hosted = lock(&self.hosted);
                hosted.advance(self.clock);
                let weight_request = hosted.engine.take_weight_request(self.clock.now());
                (hosted.engine.next_event_at(), weight_request)
            };
            if let Some(weight_request) = weight_request {
                actix_rt::spawn(self.clone().fetch_and_report(weight_request));
            }
            let pause = next.map_or(IDLE_INTERVAL, |at| {
                Duration::from_micros(at.since(self.clock.now()).0).min(IDLE_INTERVAL)
            });
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn fetch_and_report(self, weight_request: WeightRequest) {
        let result = match self.weights {
            Some(store) => fetch_weights(store, &weight_request).await,
            None => Ok(SpanUs(0)),
        };
        let now = self.clock.now();
        lock(&self.hosted).engine.complete_weight_fetch(now, result);
        self.wake.notify_one();
    }

    /// Handles one request.
    pub(crate) async fn handle(self, mut request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let method = request.method().as_str().to_owned();
        let response = match (method.as_str(), &parts[..]) {
            ("POST", ["v1", "generate"]) => self.generate(&mut request).await,
            ("POST", ["v1", "resume"]) => self.resume(&mut request).await,
            ("POST", ["v1", "cancel"]) => self.cancel(&mut request).await,
            ("POST", ["v1", "cache", "release"]) => self.release(&mut request).await,
            ("POST", ["v1", "cache", "retain"]) => self.retain(&mut request).await,
            ("POST", ["v1", "cache", "export"]) => self.export(&mut request).await,
            ("POST", ["v1", "cache", "import"]) => self.import(&mut request).await,
            ("GET", ["v1", "cache", "events"]) => {
                let after = query_number(&request, "after").unwrap_or_default();
                let now = self.clock.now();
                Ok(self.with_up(|engine| json(&engine.cache_events(now, after))))
            }
            ("GET", ["v1", "load"]) => {
                let now = self.clock.now();
                Ok(self.with_up(|engine| json(&engine.load(now))))
            }
            ("GET", ["v1", "state"]) => Ok(self.with_up(|engine| json(&engine.state()))),
            ("POST", ["v1", "orders"]) => self.order(&mut request).await,
            ("POST", ["control", rest @ ..]) => Ok(self.control(rest)),
            _ => Ok(not_found()),
        };
        self.wake.notify_one();
        Ok(response.unwrap_or_else(|rejected| rejected))
    }

    /// Advances the engine to now and runs `act` on it.
    fn with<T>(&self, act: impl FnOnce(&mut HostedEngine) -> T) -> T {
        let mut hosted = lock(&self.hosted);
        hosted.advance(self.clock);
        act(&mut hosted)
    }

    fn with_up(&self, act: impl FnOnce(&mut Engine) -> HttpResponse) -> HttpResponse {
        self.with(|hosted| {
            if hosted.engine.is_up() {
                act(&mut hosted.engine)
            } else {
                error_response(EngineError::Down)
            }
        })
    }

    async fn generate(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let body: GenerateBody = read_json(request).await?;
        let (attempt, now) = (body.attempt, self.clock.now());
        let lines = self.with(|hosted| {
            hosted.engine.submit(now, body).map_err(error_response)?;
            Ok::<_, HttpResponse>(hosted.read(attempt))
        })?;
        Ok(line_stream(Vec::new(), lines))
    }

    async fn resume(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let ResumeBody { attempt, position } = read_json(request).await?;
        // Both steps hold one lock: a line generated between them would be lost or sent twice.
        let (before, lines) = self.with(|hosted| {
            let before = hosted
                .engine
                .resume(attempt, position)
                .map_err(error_response)?;
            Ok::<_, HttpResponse>((before, hosted.read(attempt)))
        })?;
        Ok(line_stream(before, lines))
    }

    async fn cancel(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let CancelBody { attempt } = read_json(request).await?;
        let now = self.clock.now();
        self.with(|hosted| {
            hosted.engine.cancel(now, attempt);
            hosted.readers.remove(&attempt);
        });
        Ok(empty(StatusCode::NO_CONTENT))
    }

    async fn release(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let ReleaseBody { chains } = read_json(request).await?;
        let now = self.clock.now();
        Ok(self.with_up(|engine| {
            let freed_tokens = engine.release(now, &chains);
            json(&ReleaseResponse { freed_tokens })
        }))
    }

    async fn retain(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let RetainBody { chains } = read_json(request).await?;
        let now = self.clock.now();
        Ok(self.with_up(|engine| {
            let freed_tokens = engine.retain(now, &chains);
            json(&ReleaseResponse { freed_tokens })
        }))
    }

    async fn export(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let ReleaseBody { chains } = read_json(request).await?;
        let last = chains.last().copied().unwrap_or_default();
        Ok(self.with_up(|engine| json(&engine.export(last))))
    }

    async fn import(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let image: CacheImage = read_json(request).await?;
        let now = self.clock.now();
        self.with(|hosted| hosted.engine.import(now, &image))
            .map_err(error_response)?;
        Ok(empty(StatusCode::NO_CONTENT))
    }

    async fn order(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let body: OrderBody = read_json(request).await?;
        let now = self.clock.now();
        match self.with(|hosted| hosted.engine.order(now, body)) {
            Ok(state) => Ok(json(&state)),
            Err(OrderError::Down) => Err(error_response(EngineError::Down)),
            Err(err @ OrderError::Fenced(_)) => Err(text(StatusCode::CONFLICT, err.to_string())),
        }
    }

    fn control(&self, command: &[&str]) -> HttpResponse {
        let now = self.clock.now();
        self.with(|hosted| {
            match command {
                ["hang", ms] => match ms.parse() {
                    Ok(ms) => hosted.engine.hang(now, SpanUs::from_ms(ms)),
                    Err(_) => return empty(StatusCode::BAD_REQUEST),
                },
                ["speed", percent] => match percent.parse().ok().and_then(Percent::new) {
                    Some(speed) => hosted.engine.set_speed(now, speed),
                    None => return empty(StatusCode::BAD_REQUEST),
                },
                ["crash"] => {
                    hosted.engine.crash(now);
                    // Dropping the senders truncates the open streams.
                    hosted.readers.clear();
                }
                ["restart"] => hosted.engine.restart(now),
                _ => return not_found(),
            }
            empty(StatusCode::NO_CONTENT)
        })
    }
}

fn error_response(error: EngineError) -> HttpResponse {
    let status = match error {
        EngineError::Down => StatusCode::SERVICE_UNAVAILABLE,
        EngineError::DuplicateAttempt => StatusCode::CONFLICT,
        EngineError::UnknownAttempt => StatusCode::NOT_FOUND,
        EngineError::CacheFull => StatusCode::INSUFFICIENT_STORAGE,
    };
    text(status, error.to_string())
}

/// Streams lines as JSON, one per line, until the turn's last line or until the sender is dropped.
fn line_stream(before: Vec<GenerateLine>, lines: UnboundedReceiver<GenerateLine>) -> HttpResponse {
    let state = (before.into_iter(), lines, false);
    let chunks = stream::unfold(state, |(mut before, mut lines, ended)| async move {
        if ended {
            return None;
        }
        let line = match before.next() {
            Some(line) => line,
            None => lines.recv().await?,
        };
        let ended = !matches!(line, GenerateLine::Text { .. });
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        let chunk = Ok::<_, Infallible>(Bytes::from(text));
        Some((chunk, (before, lines, ended)))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(chunks)));
    Response::with_body(StatusCode::OK, body)
}

/// Fetches weights. Returns the remaining transfer time, which is zero, or the time before a retry.
async fn fetch_weights(
    store: SocketAddr,
    weight_request: &WeightRequest,
) -> Result<SpanUs, SpanUs> {
    let WeightRequest { model, version } = weight_request;
    let url = format!("http://{store}/v1/weights/{model}/{version}");
    let client = Client::builder().disable_timeout().finish();
    let Ok(response) = client.get(url).send().await else {
        sleep(WEIGHTS_RETRY_INTERVAL).await;
        return Err(SpanUs(0));
    };
    if response.status().is_success() {
        return Ok(SpanUs(0));
    }
    let after = response.headers().get("retry-after");
    let seconds = after.and_then(|value| value.to_str().ok()?.parse().ok());
    Err(seconds.map_or(WEIGHTS_RETRY_INTERVAL, SpanUs::from_s))
}

/// Returns the cache memory in use, including that of running sequences, in tokens.
#[must_use]
pub fn used_tokens(host: &EngineHost) -> Tokens {
    host.inspect(|engine| engine.current_load().cache_used_tokens)
}
