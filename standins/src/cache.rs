//! The engine's prefix cache: segments keyed by their chain, in limited memory.
//!
//! Segments form trees: a segment's parent is the one before it. Only a leaf that no running
//! sequence uses can be dropped, the least recently used one first.

use std::collections::{BTreeMap, BTreeSet};

use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Segment};
use clementinepick::units::{TimeUs, Tokens};

/// What the memory of idle segments was spent on, in tokens times microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IdleCacheUse {
    /// Idle time that ended in a reuse.
    pub reused_token_us: u128,
    /// Idle time of segments that were dropped without ever being reused.
    pub never_reused_token_us: u128,
    /// Idle time after the last reuse of segments that were reused before.
    pub after_last_reuse_token_us: u128,
    /// Segments that were dropped without ever being reused.
    pub never_reused_segments: u64,
    /// Segments that were reused at least once before they were dropped.
    pub reused_segments: u64,
}

impl IdleCacheUse {
    /// All idle time that no reuse followed.
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
    users: u32,
    reuses: u64,
    /// When its last user left; meaningful while `users` is zero.
    idle_since_us: TimeUs,
    /// Orders segments that went idle at the same time: the deeper one is dropped first.
    touched: u64,
}

impl Entry {
    const fn is_droppable(&self) -> bool {
        self.users == 0 && self.children == 0
    }

    fn idle_token_us(&self, now: TimeUs) -> u128 {
        u128::from(self.length.0) * u128::from(now.since(self.idle_since_us).0)
    }
}

