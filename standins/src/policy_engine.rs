//! Simulates a model engine in virtual time: continuous batching over a prefix cache.
//!
//! Consecutive steps with the same batch form one stride, which is a single event. A new call ends
//! the stride at the end of the current step, when it would be admitted with single steps too.

use std::collections::VecDeque;
use std::rc::Rc;

use clementinepick::ids::AttemptId;
use clementinepick::platform::{CacheEvent, LoadReport};
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

use crate::cache::{IdleCacheUse, PrefixCache};

/// The capacity and timing of an engine.
#[derive(Debug, Clone)]
pub struct EngineParameters {
    /// The size of the cache memory.
    pub cache_size_tokens: Tokens,
    /// The maximum number of sequences in the batch.
    pub max_running: usize,
    /// The maximum number of prompt tokens that a step processes.
    pub chunk_tokens: u64,
    /// The fixed time of a step.
    pub step_us: u64,
    /// The additional time of a step for each decoding sequence.
    pub sequence_us: u64,
    /// The additional time of a step for each prompt token.
    pub prompt_token_us: u64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            cache_size_tokens: Tokens(400_000),
            max_running: 32,
            chunk_tokens: 1_024,
            step_us: 18_000,
            sequence_us: 300,
            prompt_token_us: 110,
        }
    }
}

/// A call as the engine receives it.
#[derive(Debug, Clone)]
pub struct EngineCall {
    pub attempt: AttemptId,
    pub prompt: Rc<[Segment]>,
    /// The segment that the engine will generate.
    pub output: Segment,
}

/// A completed call.
#[derive(Debug, Clone)]
pub struct CompletedCall {
    pub attempt: AttemptId,
    /// The number of prompt tokens that were found in the cache.
    pub cached_tokens: Tokens,
}

/// The results of a stride.
#[derive(Debug, Default)]
pub struct EngineProgress {
    /// The calls whose prefill completed.
    pub prefilled: Vec<AttemptId>,
    /// The calls that completed.
    pub completed: Vec<CompletedCall>,
}

#[derive(Debug)]
struct Sequence {
    call: EngineCall,
    cached_tokens: Tokens,
    /// The number of prompt tokens that remain to be processed.
    prompt_tokens_left: u64,
    output_tokens_left: u64,
    /// The number of leading prompt segments that were cached on admission.
    pinned_count: usize,
}

