//! The model engine: continuous batching, a prefix cache, orders, and failures on demand.
//!
//! Time moves only by [`Engine::advance`]. Between two events the batch is constant, so that a
//! decode step costs nothing until some sequence has text to send: a virtual-time run pays for
//! lines, not for tokens.

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

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The most sequences in the running batch.
    pub max_running: u32,
    /// The cache memory.
    pub cache_size_tokens: Tokens,
    /// The size of one token's cached state.
    pub cache_bytes_per_token: Bytes,
    /// The time of a decode step with an empty batch.
    pub step_base_us: SpanUs,
    /// What each running sequence adds to a decode step.
    pub step_per_sequence_us: SpanUs,
    /// How fast prompts are prefilled, one after the other.
    pub prefill_tokens_per_s: u64,
    /// The time that a prefill takes beside its tokens.
    pub prefill_base_us: SpanUs,
    /// The tokens in one line of text; the first line has one token.
    pub chunk_tokens: Tokens,
    /// How old the load reports are that it gives out.
    pub load_lag_us: SpanUs,
    /// How late cache events can be read.
    pub event_lag_us: SpanUs,
    /// The share of cache events that are never seen.
    pub event_loss: Percent,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// What it serves after a start; empty: any model.
    pub models: BTreeMap<ModelName, VersionName>,
    /// The part it plays after a start.
    pub role: EngineRole,
    /// Seeds the loss of events.
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

/// Why an engine does not do what it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The process is down.
    #[error("the engine is down")]
    Down,
    /// An attempt with this id came before.
    #[error("this attempt came before")]
    Repeated,
    /// No such attempt, or its answer is no longer kept.
    #[error("no such attempt")]
    UnknownAttempt,
    /// The cache can't take it.
    #[error("it does not fit into the cache")]
    NoRoom,
}

/// An answer that was generated whole, kept for resumes.
#[derive(Debug, Clone)]
struct Ended {
    chain: ChainHash,
    count: Tokens,
    done: GenerateLine,
}

/// How many ended answers are kept.
const MAX_ENDED: usize = 4_096;

/// One model engine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) cache: PrefixCache,
    sequences: BTreeMap<AttemptId, Sequence>,
    pub(crate) waiting: VecDeque<AttemptId>,
    prefills: VecDeque<AttemptId>,
    prefill_ends_us: Option<TimeUs>,
    /// The steps at which decoding sequences have a line to send.
    due: BTreeSet<(u64, AttemptId)>,
    decoding: u64,
    pub(crate) running: u32,
    clock: StepClock,
    speed: Percent,
    ended: BTreeMap<AttemptId, Ended>,
    ended_order: VecDeque<AttemptId>,
    lines: Vec<(AttemptId, GenerateLine)>,
    pub(crate) loads: LoadHistory,
    pub(crate) feed: EventFeed,
    pub(crate) orders: EngineOrders,
    up: bool,
    generated: Tokens,
    prefilled: Tokens,
}

impl Engine {
    /// An engine that has just started.
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
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
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

