//! Observes whether the store's pages are sorted by key, so that a missing record is known without reading all pages.

use platform::store::NewestPage;

/// The number of keys that must have followed a smaller one; pages in another order have a descending pair by then.
const MIN_ASCENDING_KEYS: u32 = 16;

/// What pages have shown of their order.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KeyOrder {
    ascending_keys: u32,
    has_descended: bool,
}

impl KeyOrder {
    /// Observes a page that was asked for after a key.
    pub(crate) fn observe(&mut self, after: Option<&str>, page: &NewestPage) {
        let mut previous = after;
        for record in &page.records {
            match previous {
                Some(previous) if previous >= record.key.as_str() => self.has_descended = true,
                Some(_) => self.ascending_keys = self.ascending_keys.saturating_add(1),
                None => {}
            }
            previous = Some(&record.key);
        }
    }

    /// Returns whether enough keys were in ascending order, and none in descending order.
    pub(crate) fn is_by_key(self) -> bool {
        !self.has_descended && self.ascending_keys >= MIN_ASCENDING_KEYS
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use platform::store::KeyedRecord;

    use super::*;

    fn page(keys: &[&str]) -> NewestPage {
        let records = keys.iter().map(|key| KeyedRecord {
            key: (*key).to_owned(),
            value: Some(Bytes::from_static(b"1")),
        });
        NewestPage {
            records: records.collect(),
            unreadable: Vec::new(),
            last_key: None,
            has_more: false,
            end: 0,
        }
    }

    #[test]
    fn an_order_is_shown_by_many_keys() {
        let mut order = KeyOrder::default();
        for _ in 0..MIN_ASCENDING_KEYS / 2 {
            assert!(!order.is_by_key());
            order.observe(Some("a"), &page(&["b", "c"]));
        }
        assert!(order.is_by_key());
    }

    /// Guards against a turn that counts as unknown since it is in another place than that of its key.
    #[test]
    fn a_key_that_is_not_greater_shows_another_order() {
        for (after, keys) in [
            (None, ["b", "a"]),
            (Some("b"), ["a", "c"]),
            (None, ["a", "a"]),
        ] {
            let mut order = KeyOrder::default();
            for _ in 0..MIN_ASCENDING_KEYS {
                order.observe(None, &page(&["a", "b", "c"]));
            }
            assert!(order.is_by_key());
            order.observe(after, &page(&keys));
            assert!(!order.is_by_key());
        }
    }
}
