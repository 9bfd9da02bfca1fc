//! The model engine behind HTTP.
//!
//! Beside the paths of the platform's table it takes `POST /control/hang/{ms}`,
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

/// The wait after a weight store that gave no usable answer.
const WEIGHTS_RETRY: SpanUs = SpanUs::from_s(1);
/// The longest that the driver sleeps when nothing is due.
const IDLE: Duration = Duration::from_millis(200);

/// The core, and who reads which attempt's lines.
struct Hosted {
    engine: Engine,
    readers: BTreeMap<AttemptId, UnboundedSender<GenerateLine>>,
}

impl Hosted {
    /// Moves on to now and passes the lines to their readers; lines without a reader stay in the
    /// engine's memory for a resume.
    fn advance(&mut self, clock: Clock) {
        for (attempt, line) in self.engine.advance(clock.now()) {
            let last = !matches!(line, GenerateLine::Text { .. });
            if let Some(reader) = self.readers.get(&attempt) {
                let gone = reader.send(line).is_err();
                if last || gone {
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

/// One engine behind HTTP.
#[derive(Clone)]
pub struct EngineHost {
    hosted: Arc<Mutex<Hosted>>,
    clock: Clock,
    wake: Arc<Notify>,
    weights: Option<SocketAddr>,
}

impl EngineHost {
    /// An engine that loads from the weight store at `weights`.
    #[must_use]
    pub fn new(settings: EngineSettings, clock: Clock, weights: Option<SocketAddr>) -> Self {
        let hosted = Hosted {
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

    /// Looks at the core as it is now.
    pub fn inspect<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        let mut hosted = lock(&self.hosted);
        hosted.advance(self.clock);
        look(&hosted.engine)
    }

    /// Moves the engine on as time passes; it never ends by itself.
    pub(crate) async fn drive(self) {
        loop {
            let (next, wanted) = {
                let mut hosted = lock(&self.hosted);
                hosted.advance(self.clock);
                let wanted = hosted.engine.take_weight_request(self.clock.now());
                (hosted.engine.next_event_at(), wanted)
            };
            if let Some(wanted) = wanted {
                actix_rt::spawn(self.clone().fetch(wanted));
            }
            let pause = next.map_or(IDLE, |at| {
                Duration::from_micros(at.since(self.clock.now()).0).min(IDLE)
            });
            tokio::select! {
                () = actix_rt::time::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn fetch(self, wanted: WeightRequest) {
        let answer = match self.weights {
            Some(store) => fetch_weights(store, &wanted).await,
            None => Ok(SpanUs(0)),
        };
        let now = self.clock.now();
        lock(&self.hosted).engine.complete_weight_fetch(now, answer);
        self.wake.notify_one();
    }

    /// Answers one request.
    pub(crate) async fn handle(self, mut request: Request) -> HandlerResult {
        let parts = path_parts(&request);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let method = request.method().as_str().to_owned();
        let answer = match (method.as_str(), &parts[..]) {
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
        Ok(answer.unwrap_or_else(|refused| refused))
    }

    /// Runs `act` on the core as of now.
    fn with<T>(&self, act: impl FnOnce(&mut Hosted) -> T) -> T {
        let mut hosted = lock(&self.hosted);
        hosted.advance(self.clock);
        act(&mut hosted)
    }

    fn with_up(&self, act: impl FnOnce(&mut Engine) -> HttpResponse) -> HttpResponse {
        self.with(|hosted| {
            if hosted.engine.is_up() {
                act(&mut hosted.engine)
            } else {
                refusal(EngineError::Down)
            }
        })
    }

    async fn generate(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let body: GenerateBody = read_json(request).await?;
        let (attempt, now) = (body.attempt, self.clock.now());
        let lines = self.with(|hosted| {
            hosted.engine.submit(now, body).map_err(refusal)?;
            Ok::<_, HttpResponse>(hosted.read(attempt))
        })?;
        Ok(line_stream(Vec::new(), lines))
    }

    async fn resume(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let ResumeBody { attempt, position } = read_json(request).await?;
        // One lock over both steps: a line generated between them would be lost or come twice.
        let (before, lines) = self.with(|hosted| {
            let before = hosted.engine.resume(attempt, position).map_err(refusal)?;
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
            .map_err(refusal)?;
        Ok(empty(StatusCode::NO_CONTENT))
    }

    async fn order(&self, request: &mut Request) -> Result<HttpResponse, HttpResponse> {
        let body: OrderBody = read_json(request).await?;
        let now = self.clock.now();
        match self.with(|hosted| hosted.engine.order(now, body)) {
            Ok(state) => Ok(json(&state)),
            Err(OrderError::Down) => Err(refusal(EngineError::Down)),
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
                    // Without their readers the streams end before their turns do.
                    hosted.readers.clear();
                }
                ["restart"] => hosted.engine.restart(now),
                _ => return not_found(),
            }
            empty(StatusCode::NO_CONTENT)
        })
    }
}

fn refusal(error: EngineError) -> HttpResponse {
    let status = match error {
        EngineError::Down => StatusCode::SERVICE_UNAVAILABLE,
        EngineError::DuplicateAttempt => StatusCode::CONFLICT,
        EngineError::UnknownAttempt => StatusCode::NOT_FOUND,
        EngineError::CacheFull => StatusCode::INSUFFICIENT_STORAGE,
    };
    text(status, error.to_string())
}

/// A body of one JSON line each; it ends after the turn's last line, or when the reader is dropped.
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

/// Fetches weights and says how long they took to come, as zero more to wait.
async fn fetch_weights(store: SocketAddr, wanted: &WeightRequest) -> Result<SpanUs, SpanUs> {
    let WeightRequest { model, version } = wanted;
    let url = format!("http://{store}/v1/weights/{model}/{version}");
    let client = Client::builder().disable_timeout().finish();
    let Ok(response) = client.get(url).send().await else {
        sleep(WEIGHTS_RETRY).await;
        return Err(SpanUs(0));
    };
    if response.status().is_success() {
        return Ok(SpanUs(0));
    }
    let after = response.headers().get("retry-after");
    let seconds = after.and_then(|value| value.to_str().ok()?.parse().ok());
    Err(seconds.map_or(WEIGHTS_RETRY, SpanUs::from_s))
}

/// The tokens that an engine holds, with what runs.
#[must_use]
pub fn used_tokens(host: &EngineHost) -> Tokens {
    host.inspect(|engine| engine.current_load().cache_used_tokens)
}