/// Consecutive steps with the same batch.
#[derive(Debug, Clone, Copy)]
struct Stride {
    start_us: TimeUs,
    step_us: u64,
    steps: u64,
    prompt_tokens: u64,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct VirtualEngine {
    parameters: EngineParameters,
    cache: PrefixCache,
    waiting: VecDeque<EngineCall>,
    running: Vec<Sequence>,
    stride: Option<Stride>,
}

impl VirtualEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            cache: PrefixCache::new(parameters.cache_size_tokens),
            parameters,
            waiting: VecDeque::new(),
            running: Vec::new(),
            stride: None,
        }
    }

    /// Adds a call to the end of the engine's FIFO queue.
    pub fn submit(&mut self, now: TimeUs, call: EngineCall) {
        self.waiting.push_back(call);
        self.end_stride_early(now);
    }

    /// Returns the end of the current stride, or none if the engine is idle.
    #[must_use]
    pub fn next_event_us(&self) -> Option<TimeUs> {
        let stride = self.stride?;
        Some(stride.start_us.after(SpanUs(stride.step_us * stride.steps)))
    }

    /// Completes the stride that ends at `now`, which must be [`Self::next_event_us`], and starts
    /// the next one.
    pub fn advance(&mut self, now: TimeUs) -> EngineProgress {
        let mut progress = EngineProgress::default();
        if let Some(stride) = self.stride.take() {
            self.apply_stride(now, stride, &mut progress);
        }
        self.plan_stride(now);
        progress
    }

    /// Removes a queued or running call.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        self.waiting.retain(|call| call.attempt != attempt);
        if let Some(index) = self.running.iter().position(|s| s.call.attempt == attempt) {
            let sequence = self.running.swap_remove(index);
            self.remove_sequence(now, &sequence);
        }
    }

    /// Discards the cache and all calls, and returns the discarded calls.
    pub fn fail(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        for sequence in &running {
            self.remove_sequence(now, sequence);
        }
        self.cache.evict_idle(now);
        self.stride = None;
        let waiting = waiting.into_iter().map(|call| call.attempt);
        waiting
            .chain(running.into_iter().map(|s| s.call.attempt))
            .collect()
    }

    /// Drops the given prefixes from the cache, except segments that others use, and returns the
    /// freed tokens.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        self.cache.release(now, chains)
    }

    /// Returns the engine's load report.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cache_used_tokens: self.cache.used(),
            cache_size_tokens: self.parameters.cache_size_tokens,
            max_running: u32::try_from(self.parameters.max_running).unwrap_or(u32::MAX),
            age_us: SpanUs(0),
        }
    }

    /// Returns the changes of the cache since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Returns the use of idle cache memory so far.
    #[must_use]
    pub fn spend(&self, now: TimeUs) -> IdleCacheUse {
        self.cache.idle_use(now)
    }

    fn remove_sequence(&mut self, now: TimeUs, sequence: &Sequence) {
        let prompt = &sequence.call.prompt;
        self.cache.unpin(now, &prompt[..sequence.pinned_count]);
        let uncached_tokens: Tokens = prompt[sequence.pinned_count..]
            .iter()
            .map(|s| s.length_tokens)
            .sum();
        self.cache
            .unreserve(uncached_tokens + sequence.call.output.length_tokens);
    }

    /// Shortens the current stride to the end of its current step; an idle engine starts a new one.
    fn end_stride_early(&mut self, now: TimeUs) {
        match &mut self.stride {
            None => self.plan_stride(now),
            Some(stride) => {
                let elapsed_us = now.since(stride.start_us).0;
                let steps = elapsed_us.div_ceil(stride.step_us).max(1);
                stride.steps = stride.steps.min(steps);
            }
        }
    }

    fn apply_stride(&mut self, now: TimeUs, stride: Stride, progress: &mut EngineProgress) {
        let mut prompt_tokens = stride.prompt_tokens;
        let mut ended_indices = Vec::new();
        for (index, sequence) in self.running.iter_mut().enumerate() {
            if sequence.prompt_tokens_left > 0 {
                let chunk = prompt_tokens.min(sequence.prompt_tokens_left);
                prompt_tokens -= chunk;
                sequence.prompt_tokens_left -= chunk;
                if chunk > 0 && sequence.prompt_tokens_left == 0 {
                    progress.prefilled.push(sequence.call.attempt);
                }
                continue;
            }
            sequence.output_tokens_left = sequence.output_tokens_left.saturating_sub(stride.steps);
            if sequence.output_tokens_left == 0 {
                ended_indices.push(index);
            }
        }
        for index in ended_indices.into_iter().rev() {
            let sequence = self.running.remove(index);
            progress
                .completed
                .push(self.finish_sequence(now, &sequence));
        }
    }

    fn finish_sequence(&mut self, now: TimeUs, sequence: &Sequence) -> CompletedCall {
        let mut segments = sequence.call.prompt.to_vec();
        segments.push(sequence.call.output);
        store_segments(&mut self.cache, &segments, sequence.pinned_count);
        self.cache.unpin(now, &segments);
        CompletedCall {
            attempt: sequence.call.attempt,
            cached_tokens: sequence.cached_tokens,
        }
    }

    /// Admits queued calls that fit, in FIFO order, and starts the next stride.
    fn plan_stride(&mut self, now: TimeUs) {
        while self.running.len() < self.parameters.max_running {
            let Some(call) = self.waiting.front() else {
                break;
            };
            let Some(sequence) = admit_call(&mut self.cache, now, call) else {
                break;
            };
            self.waiting.pop_front();
            self.running.push(sequence);
        }
        let prompt_tokens_left: u64 = self.running.iter().map(|s| s.prompt_tokens_left).sum();
        let decoding = self.running.iter().filter(|s| s.prompt_tokens_left == 0);
        let min_output_tokens_left = decoding.clone().map(|s| s.output_tokens_left).min();
        let batch = decoding.count() as u64;
        let prompt_tokens = prompt_tokens_left.min(self.parameters.chunk_tokens);
        let steps = match (prompt_tokens, min_output_tokens_left) {
            (0, None) => return,
            (0, Some(min_output_tokens_left)) => min_output_tokens_left.max(1),
            (_, _) => 1,
        };
        let step_us = self.parameters.step_us
            + self.parameters.sequence_us * batch
            + self.parameters.prompt_token_us * prompt_tokens;
        self.stride = Some(Stride {
            start_us: now,
            step_us,
            steps,
            prompt_tokens,
        });
    }
}

fn store_segments(cache: &mut PrefixCache, segments: &[Segment], first_new: usize) {
    for index in first_new..segments.len() {
        let parent = index
            .checked_sub(1)
            .map(|previous| segments[previous].chain);
        cache.store(parent, segments[index]);
    }
}

fn admit_call(cache: &mut PrefixCache, now: TimeUs, call: &EngineCall) -> Option<Sequence> {
    let pinned_count = cache.count_cached(&call.prompt);
    let cached_tokens = call.prompt[..pinned_count]
        .iter()
        .map(|s| s.length_tokens)
        .sum();
    let prompt_tokens_left: Tokens = call.prompt[pinned_count..]
        .iter()
        .map(|s| s.length_tokens)
        .sum();
    cache.pin(now, &call.prompt[..pinned_count]);
    if !cache.reserve(now, prompt_tokens_left + call.output.length_tokens) {
        cache.unpin(now, &call.prompt[..pinned_count]);
        return None;
    }
    Some(Sequence {
        call: call.clone(),
        cached_tokens,
        // The last token of a prompt is always computed, even if the whole prompt is cached.
        prompt_tokens_left: prompt_tokens_left.0.max(1),
        output_tokens_left: call.output.length_tokens.0,
        pinned_count,
    })
}
