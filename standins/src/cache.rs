//! Implements the engine's prefix cache: segments keyed by their chain hash, in limited memory.
//!
//! Segments form trees: a segment's parent is the one before it in the prompt. Only unpinned leaves
//! are evicted, least recently used first.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{TimeUs, Tokens};

/// The memory occupied by unpinned segments over time, in token-microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleCacheUse {
    /// Idle time that ended with a reuse.
    pub reused_token_us: u128,
    /// Idle time of segments evicted without any reuse.
    pub never_reused_token_us: u128,
    /// Idle time between the last reuse of a segment and its eviction.
    pub after_last_reuse_token_us: u128,
    /// The number of segments evicted without any reuse.
    pub never_reused_segments: u64,
    /// The number of segments reused at least once before their eviction.
    pub reused_segments: u64,
}

impl IdleCacheUse {
    /// Returns the idle time that was not followed by a reuse.
    #[must_use]
    pub const fn wasted_token_us(&self) -> u128 {
        self.never_reused_token_us + self.after_last_reuse_token_us
    }
}

#[derive(Debug, Clone)]
struct Entry {
    length: Tokens,
    parent: Option<ChainHash>,
    children: u32,
    pin_count: u32,
    reuses: u64,
    /// When the last pin was released; valid only while `pin_count` is zero.
    idle_since_us: TimeUs,
    /// The position in the eviction order; of segments that became idle together, the deeper one
    /// has the lower number and is evicted first.
    idle_seq: u64,
}

impl Entry {
    const fn is_evictable(&self) -> bool {
        self.pin_count == 0 && self.children == 0
    }

    fn idle_token_us(&self, now: TimeUs) -> u128 {
        u128::from(self.length.0) * u128::from(now.since(self.idle_since_us).0)
    }
}

