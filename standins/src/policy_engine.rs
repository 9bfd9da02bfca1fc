//! A model engine in virtual time: continuous batching over the prefix cache, without text.
//!
//! It advances in strides: as long as the batch does not change, many steps are one event. That is
//! what makes hours of load cheap, and the only difference to a step at a time is none: a stride is
//! cut at a step's end when a call comes in.

use std::collections::VecDeque;
use std::rc::Rc;

use clementinepick::ids::AttemptId;
use clementinepick::platform::{CacheEvent, LoadReport};
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{SpanUs, TimeUs, Tokens};

use crate::cache::{CacheSpend, PrefixCache};

/// What an engine can do.
#[derive(Debug, Clone)]
pub struct EngineParameters {
    /// The cache memory.
    pub cache_size_tokens: Tokens,
    /// The most sequences in the batch.
    pub max_running: usize,
    /// Prompt tokens that one step takes in at most.
    pub chunk_tokens: u64,
    /// The time of a step beside its sequences and prompt tokens.
    pub step_us: u64,
    /// The time of a step for each sequence that generates.
    pub sequence_us: u64,
    /// The time of a step for each prompt token.
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

/// A call as the engine gets it.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The prompt.
    pub prompt: Rc<[Segment]>,
    /// The segment that the answer will add.
    pub output: Segment,
}

/// A call that has ended.
#[derive(Debug, Clone)]
pub struct CompletedCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part of the prompt that came from the cache.
    pub cached_tokens: Tokens,
}

/// What happened in a stride.
#[derive(Debug, Default)]
pub struct EngineProgress {
    /// Calls whose prompt has been taken in.
    pub prefilled: Vec<AttemptId>,
    /// Calls that have ended.
    pub completed: Vec<CompletedCall>,
}

#[derive(Debug)]
struct Sequence {
    call: EngineCall,
    cached_tokens: Tokens,
    /// Prompt tokens that are still to be taken in.
    prompt_left: u64,
    output_left: u64,
    /// Segments of the prompt that were cached when it was admitted.
    pinned: usize,
}

#[derive(Debug, Clone, Copy)]
struct Stride {
    from_us: TimeUs,
    step_us: u64,
    steps: u64,
    prompt_tokens: u64,
}

/// One engine.
#[derive(Debug)]
pub struct VirtualEngine {
    shape: EngineParameters,
    cache: PrefixCache,
    waiting: VecDeque<EngineCall>,
    running: Vec<Sequence>,
    stride: Option<Stride>,
}

impl VirtualEngine {
    /// An idle engine.
    #[must_use]
    pub fn new(shape: EngineParameters) -> Self {
        Self {
            cache: PrefixCache::new(shape.cache_size_tokens),
            shape,
            waiting: VecDeque::new(),
            running: Vec::new(),
            stride: None,
        }
    }

    /// Takes a call; the engine knows no priorities.
    pub fn submit(&mut self, now: TimeUs, call: EngineCall) {
        self.waiting.push_back(call);
        self.cut(now);
    }

    /// When something happens next.
    #[must_use]
    pub fn next_event_us(&self) -> Option<TimeUs> {
        let stride = self.stride?;
        Some(stride.from_us.after(SpanUs(stride.step_us * stride.steps)))
    }

    /// Goes on to `now`, which is [`Self::next_us`].
    pub fn advance(&mut self, now: TimeUs) -> EngineProgress {
        let mut progress = EngineProgress::default();
        if let Some(stride) = self.stride.take() {
            self.apply(now, stride, &mut progress);
        }
        self.plan(now);
        progress
    }

    /// Takes out a call that waits or runs.
    pub fn cancel(&mut self, now: TimeUs, attempt: AttemptId) {
        self.waiting.retain(|call| call.attempt != attempt);
        if let Some(at) = self.running.iter().position(|s| s.call.attempt == attempt) {
            let sequence = self.running.swap_remove(at);
            self.drop_sequence(now, &sequence);
        }
    }

    /// Fails: everything in it is lost. Returns the calls that were in it.
    pub fn fail(&mut self, now: TimeUs) -> Vec<AttemptId> {
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        for sequence in &running {
            self.drop_sequence(now, sequence);
        }
        self.cache.clear_idle(now);
        self.stride = None;
        let waiting = waiting.into_iter().map(|call| call.attempt);
        waiting
            .chain(running.into_iter().map(|s| s.call.attempt))
            .collect()
    }