/// The cache of one engine.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    size: Tokens,
    used: Tokens,
    entries: BTreeMap<ChainHash, Entry>,
    /// The droppable segments, least recently used first.
    droppable: BTreeSet<(u64, ChainHash)>,
    next_touch: u64,
    spend: IdleCacheUse,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// An empty cache of `size`.
    #[must_use]
    pub fn new(size: Tokens) -> Self {
        Self {
            size,
            ..Self::default()
        }
    }

    /// The memory in use, with what is reserved.
    #[must_use]
    pub const fn used(&self) -> Tokens {
        self.used
    }

    /// Whether a segment is cached.
    #[must_use]
    pub fn contains(&self, chain: ChainHash) -> bool {
        self.entries.contains_key(&chain)
    }

    /// The count of leading segments that are cached.
    #[must_use]
    pub fn count_cached(&self, segments: &[Segment]) -> usize {
        segments
            .iter()
            .take_while(|segment| self.contains(segment.chain))
            .count()
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// What idle memory was spent on so far; what is idle now is counted as if dropped at `now`.
    #[must_use]
    pub fn idle_use(&self, now: TimeUs) -> IdleCacheUse {
        let mut spend = self.spend;
        for entry in self.entries.values().filter(|entry| entry.users == 0) {
            count_drop(&mut spend, entry, now);
        }
        spend
    }

    /// Marks segments as used by a running sequence, so that they stay.
    pub fn pin(&mut self, now: TimeUs, segments: &[Segment]) {
        for segment in segments {
            let Some(entry) = self.entries.get_mut(&segment.chain) else {
                continue;
            };
            if entry.users == 0 {
                self.spend.reused_token_us += entry.idle_token_us(now);
                self.droppable.remove(&(entry.touched, segment.chain));
            }
            entry.reuses += 1;
            entry.users += 1;
        }
    }

    /// Ends a running sequence's use of segments.
    pub fn unpin(&mut self, now: TimeUs, segments: &[Segment]) {
        for segment in segments.iter().rev() {
            let touched = self.next_touch;
            let Some(entry) = self.entries.get_mut(&segment.chain) else {
                continue;
            };
            entry.users = entry.users.saturating_sub(1);
            if entry.users > 0 {
                continue;
            }
            entry.idle_since_us = now;
            entry.touched = touched;
            self.next_touch += 1;
            if entry.is_droppable() {
                self.droppable.insert((touched, segment.chain));
            }
        }
    }

    /// Reserves memory, dropping idle segments for it; false when it can't be had now.
    pub fn reserve(&mut self, now: TimeUs, wanted: Tokens) -> bool {
        while self.used + wanted > self.size {
            let Some(&(_, chain)) = self.droppable.first() else {
                return false;
            };
            self.drop_segment(now, chain);
        }
        self.used += wanted;
        true
    }

    /// Gives reserved memory back.
    pub fn unreserve(&mut self, tokens: Tokens) {
        self.used = self.used.saturating_sub(tokens);
    }

    /// Stores one segment out of reserved memory, in use by one sequence; false when another
    /// sequence has stored it meanwhile, and the reservation is given back.
    pub fn store(&mut self, parent: Option<ChainHash>, segment: Segment) -> bool {
        if let Some(entry) = self.entries.get_mut(&segment.chain) {
            if entry.users == 0 {
                self.droppable.remove(&(entry.touched, segment.chain));
            }
            entry.users += 1;
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
            users: 1,
            reuses: 0,
            idle_since_us: TimeUs(0),
            touched: 0,
        };
        self.entries.insert(segment.chain, entry);
        self.events.push(CacheEvent::Stored(segment));
        true
    }

    /// Drops what nobody else shares of the named prefixes; returns the tokens freed.
    pub fn release(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        let before = self.used;
        let named: BTreeSet<ChainHash> = chains.iter().copied().collect();
        let mut leaves: Vec<ChainHash> = named.iter().copied().collect();
        while let Some(chain) = leaves.pop() {
            let Some(entry) = self.entries.get(&chain) else {
                continue;
            };
            if !entry.is_droppable() {
                continue;
            }
            // A parent can be dropped only after its child, so it gets another look here.
            leaves.extend(entry.parent.filter(|parent| named.contains(parent)));
            self.drop_segment(now, chain);
        }
        before.saturating_sub(self.used)
    }

    /// Drops what no running sequence uses but the prefixes that end in `chains`; returns the tokens
    /// freed.
    pub fn retain(&mut self, now: TimeUs, chains: &[ChainHash]) -> Tokens {
        let mut kept = BTreeSet::new();
        for chain in chains {
            let mut at = Some(*chain);
            while let Some(chain) = at.filter(|chain| kept.insert(*chain)) {
                at = self.entries.get(&chain).and_then(|entry| entry.parent);
            }
        }
        let others = self.entries.keys().filter(|chain| !kept.contains(chain));
        let others: Vec<ChainHash> = others.copied().collect();
        self.release(now, &others)
    }

    /// Drops everything that no running sequence uses.
    pub fn evict_idle(&mut self, now: TimeUs) {
        while let Some(&(_, chain)) = self.droppable.first() {
            self.drop_segment(now, chain);
        }
    }

    /// The path that ends in `chain`, first to last; empty when it is not cached.
    #[must_use]
    pub fn path(&self, chain: ChainHash) -> Vec<Segment> {
        let mut path = Vec::new();
        let mut at = Some(chain);
        while let Some((chain, entry)) = at.and_then(|c| self.entries.get_key_value(&c)) {
            path.push(Segment {
                chain: *chain,
                length_tokens: entry.length,
            });
            at = entry.parent;
        }
        path.reverse();
        path
    }

    fn drop_segment(&mut self, now: TimeUs, chain: ChainHash) {
        let Some(entry) = self.entries.remove(&chain) else {
            return;
        };
        self.droppable.remove(&(entry.touched, chain));
        self.unreserve(entry.length);
        count_drop(&mut self.spend, &entry, now);
        self.events.push(CacheEvent::Dropped(chain));
        let Some(parent) = entry.parent else { return };
        if let Some(above) = self.entries.get_mut(&parent) {
            above.children = above.children.saturating_sub(1);
            if above.is_droppable() {
                self.droppable.insert((above.touched, parent));
            }
        }
    }
}

fn count_drop(spend: &mut IdleCacheUse, entry: &Entry, now: TimeUs) {
    let idle = entry.idle_token_us(now);
    if entry.reuses == 0 {
        spend.never_reused_token_us += idle;
        spend.never_reused_segments += 1;
    } else {
        spend.after_last_reuse_token_us += idle;
        spend.reused_segments += 1;
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
    fn idle_time_is_counted_by_what_followed_it() {
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
        let spend = cache.idle_use(TimeUs(400));
        assert_eq!(spend.reused_token_us, 10 * 100);
        assert_eq!(spend.after_last_reuse_token_us, 10 * 100);
        assert_eq!(spend.never_reused_token_us, 20 * 300);
        assert_eq!(cache.used(), Tokens(0));
    }
}