/// The prefix cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    capacity: Tokens,
    used: Tokens,
    entries: BTreeMap<ChainHash, Entry>,
    /// The evictable segments, least recently used first.
    evictable: BTreeSet<(u64, ChainHash)>,
    next_idle_seq: u64,
    idle_use: IdleCacheUse,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns an empty cache.
    #[must_use]
    pub fn new(capacity: Tokens) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the memory in use, including reservations.
    #[must_use]
    pub const fn used(&self) -> Tokens {
        self.used
    }

    /// Returns whether a segment is cached.
    #[must_use]
    pub fn contains(&self, chain: ChainHash) -> bool {
        self.entries.contains_key(&chain)
    }

    /// Returns the number of leading segments that are cached.
    #[must_use]
    pub fn count_cached(&self, segments: &[Segment]) -> usize {
        segments
            .iter()
            .take_while(|segment| self.contains(segment.chain))
            .count()
    }

    /// Returns the cache events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the idle memory use so far, counting idle segments as if evicted at `now`.
    #[must_use]
    pub fn idle_use(&self, now: TimeUs) -> IdleCacheUse {
        let mut idle_use = self.idle_use;
        for entry in self.entries.values().filter(|entry| entry.pin_count == 0) {
            record_eviction(&mut idle_use, entry, now);
        }
        idle_use
    }

    /// Pins segments for a running sequence, which prevents their eviction.
    pub fn pin(&mut self, now: TimeUs, segments: &[Segment]) {
        for segment in segments {
            let Some(entry) = self.entries.get_mut(&segment.chain) else {
                continue;
            };
            if entry.pin_count == 0 {
                self.idle_use.reused_token_us += entry.idle_token_us(now);
                self.evictable.remove(&(entry.idle_seq, segment.chain));
            }
            entry.reuses += 1;
            entry.pin_count += 1;
        }
    }

    /// Releases a running sequence's pins; unpinned segments become idle at `now`.
    pub fn unpin(&mut self, now: TimeUs, segments: &[Segment]) {
        for segment in segments.iter().rev() {
            let idle_seq = self.next_idle_seq;
            let Some(entry) = self.entries.get_mut(&segment.chain) else {
                continue;
            };
            entry.pin_count = entry.pin_count.saturating_sub(1);
            if entry.pin_count > 0 {
                continue;
            }
            entry.idle_since_us = now;
            entry.idle_seq = idle_seq;
            self.next_idle_seq += 1;
            if entry.is_evictable() {
                self.evictable.insert((idle_seq, segment.chain));
            }
        }
    }

    /// Reserves memory, evicting idle segments as needed; returns false if pinned segments and
    /// reservations leave too little.
    pub fn reserve(&mut self, now: TimeUs, amount: Tokens) -> bool {
        while self.used + amount > self.capacity {
            let Some(&(_, chain)) = self.evictable.first() else {
                return false;
            };
            self.evict(now, chain);
        }
        self.used += amount;
        true
    }

    /// Releases reserved memory.
    pub fn unreserve(&mut self, tokens: Tokens) {
        self.used = self.used.saturating_sub(tokens);
    }

    /// Stores a segment in reserved memory and pins it.
    ///
    /// Returns false if another sequence has stored it already; the segment is pinned and the
    /// reservation released.
    pub fn store(&mut self, parent: Option<ChainHash>, segment: Segment) -> bool {
        if let Some(entry) = self.entries.get_mut(&segment.chain) {
            if entry.pin_count == 0 {
                self.evictable.remove(&(entry.idle_seq, segment.chain));
            }
            entry.pin_count += 1;
            self.unreserve(segment.length_tokens);
            return false;
        }
        if let Some(parent) = parent.and_then(|chain| self.entries.get_mut(&chain)) {
            parent.children += 1;
        }
        let entry = Entry {
            length: segment.length_tokens,
            parent,
            children: 0,
            pin_count: 1,
            reuses: 0,
            idle_since_us: TimeUs(0),
            idle_seq: 0,
        };
        self.entries.insert(segment.chain, entry);
        self.events.push(CacheEvent::Stored(segment));
        true
    }

    /// Evicts the given segments except those that are pinned or have other children; returns the
    /// tokens freed.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        let before = self.used;
        let requested: BTreeSet<ChainHash> = chains.iter().copied().collect();
        let mut candidates: Vec<ChainHash> = requested.iter().copied().collect();
        while let Some(chain) = candidates.pop() {
            let Some(entry) = self.entries.get(&chain) else {
                continue;
            };
            if !entry.is_evictable() {
                continue;
            }
            // A parent becomes evictable only after its children, so it is checked again here.
            candidates.extend(entry.parent.filter(|parent| requested.contains(parent)));
            self.evict(now, chain);
        }
        before.saturating_sub(self.used)
    }

    /// Evicts all unpinned segments except the prefixes that end in `chains`; returns the tokens
    /// freed.
    pub fn retain(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        let mut kept = BTreeSet::new();
        for chain in chains {
            let mut next = Some(*chain);
            while let Some(chain) = next.filter(|chain| kept.insert(*chain)) {
                next = self.entries.get(&chain).and_then(|entry| entry.parent);
            }
        }
        let others = self.entries.keys().filter(|chain| !kept.contains(chain));
        let others: Vec<ChainHash> = others.copied().collect();
        self.release(now, &others)
    }

    /// Evicts all unpinned segments.
    pub fn evict_idle(&mut self, now: TimeUs) {
        while let Some(&(_, chain)) = self.evictable.first() {
            self.evict(now, chain);
        }
    }

    /// Returns the cached segments from the root to `chain`; empty if `chain` is not cached.
    #[must_use]
    pub fn path(&self, chain: ChainHash) -> Vec<Segment> {
        let mut path = Vec::new();
        let mut next = Some(chain);
        while let Some((chain, entry)) = next.and_then(|c| self.entries.get_key_value(&c)) {
            path.push(Segment {
                chain: *chain,
                length_tokens: entry.length,
            });
            next = entry.parent;
        }
        path.reverse();
        path
    }

    fn evict(&mut self, now: TimeUs, chain: ChainHash) {
        let Some(entry) = self.entries.remove(&chain) else {
            return;
        };
        self.evictable.remove(&(entry.idle_seq, chain));
        self.unreserve(entry.length);
        record_eviction(&mut self.idle_use, &entry, now);
        self.events.push(CacheEvent::Dropped(chain));
        let Some(parent) = entry.parent else { return };
        if let Some(parent_entry) = self.entries.get_mut(&parent) {
            parent_entry.children = parent_entry.children.saturating_sub(1);
            if parent_entry.is_evictable() {
                self.evictable.insert((parent_entry.idle_seq, parent));
            }
        }
    }
}

fn record_eviction(idle_use: &mut IdleCacheUse, entry: &Entry, now: TimeUs) {
    let idle = entry.idle_token_us(now);
    if entry.reuses == 0 {
        idle_use.never_reused_token_us += idle;
        idle_use.never_reused_segments += 1;
    } else {
        idle_use.after_last_reuse_token_us += idle;
        idle_use.reused_segments += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn segment(chain: u64, length: u64) -> Segment {
        Segment {
            chain: ChainHash(chain),
            length_tokens: Tokens(length),
        }
    }

    #[test]
    fn idle_time_is_classified_by_subsequent_reuse() {
        let mut cache = PrefixCache::new(Tokens(100));
        let (first, second) = (segment(1, 10), segment(2, 20));
        assert!(cache.reserve(TimeUs(0), Tokens(30)));
        cache.store(None, first);
        cache.store(Some(first.chain), second);
        cache.unpin(TimeUs(100), &[first, second]);
        cache.pin(TimeUs(200), &[first]);
        cache.unpin(TimeUs(300), &[first]);
        assert_eq!(
            cache.release(TimeUs(400), &[first.chain, second.chain]),
            Tokens(30)
        );
        let idle_use = cache.idle_use(TimeUs(400));
        assert_eq!(idle_use.reused_token_us, 10 * 100);
        assert_eq!(idle_use.after_last_reuse_token_us, 10 * 100);
        assert_eq!(idle_use.never_reused_token_us, 20 * 300);
        assert_eq!(cache.used(), Tokens(0));
    }
}
