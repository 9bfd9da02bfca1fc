//! Simulates the backend servers of a chaos run: model engines and the plain service.
//!
//! Each reports the calls that it starts and executes and the tokens that it uses, for the checks.

use std::collections::BTreeMap;

use clementinepick::call::{Payload, PlainAnswer, PlainCall, Request};
use clementinepick::ids::{AttemptId, CallSeq, ProgramId};
use clementinepick::platform::{CacheEvent, GenerateBody, GenerateLine, LoadReport};
use clementinepick::prompt::ChainHash;
use clementinepick::sidecar::BackendEvent;
use clementinepick::units::{Percent, SpanUs, TimeUs, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::answer::{answer_text, intended_output_tokens};
use crate::chaos_callers::{body_program, body_seq};
use crate::chaos_checks::BodyId;
use crate::engine::{Engine, EngineSettings};
use crate::plain_service::{PlainRequest, PlainService};

/// The range of a hold's duration.
const HOLD_DURATION_RANGE_US: (u64, u64) = (1_000, 900_000);

/// The probability that a hold is executed and its connection closed before the response.
const RESPONSE_LOSS_PROBABILITY: f64 = 0.02;

/// A call that a backend server has started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedCall {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The program that made the call.
    pub program: ProgramId,
    /// Its sequence number in the program.
    pub seq: CallSeq,
    /// The body of the call.
    pub body: BodyId,
}

/// What a backend server did since the last call of [`Backend::advance`].
#[derive(Debug, Default)]
pub struct BackendProgress {
    /// Events for the sidecar.
    pub events: Vec<(AttemptId, BackendEvent)>,
    /// Holds that were executed.
    pub executed: Vec<(ProgramId, BodyId)>,
    /// Tokens that ended turns used.
    pub used_tokens: Vec<(ProgramId, Tokens)>,
}

/// A backend server.
pub enum Backend {
    /// A model engine.
    Engine(Box<EngineServer>),
    /// A server of the plain service.
    Plain(Box<PlainServer>),
}

/// A model engine, with the records that the checks need.
pub struct EngineServer {
    engine: Engine,
    next_cache_event: u64,
    running: BTreeMap<AttemptId, (ProgramId, Tokens)>,
    /// The prefixes that were ever cached for a single program.
    prefixes: BTreeMap<ProgramId, BTreeMap<ChainHash, Tokens>>,
    used_tokens: Vec<(ProgramId, Tokens)>,
    slow_until_us: TimeUs,
}

/// A server of the plain service, with its pending holds.
pub struct PlainServer {
    service: PlainService,
    pending: BTreeMap<(TimeUs, AttemptId), PlainCall>,
    rng: ChaCha12Rng,
}

impl Backend {
    /// Creates a backend server that has just started.
    #[must_use]
    pub fn new(is_engine: bool, seed: u64) -> Self {
        if !is_engine {
            return Self::Plain(Box::new(PlainServer {
                service: PlainService::default(),
                pending: BTreeMap::new(),
                rng: ChaCha12Rng::seed_from_u64(seed),
            }));
        }
        let settings = EngineSettings {
            seed,
            event_loss: Percent::new(5).unwrap_or_default(),
            cache_size_tokens: Tokens(20_000),
            prefill_tokens_per_s: 2_000,
            step_base_us: SpanUs::from_ms(20),
            ..EngineSettings::default()
        };
        Self::Engine(Box::new(EngineServer {
            engine: Engine::new(settings),
            next_cache_event: 0,
            running: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            used_tokens: Vec::new(),
            slow_until_us: TimeUs(0),
        }))
    }

    /// Restarts the server on a replaced VM, without its running calls and its cache.
    pub fn restart(&mut self, now: TimeUs) {
        match self {
            Self::Engine(server) => {
                server.record_all_usage();
                server.engine.crash(now);
                server.engine.restart(now);
                server.next_cache_event = 0;
                server.prefixes.clear();
            }
            Self::Plain(server) => server.pending.clear(),
        }
    }

    /// Slows an engine down until a time.
    pub fn slow_until(&mut self, now: TimeUs, until: TimeUs) {
        if let Self::Engine(server) = self {
            server.slow_until_us = until;
            server
                .engine
                .set_speed(now, Percent::new(10).unwrap_or_default());
        }
    }

