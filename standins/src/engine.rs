//! Simulates a model engine with continuous batching, a prefix cache, orders and injected failures.
//!
//! Time passes only through the `now` arguments of the calls. The batch is constant between two
//! events, so a run in virtual time does work per output line rather than per token.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clementinepick::call::Usage;
use clementinepick::ids::{AttemptId, ModelName, VersionName};
use clementinepick::platform::{EngineRole, GenerateBody, GenerateLine};
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{Bytes, Percent, SpanUs, TimeUs, Tokens};
use thiserror::Error;

use crate::answer::answer_segment;
use crate::cache::PrefixCache;
use crate::engine_orders::EngineOrders;
use crate::engine_reports::{EventFeed, LoadHistory};
use crate::sequence::{Phase, Sequence, text_after, text_line, total_length};
use crate::step_clock::StepClock;

/// Settings of a simulated engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Maximum number of sequences in the running batch.
    pub max_running: u32,
    /// Capacity of the prefix cache.
    pub cache_size_tokens: Tokens,
    /// Size of the cached state of one token.
    pub cache_bytes_per_token: Bytes,
    /// Duration of a decode step with an empty batch.
    pub step_base_us: SpanUs,
    /// Time that each decoding sequence adds to a decode step.
    pub step_per_sequence_us: SpanUs,
    /// Prefill rate; prompts are prefilled one at a time.
    pub prefill_tokens_per_s: u64,
    /// Fixed overhead of each prefill.
    pub prefill_base_us: SpanUs,
    /// Tokens per text line, after a first line of one token.
    pub chunk_tokens: Tokens,
    /// Age of the load reports that the engine publishes.
    pub load_lag_us: SpanUs,
    /// Delay until a cache event can be read.
    pub event_lag_us: SpanUs,
    /// Probability that a run of lost cache events starts at an event.
    pub event_loss: Percent,
    /// Whether the engine rejects orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Models served after a start; if empty, every model is served.
    pub models: BTreeMap<ModelName, VersionName>,
    /// Role after a start.
    pub role: EngineRole,
    /// Seed for the loss of cache events.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            max_running: 32,
            cache_size_tokens: Tokens(200_000),
            cache_bytes_per_token: Bytes(131_072),
            step_base_us: SpanUs::from_ms(8),
            step_per_sequence_us: SpanUs(250),
            prefill_tokens_per_s: 20_000,
            prefill_base_us: SpanUs::from_ms(2),
            chunk_tokens: Tokens(4),
            load_lag_us: SpanUs::from_ms(500),
            event_lag_us: SpanUs::from_ms(300),
            event_loss: Percent::default(),
            checks_fencing: true,
            models: BTreeMap::new(),
            role: EngineRole::Mixed,
            seed: 0,
        }
    }
}

/// Reason why an engine rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The engine process is down.
    #[error("engine is down")]
    Down,
    /// An attempt with this id was submitted before.
    #[error("duplicate attempt id")]
    DuplicateAttempt,
    /// The attempt is unknown, or its output is no longer retained.
    #[error("unknown attempt id")]
    UnknownAttempt,
    /// The prefix does not fit into the free cache memory.
    #[error("prefix does not fit into the free cache memory")]
    CacheFull,
}

/// The output of a completed attempt, retained so that a client can resume reading it.
#[derive(Debug, Clone)]
struct CompletedAttempt {
    chain: ChainHash,
    count: Tokens,
    done: GenerateLine,
}

const MAX_COMPLETED_ATTEMPTS: usize = 4_096;

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) cache: PrefixCache,
    sequences: BTreeMap<AttemptId, Sequence>,
    pub(crate) waiting: VecDeque<AttemptId>,
    prefills: VecDeque<AttemptId>,
    prefill_ends_us: Option<TimeUs>,
    /// Step at which each decoding sequence emits its next line.
    due: BTreeSet<(u64, AttemptId)>,
    decoding: u64,
    pub(crate) running: u32,
    clock: StepClock,
    speed: Percent,
    completed: BTreeMap<AttemptId, CompletedAttempt>,
    completion_order: VecDeque<AttemptId>,
    lines: Vec<(AttemptId, GenerateLine)>,
    pub(crate) loads: LoadHistory,
    pub(crate) feed: EventFeed,
    pub(crate) orders: EngineOrders,
    up: bool,
    generated: Tokens,
    prefilled: Tokens,
}

