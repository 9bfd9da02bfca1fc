//! What an engine publishes of itself: a load report that lags, and cache events that come late
//! and with gaps.

use std::collections::VecDeque;

use clementinepick::platform::{CacheEvent, CacheEventsResponse, LoadReport};
use clementinepick::units::{Percent, SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// The time between two samples of the load.
const SAMPLE_US: SpanUs = SpanUs::from_ms(100);
/// How many cache events are kept for readers.
const MAX_EVENTS: usize = 100_000;
/// How many events in a row are lost at once, at most.
const MAX_LOST_RUN: u64 = 8;

/// Samples of the load, from which a lagging report is read.
#[derive(Debug, Clone)]
pub(crate) struct LoadHistory {
    lag: SpanUs,
    samples: VecDeque<(TimeUs, LoadReport)>,
}

impl LoadHistory {
    pub(crate) const fn new(lag: SpanUs) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Whether the last sample is old enough for another.
    pub(crate) fn is_due(&self, now: TimeUs) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.since(*at) >= SAMPLE_US)
    }

    /// Takes a sample, and forgets those that no report needs any more.
    pub(crate) fn note(&mut self, now: TimeUs, report: LoadReport) {
        self.samples.push_back((now, report));
        while self.samples.len() > 1 && self.is_old(now, self.samples[1].0) {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is as old as the lag, or the oldest there is.
    pub(crate) fn report(&self, now: TimeUs) -> LoadReport {
        let old = |(at, _): &&(TimeUs, LoadReport)| self.is_old(now, *at);
        let sample = self.samples.iter().rev().find(old);
        let Some((at, report)) = sample.or(self.samples.front()) else {
            return LoadReport::default();
        };
        LoadReport {
            age_us: now.since(*at),
            ..*report
        }
    }

    fn is_old(&self, now: TimeUs, at: TimeUs) -> bool {
        at.after(self.lag) <= now
    }
}

#[derive(Debug, Clone, Copy)]
struct Numbered {
    number: u64,
    readable_us: TimeUs,
    event: CacheEvent,
}

/// The cache events as others read them.
#[derive(Debug, Clone)]
pub(crate) struct EventFeed {
    lag: SpanUs,
    loss: Percent,
    rng: ChaCha12Rng,
    next: u64,
    /// Events that are still to be lost in the present run of losses.
    losing: u64,
    kept: VecDeque<Numbered>,
}

impl EventFeed {
    pub(crate) fn new(lag: SpanUs, loss: Percent, seed: u64) -> Self {
        Self {
            lag,
            loss,
            rng: ChaCha12Rng::seed_from_u64(seed),
            next: 0,
            losing: 0,
            kept: VecDeque::new(),
        }
    }

    pub(crate) fn empty() -> Self {
        Self::new(SpanUs(0), Percent::default(), 0)
    }

    /// The feed after a crash: numbers go on, so that readers see a gap and not a fresh start.
    pub(crate) fn restarted(mut self) -> Self {
        self.kept.clear();
        self.next += 1;
        self
    }

    pub(crate) fn push(&mut self, now: TimeUs, events: Vec<CacheEvent>) {
        for event in events {
            let number = self.next;
            self.next += 1;
            if self.is_lost() {
                continue;
            }
            let readable_us = now.after(self.lag);
            self.kept.push_back(Numbered {
                number,
                readable_us,
                event,
            });
            if self.kept.len() > MAX_EVENTS {
                self.kept.pop_front();
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        if self.losing > 0 {
            self.losing -= 1;
            return true;
        }
        let loss = u8::from(self.loss);
        if loss == 0 || self.rng.random_range(0..100) >= loss {
            return false;
        }
        self.losing = self.rng.random_range(0..MAX_LOST_RUN);
        true
    }

    /// The readable events from `after` on, up to the next gap.
    pub(crate) fn read(&self, now: TimeUs, after: u64) -> CacheEventsResponse {
        let from = self.kept.partition_point(|kept| kept.number < after);
        let first = self.kept.get(from).map_or(after, |kept| kept.number);
        let events: Vec<CacheEvent> = self
            .kept
            .range(from..)
            .zip(first..)
            .take_while(|(kept, expected)| kept.number == *expected && kept.readable_us <= now)
            .map(|(kept, _)| kept.event)
            .collect();
        // A gap shows only once the event behind it can be read.
        let first = if events.is_empty() { after } else { first };
        CacheEventsResponse { first, events }
    }
}