    /// Starts a turn; returns `None` if it is refused.
    pub fn generate(&mut self, now: TimeUs, body: GenerateBody) -> Option<StartedCall> {
        let Self::Engine(server) = self else {
            return None;
        };
        let text = &body.messages.last()?.content;
        let body_id: BodyId = text.strip_prefix("body ")?.parse().ok()?;
        let started = StartedCall {
            attempt: body.attempt,
            program: body.program.clone(),
            seq: body_seq(body_id),
            body: body_id,
        };
        let prompt_tokens = body.prompt.length_tokens();
        let prefixes = server.prefixes.entry(body.program.clone()).or_default();
        // The first segment is the system prompt, which all programs share.
        for segment in body.prompt.segments.iter().skip(1) {
            prefixes.insert(segment.chain, segment.length_tokens);
        }
        server
            .running
            .insert(body.attempt, (body.program.clone(), prompt_tokens));
        server.engine.submit(now, body).ok()?;
        Some(started)
    }

    /// Starts a call of the plain service; returns `None` if it is refused.
    pub fn call(
        &mut self,
        now: TimeUs,
        attempt: AttemptId,
        call: &PlainCall,
    ) -> Option<StartedCall> {
        let Self::Plain(server) = self else {
            return None;
        };
        let body = hold_body(&call.body)?;
        let duration_us = SpanUs(
            server
                .rng
                .random_range(HOLD_DURATION_RANGE_US.0..HOLD_DURATION_RANGE_US.1),
        );
        server
            .pending
            .insert((now.after(duration_us), attempt), call.clone());
        let (program, seq) = (body_program(body), body_seq(body));
        Some(StartedCall {
            attempt,
            program,
            seq,
            body,
        })
    }

    /// Cancels a turn; a hold that has started can't be cancelled.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        if let Self::Engine(server) = self {
            server.engine.cancel(now, attempt);
            server.record_usage(attempt);
        }
    }

    /// Frees prefixes and returns the tokens freed.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Option<Tokens> {
        match self {
            Self::Engine(server) => Some(server.engine.release(now, chains)),
            Self::Plain(_) => Some(Tokens(0)),
        }
    }

    /// Frees all prefixes except `chains`.
    pub fn retain(&mut self, now: TimeUs, chains: &[ChainHash]) {
        if let Self::Engine(server) = self {
            server.engine.retain(now, chains);
        }
    }

    /// Returns the engine's load report.
    pub fn load_report(&mut self, now: TimeUs) -> Option<LoadReport> {
        match self {
            Self::Engine(server) => {
                if server.slow_until_us <= now && server.slow_until_us.0 > 0 {
                    server.slow_until_us = TimeUs(0);
                    server
                        .engine
                        .set_speed(now, Percent::new(100).unwrap_or_default());
                }
                Some(server.engine.load(now))
            }
            Self::Plain(_) => None,
        }
    }

    /// Returns the unread cache events and the number of the first, if there are any.
    pub fn cache_events(&mut self, now: TimeUs) -> Option<(u64, Vec<CacheEvent>)> {
        let Self::Engine(server) = self else {
            return None;
        };
        let answer = server.engine.cache_events(now, server.next_cache_event);
        if answer.events.is_empty() {
            return None;
        }
        server.next_cache_event = answer.first + answer.events.len() as u64;
        Some((answer.first, answer.events))
    }

    /// Returns the time of the next event of this server.
    #[must_use]
    pub fn next_event_at(&self) -> Option<TimeUs> {
        match self {
            Self::Engine(server) => server.engine.next_event_at(),
            Self::Plain(server) => server.pending.keys().next().map(|(at, _)| *at),
        }
    }

    /// Returns whether any call runs.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        match self {
            Self::Engine(server) => !server.running.is_empty(),
            Self::Plain(server) => !server.pending.is_empty(),
        }
    }

    /// Advances the server to `now` and returns what it did.
    pub fn advance(&mut self, now: TimeUs) -> BackendProgress {
        match self {
            Self::Engine(server) => server.advance(now),
            Self::Plain(server) => server.advance(now),
        }
    }

    /// Returns the tokens cached for single programs, by program.
    #[must_use]
    pub fn cached_tokens(&self) -> Vec<(ProgramId, Tokens)> {
        let Self::Engine(server) = self else {
            return Vec::new();
        };
        let cached = |chain: &ChainHash| !server.engine.export(*chain).segments.is_empty();
        let held = server.prefixes.iter().map(|(program, prefixes)| {
            let held = prefixes.iter().filter(|(chain, _)| cached(chain));
            (
                program.clone(),
                held.map(|(_, tokens)| *tokens).sum::<Tokens>(),
            )
        });
        held.filter(|(_, tokens)| tokens.0 > 0).collect()
    }

    /// Returns the text with which an engine responds to a request.
    #[must_use]
    pub fn expected_text(request: &Request) -> String {
        let Payload::Chat(chat) = &request.payload else {
            return String::new();
        };
        let chain = chat.prompt.chain();
        let wanted = intended_output_tokens(chain, &chat.extra);
        answer_text(
            chain,
            chat.max_output_tokens.map_or(wanted, |max| max.min(wanted)),
        )
    }

    /// Returns the body with which the plain service responds to a hold.
    #[must_use]
    pub fn expected_plain(body: BodyId) -> Vec<u8> {
        let request = plain_request(hold_json(body));
        PlainService::default()
            .handle(TimeUs(0), &request)
            .body
            .into_bytes()
    }
}

