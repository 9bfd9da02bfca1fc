//! What an engine tells and lets others do about its memory: release, export, import, reports.

use clementinepick::platform::{CacheEventsResponse, CacheImage, LoadReport};
use clementinepick::prompt::ChainHash;
use clementinepick::units::{Bytes, SpanUs, TimeUs, Tokens};

use crate::cache::IdleCacheUse;
use crate::engine::{Engine, EngineError};
use crate::sequence::total_length;

impl Engine {
    /// Frees cached prefixes; what others share or a running sequence uses stays.
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

    /// Frees all cached prefixes but those that end in `chains`; what runs stays.
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

    /// The cached state of a prefix; it stays cached here too.
    #[must_use]
    pub fn export(&self, chain: ChainHash) -> CacheImage {
        let segments = self.cache.path(chain);
        let tokens: Tokens = segments.iter().map(|segment| segment.length_tokens).sum();
        CacheImage {
            size_bytes: Bytes(tokens.0 * self.settings.cache_bytes_per_token.0),
            segments,
        }
    }

    /// Takes a prefix that another engine exported.
    ///
    /// # Errors
    ///
    /// [`EngineError::Down`] and [`EngineError::NoRoom`].
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
            Err(EngineError::NoRoom)
        }
    }

    /// The cache events from number `after` on that can be read by now.
    #[must_use]
    pub fn cache_events(&self, now: TimeUs, after: u64) -> CacheEventsResponse {
        self.feed.read(now, after)
    }

    /// The engine's word of its load, as old as its settings say.
    pub fn load(&mut self, now: TimeUs) -> LoadReport {
        let report = self.load_now();
        self.loads.note(now, report);
        self.loads.report(now)
    }

    /// The load without lag, for checks.
    #[must_use]
    pub fn load_now(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cache_used_tokens: self.cache.used(),
            cache_size_tokens: self.settings.cache_size_tokens,
            max_running: self.settings.max_running,
            age_us: SpanUs(0),
        }
    }

    /// What idle cache memory was spent on, up to `now`.
    #[must_use]
    pub fn cache_spend(&self, now: TimeUs) -> IdleCacheUse {
        self.cache.idle_use(now)
    }
}
