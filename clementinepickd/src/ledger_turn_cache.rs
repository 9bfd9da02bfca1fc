//! Caches values by id, up to a number of bytes.

use std::collections::BTreeMap;

/// A cache that evicts the least recently used values first.
pub(crate) struct LruCache<V> {
    entries: BTreeMap<String, Entry<V>>,
    by_use: BTreeMap<u64, String>,
    bytes: usize,
    uses: u64,
}

struct Entry<V> {
    value: V,
    bytes: usize,
    /// The number of the last use.
    used: u64,
}

impl<V> Default for LruCache<V> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_use: BTreeMap::new(),
            bytes: 0,
            uses: 0,
        }
    }
}

impl<V: Clone> LruCache<V> {
    /// Returns a value and marks it as used.
    pub(crate) fn get(&mut self, id: &str) -> Option<V> {
        let entry = self.entries.get_mut(id)?;
        self.by_use.remove(&entry.used);
        self.uses += 1;
        entry.used = self.uses;
        self.by_use.insert(self.uses, id.to_owned());
        Some(entry.value.clone())
    }

    /// Inserts a value of some size and evicts others beyond the limit.
    pub(crate) fn insert(&mut self, id: &str, value: V, bytes: usize, limit_bytes: usize) {
        self.remove(id);
        self.uses += 1;
        self.bytes += bytes;
        self.by_use.insert(self.uses, id.to_owned());
        let used = self.uses;
        let entry = Entry { value, bytes, used };
        self.entries.insert(id.to_owned(), entry);
        while self.bytes > limit_bytes && self.entries.len() > 1 {
            self.evict_oldest();
        }
    }

    /// Evicts the least recently used value; returns false if there is none.
    pub(crate) fn evict_oldest(&mut self) -> bool {
        let oldest = self.by_use.first_key_value();
        let Some(oldest) = oldest.map(|(_, id)| id.clone()) else {
            return false;
        };
        self.remove(&oldest);
        true
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.by_use.remove(&entry.used);
            self.bytes -= entry.bytes;
        }
    }

    /// Returns the number of values.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