impl EngineServer {
    /// Records the tokens that an attempt has used.
    fn record_usage(&mut self, attempt: AttemptId) {
        self.used_tokens.extend(self.running.remove(&attempt));
    }

    fn record_all_usage(&mut self) {
        self.used_tokens
            .extend(std::mem::take(&mut self.running).into_values());
    }

    fn advance(&mut self, now: TimeUs) -> BackendProgress {
        let mut progress = BackendProgress::default();
        for (attempt, line) in self.engine.advance(now) {
            let event = match line {
                GenerateLine::Text {
                    position,
                    text,
                    count_tokens,
                } => {
                    if let Some((_, tokens)) = self.running.get_mut(&attempt) {
                        *tokens += count_tokens;
                    }
                    BackendEvent::Text {
                        position,
                        text,
                        count_tokens,
                    }
                }
                GenerateLine::Done {
                    usage,
                    finish,
                    cached,
                } => {
                    self.record_cached_prefix(
                        attempt,
                        cached.last().map(|s| (s.chain, s.length_tokens)),
                    );
                    self.record_usage(attempt);
                    BackendEvent::Done {
                        usage,
                        finish,
                        cached,
                    }
                }
                GenerateLine::Failed { detail } => {
                    self.record_usage(attempt);
                    BackendEvent::Failed {
                        detail,
                        not_run: false,
                    }
                }
            };
            progress.events.push((attempt, event));
        }
        progress.used_tokens = std::mem::take(&mut self.used_tokens);
        progress
    }

    fn record_cached_prefix(&mut self, attempt: AttemptId, last: Option<(ChainHash, Tokens)>) {
        let (Some((program, _)), Some((chain, tokens))) = (self.running.get(&attempt), last) else {
            return;
        };
        self.prefixes
            .entry(program.clone())
            .or_default()
            .insert(chain, tokens);
    }
}

impl PlainServer {
    fn advance(&mut self, now: TimeUs) -> BackendProgress {
        let mut progress = BackendProgress::default();
        while let Some(entry) = self
            .pending
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let ((_, attempt), call) = entry.remove_entry();
            if let Some(body) = hold_body(&call.body) {
                progress.executed.push((body_program(body), body));
            }
            let reply = self.service.handle(now, &plain_request(call.body));
            if self.rng.random_bool(RESPONSE_LOSS_PROBABILITY) {
                let event = BackendEvent::Failed {
                    detail: "connection closed before the response".to_owned(),
                    not_run: false,
                };
                progress.events.push((attempt, event));
                continue;
            }
            let answer = PlainAnswer {
                status: reply.status,
                headers: Vec::new(),
                body: reply.body.into_bytes(),
            };
            progress.events.push((attempt, BackendEvent::Plain(answer)));
        }
        progress
    }
}

fn plain_request(body: Vec<u8>) -> PlainRequest {
    PlainRequest {
        method: "POST".to_owned(),
        path: "/holds".to_owned(),
        key: None,
        body,
    }
}

/// Returns the JSON body of a hold.
#[must_use]
pub fn hold_json(body: BodyId) -> Vec<u8> {
    serde_json::json!({ "id": body.to_string(), "slot": format!("slot-{body}") })
        .to_string()
        .into_bytes()
}

fn hold_body(json: &[u8]) -> Option<BodyId> {
    let value: serde_json::Value = serde_json::from_slice(json).ok()?;
    value.get("id")?.as_str()?.parse().ok()
}
