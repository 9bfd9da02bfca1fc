//! Manages the cache memory of a simulated engine: release, export, import, events and load.

use clementinepick::platform::{CacheEventsResponse, CacheImage, LoadReport};
use clementinepick::prompt::ChainHash;
use clementinepick::units::{Bytes, SpanUs, TimeUs, Tokens};

use crate::cache::IdleCacheUse;
use crate::engine::{Engine, EngineError};
use crate::sequence::total_length;

impl Engine {
    /// Frees cached prefixes, except segments shared with other prefixes or used by a running
    /// sequence.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        if !self.is_up() {
            return Tokens(0);
        }
        self.run_until(now);
        let freed = self.cache.release(now, chains);
        self.admit(now);
        self.after_change(now);
        freed
    }

    /// Frees all cached prefixes except those that end in `chains` and those of running sequences.
    pub fn retain(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        if !self.is_up() {
            return Tokens(0);
        }
        self.run_until(now);
        let freed = self.cache.retain(now, chains);
        self.admit(now);
        self.after_change(now);
        freed
    }

    /// Returns the cached state of a prefix, which also stays in this cache.
    #[must_use]
    pub fn export(&self, chain: ChainHash) -> CacheImage {
        let segments = self.cache.path(chain);
        let tokens: Tokens = segments.iter().map(|segment| segment.length_tokens).sum();
        CacheImage {
            size_bytes: Bytes(tokens.0 * self.settings.cache_bytes_per_token.0),
            segments,
        }
    }

    /// Stores a prefix that another engine exported.
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] or [`EngineError::CacheFull`].
    pub fn import(&mut self, now: TimeUs, image: &CacheImage) -> Result<(), EngineError> {
        if !self.is_up() {
            return Err(EngineError::Down);
        }
        self.run_until(now);
        let matched = self.cache.count_cached(&image.segments);
        self.cache.pin(now, &image.segments[..matched]);
        let missing = total_length(&image.segments[matched..]);
        let fits = self.cache.reserve(now, missing);
        if fits {
            self.store(&image.segments, matched);
            self.cache.unpin(now, &image.segments);
        } else {
            self.cache.unpin(now, &image.segments[..matched]);
        }
        self.after_change(now);
        if fits {
            Ok(())
        } else {
            Err(EngineError::CacheFull)
        }
    }

    /// Returns the cache events from number `after` on that are readable at `now`.
    #[must_use]
    pub fn cache_events(&self, now: TimeUs, after: u64) -> CacheEventsResponse {
        self.feed.read(now, after)
    }

    /// Returns a load report that is as old as the configured lag.
    pub fn load(&mut self, now: TimeUs) -> LoadReport {
        let report = self.current_load();
        self.loads.record_sample(now, report);
        self.loads.report(now)
    }

    /// Returns the load without lag, for checks in tests.
    #[must_use]
    pub fn current_load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cache_used_tokens: self.cache.used(),
            cache_size_tokens: self.settings.cache_size_tokens,
            max_running: self.settings.max_running,
            age_us: SpanUs(0),
        }
    }

    /// Returns how idle cache memory was used up to `now`.
    #[must_use]
    pub fn cache_spend(&self, now: TimeUs) -> IdleCacheUse {
        self.cache.idle_use(now)
    }
}
