//! Publishes the load and the cache events of a simulated engine, with a lag and with lost events.

use std::collections::VecDeque;

use clementinepick::platform::{CacheEvent, CacheEventsResponse, LoadReport};
use clementinepick::units::{Percent, SpanUs, TimeUs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Interval between samples of the load.
const SAMPLE_US: SpanUs = SpanUs::from_ms(100);
/// Maximum number of cache events retained for readers.
const MAX_EVENTS: usize = 100_000;
/// Maximum number of consecutive events lost in one run.
const MAX_LOST_RUN: u64 = 8;

/// Samples of the load from which lagging reports are taken.
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

    /// Returns whether the sampling interval has passed since the last sample.
    pub(crate) fn is_due(&self, now: TimeUs) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.since(*at) >= SAMPLE_US)
    }

    /// Records a sample and drops those that no later report needs.
    pub(crate) fn record_sample(&mut self, now: TimeUs, report: LoadReport) {
        self.samples.push_back((now, report));
        while self.samples.len() > 1 && self.is_past_lag(now, self.samples[1].0) {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as the lag, or else the oldest sample.
    pub(crate) fn report(&self, now: TimeUs) -> LoadReport {
        let old = |(at, _): &&(TimeUs, LoadReport)| self.is_past_lag(now, *at);
        let sample = self.samples.iter().rev().find(old);
        let Some((at, report)) = sample.or(self.samples.front()) else {
            return LoadReport::default();
        };
        LoadReport {
            age_us: now.since(*at),
            ..*report
        }
    }

    fn is_past_lag(&self, now: TimeUs, at: TimeUs) -> bool {
        at.after(self.lag) <= now
    }
}

#[derive(Debug, Clone, Copy)]
struct NumberedEvent {
    number: u64,
    readable_us: TimeUs,
    event: CacheEvent,
}

/// The published sequence of cache events.
#[derive(Debug, Clone)]
pub(crate) struct EventFeed {
    lag: SpanUs,
    loss: Percent,
    rng: ChaCha12Rng,
    next: u64,
    /// Events still to be dropped in the current run of losses.
    remaining_losses: u64,
    retained: VecDeque<NumberedEvent>,
}

impl EventFeed {
    pub(crate) fn new(lag: SpanUs, loss: Percent, seed: u64) -> Self {
        Self {
            lag,
            loss,
            rng: ChaCha12Rng::seed_from_u64(seed),
            next: 0,
            remaining_losses: 0,
            retained: VecDeque::new(),
        }
    }

    pub(crate) fn empty() -> Self {
        Self::new(SpanUs(0), Percent::default(), 0)
    }

    /// Returns the feed after a crash. Numbering continues with a gap, so that readers notice that
    /// events are missing instead of taking it for a new feed.
    pub(crate) fn restarted(mut self) -> Self {
        self.retained.clear();
        self.next += 1;
        self
    }

    pub(crate) fn push(&mut self, now: TimeUs, events: Vec<CacheEvent>) {
        for event in events {
            let number = self.next;
            self.next += 1;
            if self.draw_loss() {
                continue;
            }
            let readable_us = now.after(self.lag);
            self.retained.push_back(NumberedEvent {
                number,
                readable_us,
                event,
            });
            if self.retained.len() > MAX_EVENTS {
                self.retained.pop_front();
            }
        }
    }

    fn draw_loss(&mut self) -> bool {
        if self.remaining_losses > 0 {
            self.remaining_losses -= 1;
            return true;
        }
        let loss = u8::from(self.loss);
        if loss == 0 || self.rng.random_range(0..100) >= loss {
            return false;
        }
        self.remaining_losses = self.rng.random_range(0..MAX_LOST_RUN);
        true
    }

    /// Returns the readable events from `after` on, up to the next gap.
    pub(crate) fn read(&self, now: TimeUs, after: u64) -> CacheEventsResponse {
        let from = self.retained.partition_point(|kept| kept.number < after);
        let first = self.retained.get(from).map_or(after, |kept| kept.number);
        let events: Vec<CacheEvent> = self
            .retained
            .range(from..)
            .zip(first..)
            .take_while(|(kept, expected)| kept.number == *expected && kept.readable_us <= now)
            .map(|(kept, _)| kept.event)
            .collect();
        // A gap becomes visible only when the event after it is readable.
        let first = if events.is_empty() { after } else { first };
        CacheEventsResponse { first, events }
    }
}