    /// Drops what nobody else shares of the named prefixes.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        self.cache.release(now, chains)
    }

    /// The engine's own word of its load.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cache_used_tokens: self.cache.used(),
            cache_size_tokens: self.shape.cache_size_tokens,
            max_running: u32::try_from(self.shape.max_running).unwrap_or(u32::MAX),
            age_us: SpanUs(0),
        }
    }

    /// The cache's changes since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// What idle cache memory was spent on so far.
    #[must_use]
    pub fn spend(&self, now: TimeUs) -> CacheSpend {
        self.cache.spend(now)
    }

    fn drop_sequence(&mut self, now: TimeUs, sequence: &Sequence) {
        let prompt = &sequence.call.prompt;
        self.cache.unpin(now, &prompt[..sequence.pinned]);
        let missing: Tokens = prompt[sequence.pinned..]
            .iter()
            .map(|s| s.length_tokens)
            .sum();
        self.cache
            .unreserve(missing + sequence.call.output.length_tokens);
    }

    /// Ends the stride that is under way at the end of its present step.
    fn cut(&mut self, now: TimeUs) {
        match &mut self.stride {
            None => self.plan(now),
            Some(stride) => {
                let gone_us = now.since(stride.from_us).0;
                let steps = gone_us.div_ceil(stride.step_us).max(1);
                stride.steps = stride.steps.min(steps);
            }
        }
    }

    fn apply(&mut self, now: TimeUs, stride: Stride, progress: &mut EngineProgress) {
        let mut prompt_tokens = stride.prompt_tokens;
        let mut ended = Vec::new();
        for (at, sequence) in self.running.iter_mut().enumerate() {
            if sequence.prompt_left > 0 {
                let taken = prompt_tokens.min(sequence.prompt_left);
                prompt_tokens -= taken;
                sequence.prompt_left -= taken;
                if taken > 0 && sequence.prompt_left == 0 {
                    progress.prefilled.push(sequence.call.attempt);
                }
                continue;
            }
            sequence.output_left = sequence.output_left.saturating_sub(stride.steps);
            if sequence.output_left == 0 {
                ended.push(at);
            }
        }
        for at in ended.into_iter().rev() {
            let sequence = self.running.remove(at);
            progress.completed.push(self.finish(now, &sequence));
        }
    }

    fn finish(&mut self, now: TimeUs, sequence: &Sequence) -> CompletedCall {
        let mut segments = sequence.call.prompt.to_vec();
        segments.push(sequence.call.output);
        store(&mut self.cache, &segments, sequence.pinned);
        self.cache.unpin(now, &segments);
        CompletedCall {
            attempt: sequence.call.attempt,
            cached_tokens: sequence.cached_tokens,
        }
    }

    /// Admits what fits, first come first served, and plans the next stride.
    fn plan(&mut self, now: TimeUs) {
        while self.running.len() < self.shape.max_running {
            let Some(call) = self.waiting.front() else {
                break;
            };
            let Some(sequence) = admit(&mut self.cache, now, call) else {
                break;
            };
            self.waiting.pop_front();
            self.running.push(sequence);
        }
        let prompt_left: u64 = self.running.iter().map(|s| s.prompt_left).sum();
        let decoding = self.running.iter().filter(|s| s.prompt_left == 0);
        let least = decoding.clone().map(|s| s.output_left).min();
        let batch = decoding.count() as u64;
        let prompt_tokens = prompt_left.min(self.shape.chunk_tokens);
        let steps = match (prompt_tokens, least) {
            (0, None) => return,
            (0, Some(least)) => least.max(1),
            (_, _) => 1,
        };
        let step_us = self.shape.step_us
            + self.shape.sequence_us * batch
            + self.shape.prompt_token_us * prompt_tokens;
        self.stride = Some(Stride {
            from_us: now,
            step_us,
            steps,
            prompt_tokens,
        });
    }
}

fn store(cache: &mut PrefixCache, segments: &[Segment], from: usize) {
    for at in from..segments.len() {
        let parent = at.checked_sub(1).map(|above| segments[above].chain);
        cache.store(parent, segments[at]);
    }
}

fn admit(cache: &mut PrefixCache, now: TimeUs, call: &EngineCall) -> Option<Sequence> {
    let pinned = cache.matched(&call.prompt);
    let cached_tokens = call.prompt[..pinned].iter().map(|s| s.length_tokens).sum();
    let prompt_left: Tokens = call.prompt[pinned..].iter().map(|s| s.length_tokens).sum();
    cache.pin(now, &call.prompt[..pinned]);
    if !cache.reserve(now, prompt_left + call.output.length_tokens) {
        cache.unpin(now, &call.prompt[..pinned]);
        return None;
    }
    Some(Sequence {
        call: call.clone(),
        cached_tokens,
        // The last token of a prompt is computed even when the rest is cached.
        prompt_left: prompt_left.0.max(1),
        output_left: call.output.length_tokens.0,
        pinned,
    })
}