    /// Takes a request into the engine's own queue, which knows no priorities.
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] and [`EngineError::Repeated`]; it did not run then.
    pub fn submit(&mut self, now: TimeUs, body: GenerateBody) -> Result<(), EngineError> {
        if !self.up {
            return Err(EngineError::Down);
        }
        self.run_until(now);
        if self.sequences.contains_key(&body.attempt) || self.ended.contains_key(&body.attempt) {
            return Err(EngineError::Repeated);
        }
        let attempt = body.attempt;
        if !self.orders.serves(&body.model) {
            self.fail(attempt, "the model is not loaded");
            return Ok(());
        }
        let sequence = Sequence::new(body);
        if sequence.peak_memory() > self.settings.cache_size_tokens {
            self.fail(attempt, "the prompt and answer are larger than the cache");
            return Ok(());
        }
        self.sequences.insert(attempt, sequence);
        self.waiting.push_back(attempt);
        self.admit(now);
        self.after_change(now);
        Ok(())
    }

    /// When something will happen by itself next.
    #[must_use]
    pub fn next_event_at(&self) -> Option<TimeUs> {
        if !self.up {
            return None;
        }
        let ready = (!self.lines.is_empty()).then_some(self.clock.base_us());
        let work = [ready, self.next_work_at(), self.orders.next_event_at()];
        work.into_iter().flatten().min()
    }

    /// Moves on to `now` and returns what was generated, in order.
    pub fn advance(&mut self, now: TimeUs) -> Vec<(AttemptId, GenerateLine)> {
        if self.up {
            self.run_until(now);
        }
        std::mem::take(&mut self.lines)
    }

    /// What has been generated of an attempt after `position`; what is generated from now on comes
    /// by [`Engine::advance`].
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] and [`EngineError::UnknownAttempt`].
    pub fn resume(
        &self,
        attempt: AttemptId,
        position: u64,
    ) -> Result<Vec<GenerateLine>, EngineError> {
        if !self.up {
            return Err(EngineError::Down);
        }
        if let Some(ended) = self.ended.get(&attempt) {
            let mut lines = text_after(ended.chain, ended.count, position);
            lines.push(ended.done.clone());
            return Ok(lines);
        }
        let sequence = self.sequences.get(&attempt);
        let sequence = sequence.ok_or(EngineError::UnknownAttempt)?;
        Ok(text_after(sequence.chain, sequence.sent, position))
    }

    /// Ends an attempt, wherever it is; nothing more comes of it.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        if !self.up {
            return;
        }
        self.run_until(now);
        self.lines.retain(|(of, _)| *of != attempt);
        let Some(sequence) = self.sequences.remove(&attempt) else {
            return;
        };
        self.leave(now, attempt, &sequence);
        self.admit(now);
        self.after_change(now);
    }

    /// All tokens that were generated.
    #[must_use]
    pub const fn generated(&self) -> Tokens {
        self.generated
    }

    /// All prompt tokens that were prefilled and not taken from the cache.
    #[must_use]
    pub const fn prefilled(&self) -> Tokens {
        self.prefilled
    }

    /// Whether the process runs.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// The process dies: sequences, answers and cache are gone. Returns the attempts cut off.
    pub fn crash(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let cut = self.sequences.keys().copied().collect();
        let feed = std::mem::replace(&mut self.feed, EventFeed::empty());
        let fresh = Self::new(self.settings.clone());
        *self = Self {
            feed: feed.restarted(),
            up: false,
            clock: StepClock::new(now, self.settings.step_base_us),
            generated: self.generated,
            prefilled: self.prefilled,
            ..fresh
        };
        cut
    }

    /// The process starts anew, with nothing but its settings.
    pub fn restart(&mut self, now: TimeUs) {
        if !self.up {
            self.up = true;
            self.clock.idle_to(now);
        }
    }

    /// Nothing moves for `span`; the process stays up and takes requests.
    pub fn hang(&mut self, now: TimeUs, span: SpanUs) {
        self.run_until(now);
        self.move_clock(now);
        self.clock.hang(span);
        self.prefill_ends_us = self.prefill_ends_us.map(|at| at.after(span));
    }

    /// From now on decoding runs at this share of its speed.
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
            // Cached state belongs to the version that made it.
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

    /// Sends the lines that are due at the end of `step`.
    fn end_step(&mut self, now: TimeUs, step: u64) {
        self.clock.end_step(now, step);
        let mut left = false;
        while let Some(&(due, attempt)) = self.due.first().filter(|(due, _)| *due == step) {
            self.due.remove(&(due, attempt));
            left |= self.emit(now, step, attempt);
        }
        if left {
            self.admit(now);
        }
    }

    /// Sends one sequence's line; true when that ended it.
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
        let left = sequence.wanted - reached;
        if left.0 > 0 {
            let chunk = self.settings.chunk_tokens.0.clamp(1, left.0);
            self.due.insert((step + chunk, attempt));
            return false;
        }
        if let Some(sequence) = self.sequences.remove(&attempt) {
            self.end(now, attempt, sequence);
        }
        true
    }

    fn end(&mut self, now: TimeUs, attempt: AttemptId, mut sequence: Sequence) {
        let segment = answer_segment(sequence.chain, &sequence.text);
        sequence.segments.push(segment);
        self.store(&sequence.segments, sequence.segments.len() - 1);
        sequence.reserved = sequence.reserved.saturating_sub(segment.length_tokens);
        self.leave(now, attempt, &sequence);
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
        let ended = Ended {
            chain: sequence.chain,
            count: sequence.wanted,
            done,
        };
        self.ended.insert(attempt, ended);
        self.ended_order.push_back(attempt);
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Takes a sequence that ended or was cancelled out of the batch.
    fn leave(&mut self, now: TimeUs, attempt: AttemptId, sequence: &Sequence) {
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

    /// Admits from the queue in order of arrival while batch and memory have room.
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

    fn fail(&mut self, attempt: AttemptId, detail: &str) {
        let detail = detail.to_owned();
        self.lines.push((attempt, GenerateLine::Failed { detail }));
    }

    /// Starts the next prefill, sets the step's length by the batch, and notes what is published.
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
            self.loads.note(now, self.load_now());
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
        // During a hang the present step begins only later.
        self.prefill_ends_us = Some(now.max(self.clock.base_us()).after(span));
    }

    /// Moves the count of steps on to `now`.
    fn move_clock(&mut self, now: TimeUs) {
        if self.decoding == 0 {
            self.clock.idle_to(now);
        } else {
            self.clock.run_to(now);
        }
    }
}
