//! A map with a limited number of entries, each of which expires.
//!
//! ```
//! use clementinepick::expiring_map::ExpiringMap;
//! use clementinepick::units::TimeUs;
//!
//! let mut map = ExpiringMap::new(2);
//! map.insert(TimeUs(0), "a", 1, TimeUs(10));
//! assert_eq!(map.get(TimeUs(9), &"a"), Some((&1, TimeUs(10))));
//! assert_eq!(map.get(TimeUs(10), &"a"), None);
//! ```

use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet};

use crate::units::TimeUs;

/// A map whose entries expire; above its capacity, those that expire first are removed.
#[derive(Debug)]
pub struct ExpiringMap<K, V> {
    capacity: usize,
    entries: BTreeMap<K, (V, TimeUs)>,
    by_expiry: BTreeSet<(TimeUs, K)>,
}

impl<K: Clone + Ord, V> ExpiringMap<K, V> {
    /// Creates an empty map for `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Inserts or replaces an entry that expires at `expires_at`, and removes all that have expired.
    pub fn insert(&mut self, now: TimeUs, key: K, value: V, expires_at: TimeUs) {
        self.expire(now);
        if let Some((_, expiry)) = self.entries.insert(key.clone(), (value, expires_at)) {
            self.by_expiry.remove(&(expiry, key.clone()));
        }
        self.by_expiry.insert((expires_at, key));
        if self.entries.len() > self.capacity {
            self.remove_first();
        }
    }

    /// Returns an entry and when it expires, unless it has.
    #[must_use]
    pub fn get<Q>(&self, now: TimeUs, key: &Q) -> Option<(&V, TimeUs)>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let (value, expires_at) = self.entries.get(key)?;
        (now < *expires_at).then_some((value, *expires_at))
    }

    /// Returns an entry to change, unless it has expired.
    pub fn get_mut(&mut self, now: TimeUs, key: &K) -> Option<&mut V> {
        let (value, expires_at) = self.entries.get_mut(key)?;
        (now < *expires_at).then_some(value)
    }

    /// Returns the entries that have not expired.
    pub fn iter(&self, now: TimeUs) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.entries.iter();
        let current = entries.filter(move |(_, (_, expires_at))| now < *expires_at);
        current.map(|(key, (value, _))| (key, value))
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let (value, expires_at) = self.entries.remove(key)?;
        self.by_expiry.remove(&(expires_at, key.clone()));
        Some(value)
    }

    /// Changes each entry and removes those for which `change` returns false.
    pub fn retain(&mut self, mut change: impl FnMut(&K, &mut V) -> bool) {
        let by_expiry = &mut self.by_expiry;
        self.entries.retain(|key, (value, expires_at)| {
            let is_kept = change(key, value);
            if !is_kept {
                by_expiry.remove(&(*expires_at, key.clone()));
            }
            is_kept
        });
    }

    /// Removes all entries that have expired.
    pub fn expire(&mut self, now: TimeUs) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.entries.remove(&key);
        }
    }
}