impl Engine {
    /// Creates a running engine with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cache_size_tokens),
            sequences: BTreeMap::new(),
            waiting: VecDeque::new(),
            prefills: VecDeque::new(),
            prefill_ends_us: None,
            due: BTreeSet::new(),
            decoding: 0,
            running: 0,
            clock: StepClock::new(TimeUs(0), settings.step_base_us),
            speed: Percent::new(100).unwrap_or_default(),
            completed: BTreeMap::new(),
            completion_order: VecDeque::new(),
            lines: Vec::new(),
            loads: LoadHistory::new(settings.load_lag_us),
            feed: EventFeed::new(settings.event_lag_us, settings.event_loss, settings.seed),
            orders: EngineOrders::new(&settings),
            up: true,
            generated: Tokens(0),
            prefilled: Tokens(0),
            settings,
        }
    }

    /// Adds a request to the engine's queue, which is first-in, first-out.
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] or [`EngineError::DuplicateAttempt`]; the request was not executed.
    pub fn submit(&mut self, now: TimeUs, body: GenerateBody) -> Result<(), EngineError> {
        if !self.up {
            return Err(EngineError::Down);
        }
        self.run_until(now);
        if self.sequences.contains_key(&body.attempt) || self.completed.contains_key(&body.attempt)
        {
            return Err(EngineError::DuplicateAttempt);
        }
        let attempt = body.attempt;
        if !self.orders.serves(&body.model) {
            self.emit_failure(attempt, "the model is not loaded");
            return Ok(());
        }
        let sequence = Sequence::new(body);
        if sequence.peak_memory() > self.settings.cache_size_tokens {
            self.emit_failure(attempt, "the prompt and answer are larger than the cache");
            return Ok(());
        }
        self.sequences.insert(attempt, sequence);
        self.waiting.push_back(attempt);
        self.admit(now);
        self.after_change(now);
        Ok(())
    }

    /// Returns the time of the next event that occurs without a further call.
    #[must_use]
    pub fn next_event_at(&self) -> Option<TimeUs> {
        if !self.up {
            return None;
        }
        let ready = (!self.lines.is_empty()).then_some(self.clock.base_us());
        let work = [ready, self.next_work_at(), self.orders.next_event_at()];
        work.into_iter().flatten().min()
    }

    /// Advances to `now` and returns the lines generated so far, in order.
    pub fn advance(&mut self, now: TimeUs) -> Vec<(AttemptId, GenerateLine)> {
        if self.up {
            self.run_until(now);
        }
        std::mem::take(&mut self.lines)
    }

    /// Returns the output of an attempt after `position`; [`Engine::advance`] returns later lines.
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] or [`EngineError::UnknownAttempt`].
    pub fn resume(
        &self,
        attempt: AttemptId,
        position: u64,
    ) -> Result<Vec<GenerateLine>, EngineError> {
        if !self.up {
            return Err(EngineError::Down);
        }
        if let Some(completed) = self.completed.get(&attempt) {
            let mut lines = text_after(completed.chain, completed.count, position);
            lines.push(completed.done.clone());
            return Ok(lines);
        }
        let sequence = self.sequences.get(&attempt);
        let sequence = sequence.ok_or(EngineError::UnknownAttempt)?;
        Ok(text_after(sequence.chain, sequence.sent, position))
    }

    /// Cancels a queued or running attempt and discards its undelivered lines.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        if !self.up {
            return;
        }
        self.run_until(now);
        self.lines.retain(|(of, _)| *of != attempt);
        let Some(sequence) = self.sequences.remove(&attempt) else {
            return;
        };
        self.remove_from_batch(now, attempt, &sequence);
        self.admit(now);
        self.after_change(now);
    }

    /// Returns the total number of generated tokens.
    #[must_use]
    pub const fn generated(&self) -> Tokens {
        self.generated
    }

    /// Returns the total number of prompt tokens prefilled, excluding cache hits.
    #[must_use]
    pub const fn prefilled(&self) -> Tokens {
        self.prefilled
    }

    /// Returns whether the engine process is running.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// Stops the process, losing sequences, output and cache; returns the interrupted attempts.
    pub fn crash(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let interrupted = self.sequences.keys().copied().collect();
        let feed = std::mem::replace(&mut self.feed, EventFeed::empty());
        let initial = Self::new(self.settings.clone());
        *self = Self {
            feed: feed.restarted(),
            up: false,
            clock: StepClock::new(now, self.settings.step_base_us),
            generated: self.generated,
            prefilled: self.prefilled,
            ..initial
        };
        interrupted
    }

    /// Starts the process again after a crash, with only its settings.
    pub fn restart(&mut self, now: TimeUs) {
        if !self.up {
            self.up = true;
            self.clock.idle_to(now);
        }
    }

    /// Suspends all progress for `span`; the process stays up and accepts requests.
    pub fn hang(&mut self, now: TimeUs, span: SpanUs) {
        self.run_until(now);
        self.move_clock(now);
        self.clock.hang(span);
        self.prefill_ends_us = self.prefill_ends_us.map(|at| at.after(span));
    }

    /// Sets the decoding speed as a percentage of the configured speed.
    pub fn set_speed(&mut self, now: TimeUs, speed: Percent) {
        self.run_until(now);
        self.speed = speed;
        self.after_change(now);
    }

    fn next_work_at(&self) -> Option<TimeUs> {
        let line = self.due.first().map(|(step, _)| self.clock.time_of(*step));
        [line, self.prefill_ends_us].into_iter().flatten().min()
    }

    pub(crate) fn run_until(&mut self, now: TimeUs) {
        while let Some(at) = self.next_work_at().filter(|at| *at <= now) {
            if self.prefill_ends_us == Some(at) {
                self.end_prefill(at);
            } else if let Some(&(step, _)) = self.due.first() {
                self.end_step(at, step);
            }
            self.after_change(at);
        }
        if self.orders.advance(now) {
            // Cached state is valid only for the model version that produced it.
            self.cache.evict_idle(now);
            self.after_change(now);
        }
    }

    fn end_prefill(&mut self, now: TimeUs) {
        self.prefill_ends_us = None;
        let Some(attempt) = self.prefills.pop_front() else {
            return;
        };
        let Some(mut sequence) = self.sequences.remove(&attempt) else {
            return;
        };
        self.move_clock(now);
        let first_step = self.clock.step();
        sequence.phase = Phase::Decoding { first_step };
        sequence.reserved = sequence
            .reserved
            .saturating_sub(sequence.prompt - sequence.cached);
        self.store(&sequence.segments, sequence.matched);
        self.prefilled += sequence.prompt - sequence.cached;
        self.sequences.insert(attempt, sequence);
        self.due.insert((first_step + 1, attempt));
        self.decoding += 1;
    }

    /// Emits the lines that are due at the end of `step`.
    fn end_step(&mut self, now: TimeUs, step: u64) {
        self.clock.end_step(now, step);
        let mut has_completed = false;
        while let Some(&(due, attempt)) = self.due.first().filter(|(due, _)| *due == step) {
            self.due.remove(&(due, attempt));
            has_completed |= self.emit(now, step, attempt);
        }
        if has_completed {
            self.admit(now);
        }
    }

    /// Emits the next line of a sequence; returns true if the sequence is complete.
    fn emit(&mut self, now: TimeUs, step: u64, attempt: AttemptId) -> bool {
        let Some(sequence) = self.sequences.get_mut(&attempt) else {
            return false;
        };
        let Phase::Decoding { first_step } = sequence.phase else {
            return false;
        };
        let reached = Tokens(step - first_step).min(sequence.wanted);
        self.generated += reached - sequence.sent;
        let line = text_line(sequence.chain, sequence.sent, reached);
        if let GenerateLine::Text { text, .. } = &line {
            sequence.text += text;
        }
        sequence.sent = reached;
        self.lines.push((attempt, line));
        let remaining = sequence.wanted - reached;
        if remaining.0 > 0 {
            let chunk = self.settings.chunk_tokens.0.clamp(1, remaining.0);
            self.due.insert((step + chunk, attempt));
            return false;
        }
        if let Some(sequence) = self.sequences.remove(&attempt) {
            self.complete(now, attempt, sequence);
        }
        true
    }

    fn complete(&mut self, now: TimeUs, attempt: AttemptId, mut sequence: Sequence) {
        let segment = answer_segment(sequence.chain, &sequence.text);
        sequence.segments.push(segment);
        self.store(&sequence.segments, sequence.segments.len() - 1);
        sequence.reserved = sequence.reserved.saturating_sub(segment.length_tokens);
        self.remove_from_batch(now, attempt, &sequence);
        let done = GenerateLine::Done {
            usage: Usage {
                prompt_tokens: sequence.prompt,
                cached_tokens: sequence.cached,
                output_tokens: sequence.wanted,
            },
            finish: sequence.finish,
            cached: sequence.segments,
        };
        self.lines.push((attempt, done.clone()));
        let completed = CompletedAttempt {
            chain: sequence.chain,
            count: sequence.wanted,
            done,
        };
        self.completed.insert(attempt, completed);
        self.completion_order.push_back(attempt);
        if self.completion_order.len() > MAX_COMPLETED_ATTEMPTS
            && let Some(oldest) = self.completion_order.pop_front()
        {
            self.completed.remove(&oldest);
        }
    }

    /// Releases the resources of a completed or cancelled sequence.
    fn remove_from_batch(&mut self, now: TimeUs, attempt: AttemptId, sequence: &Sequence) {
        self.cache.unreserve(sequence.reserved);
        match sequence.phase {
            Phase::Waiting => {
                self.waiting.retain(|other| *other != attempt);
                return;
            }
            Phase::Prefilling => {
                self.cache
                    .unpin(now, &sequence.segments[..sequence.matched]);
                if self.prefills.front() == Some(&attempt) {
                    self.prefill_ends_us = None;
                }
                self.prefills.retain(|other| *other != attempt);
            }
            Phase::Decoding { .. } => {
                self.cache.unpin(now, &sequence.segments);
                self.due.retain(|(_, other)| *other != attempt);
                self.move_clock(now);
                self.decoding -= 1;
            }
        }
        self.running -= 1;
    }

    /// Admits queued sequences in arrival order while batch slots and cache memory are available.
    pub(crate) fn admit(&mut self, now: TimeUs) {
        while self.running < self.settings.max_running
            && let Some(attempt) = self.waiting.front().copied()
            && let Some(sequence) = self.sequences.get_mut(&attempt)
        {
            let matched = self.cache.count_cached(&sequence.segments);
            self.cache.pin(now, &sequence.segments[..matched]);
            let cached = total_length(&sequence.segments[..matched]);
            let wanted = sequence.peak_memory() - cached;
            if !self.cache.reserve(now, wanted) {
                self.cache.unpin(now, &sequence.segments[..matched]);
                return;
            }
            sequence.matched = matched;
            sequence.cached = cached;
            sequence.reserved = wanted;
            sequence.phase = Phase::Prefilling;
            self.waiting.pop_front();
            self.prefills.push_back(attempt);
            self.running += 1;
        }
    }

    pub(crate) fn store(&mut self, segments: &[Segment], from: usize) {
        let mut parent = from.checked_sub(1).map(|at| segments[at].chain);
        for segment in &segments[from..] {
            self.cache.store(parent, *segment);
            parent = Some(segment.chain);
        }
    }

    fn emit_failure(&mut self, attempt: AttemptId, detail: &str) {
        let detail = detail.to_owned();
        self.lines.push((attempt, GenerateLine::Failed { detail }));
    }

    /// Starts the next prefill, updates the step duration, and records cache events and load.
    pub(crate) fn after_change(&mut self, now: TimeUs) {
        self.start_prefill(now);
        let batch = self.settings.step_per_sequence_us.0 * self.decoding;
        let speed = u64::from(u8::from(self.speed)).max(1);
        self.move_clock(now);
        self.clock
            .set_step_us((self.settings.step_base_us.0 + batch) * 100 / speed);
        let events = self.cache.take_events();
        self.feed.push(now, events);
        if self.loads.is_due(now) {
            self.loads.record_sample(now, self.current_load());
        }
    }

    fn start_prefill(&mut self, now: TimeUs) {
        if self.prefill_ends_us.is_some() {
            return;
        }
        let Some(first) = self.prefills.front() else {
            return;
        };
        let Some(sequence) = self.sequences.get(first) else {
            return;
        };
        let missing = sequence.prompt - sequence.cached;
        let rate = self.settings.prefill_tokens_per_s.max(1);
        let span = SpanUs(missing.0 * 1_000_000 / rate) + self.settings.prefill_base_us;
        // While the engine hangs, the clock's base lies in the future.
        self.prefill_ends_us = Some(now.max(self.clock.base_us()).after(span));
    }

    /// Advances the step counter to `now`.
    fn move_clock(&mut self, now: TimeUs) {
        if self.decoding == 0 {
            self.clock.idle_to(now);
        } else {
            self.clock.run_to(now);
        }
    }
}
