//! A partition of the store's records, and the pages of its newest ones.

use std::collections::BTreeMap;
use std::ops::Bound;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::{Value, json};

/// The maximum number of bytes of records in one response, unless the first record is larger.
pub(crate) const MAX_READ_BYTES: usize = 1_048_576;

#[derive(Debug, Clone)]
pub(crate) struct StoredRecord {
    pub(crate) key: Vec<u8>,
    pub(crate) value: Bytes,
}

/// The order in which pages have the newest records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PageOrder {
    /// By the bytes of their keys.
    #[default]
    Keys,
    /// By the bytes of their keys, from the last one.
    ReversedKeys,
    /// By their offsets.
    Offsets,
    /// By the bytes of their keys, and each page is the first one.
    Repeated,
}

/// What is wrong with an item of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemDamage {
    /// It has no key.
    NoKey,
    /// Its key is a number.
    NumberAsKey,
    /// It has no value.
    NoValue,
    /// Its value is not in base64.
    NotBase64,
    /// It is no object.
    NoObject,
}

/// How pages are cut and what is wrong with their items.
#[derive(Debug)]
pub(crate) struct PageSettings {
    pub(crate) items: usize,
    pub(crate) order: PageOrder,
    pub(crate) damaged: BTreeMap<Vec<u8>, ItemDamage>,
}

impl Default for PageSettings {
    fn default() -> Self {
        Self {
            items: 500,
            order: PageOrder::default(),
            damaged: BTreeMap::new(),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// The offset of the first record that can still be read.
    pub(crate) first: u64,
    pub(crate) records: Vec<StoredRecord>,
    /// The newest record of each key that has a value, by key.
    pub(crate) newest: BTreeMap<Vec<u8>, (u64, Bytes)>,
}

type Newest<'a> = (&'a Vec<u8>, &'a (u64, Bytes));

impl Partition {
    pub(crate) fn end(&self) -> u64 {
        self.records.len() as u64
    }

    pub(crate) fn append(&mut self, record: StoredRecord) {
        if record.value.is_empty() {
            self.newest.remove(&record.key);
        } else {
            let newest = (self.end(), record.value.clone());
            self.newest.insert(record.key.clone(), newest);
        }
        self.records.push(record);
    }

    /// Returns the newest records that follow the key `after` in the order of pages.
    fn newest_after(&self, order: PageOrder, after: Option<&[u8]>) -> Vec<Newest<'_>> {
        let after = after.filter(|_| order != PageOrder::Repeated);
        let bound = after.map_or(Bound::Unbounded, Bound::Excluded);
        match order {
            PageOrder::Keys | PageOrder::Repeated => {
                let following = self.newest.range::<[u8], _>((bound, Bound::Unbounded));
                following.collect()
            }
            PageOrder::ReversedKeys => {
                let following = self.newest.range::<[u8], _>((Bound::Unbounded, bound));
                following.rev().collect()
            }
            PageOrder::Offsets => {
                let mut newest: Vec<_> = self.newest.iter().collect();
                newest.sort_by_key(|(_, (offset, _))| *offset);
                let is_before = |(key, _): &Newest<'_>| after.is_some_and(|after| *key != after);
                let skipped = newest.iter().take_while(|item| is_before(item)).count();
                newest.drain(..(skipped + usize::from(after.is_some())).min(newest.len()));
                newest
            }
        }
    }

    /// Returns the page of newest records after the key `after`.
    pub(crate) fn page(&self, settings: &PageSettings, after: Option<&[u8]>) -> Value {
        let following = self.newest_after(settings.order, after);
        let mut page_bytes = 0;
        let is_in_page = |(_, (_, value)): &&Newest<'_>| {
            let is_first = page_bytes == 0;
            page_bytes += value.len() + 1;
            is_first || page_bytes <= MAX_READ_BYTES
        };
        let records = following.iter().take(settings.items);
        let records = records.take_while(is_in_page);
        let items = records.map(|(key, (offset, value))| {
            let damage = settings.damaged.get(*key).copied();
            item(key, *offset, value, damage)
        });
        let items: Vec<_> = items.collect();
        let has_more = items.len() < following.len();
        json!({ "items": items, "MorePages": has_more, "End": self.end() })
    }

    /// Writes the records from an offset on, as far as they fit into one response.
    pub(crate) fn write_from(&self, from: u64, body: &mut BytesMut) {
        let start = body.len();
        let skipped = usize::try_from(from).unwrap_or(usize::MAX);
        for record in self.records.iter().skip(skipped) {
            if body.len() + record.value.len() > MAX_READ_BYTES && body.len() > start {
                break;
            }
            let length = 1 + record.key.len() + record.value.len();
            body.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
            body.put_u8(u8::try_from(record.key.len()).unwrap_or(u8::MAX));
            body.put_slice(&record.key);
            body.put_slice(&record.value);
        }
    }
}

fn item(key: &[u8], offset: u64, value: &Bytes, damage: Option<ItemDamage>) -> Value {
    let key = String::from_utf8_lossy(key);
    let value = STANDARD.encode(value);
    match damage {
        None => json!({ "Key": key, "Value": value, "Offset": offset }),
        Some(ItemDamage::NoKey) => json!({ "Value": value, "Offset": offset }),
        Some(ItemDamage::NumberAsKey) => json!({ "Key": 7, "Value": value, "Offset": offset }),
        Some(ItemDamage::NoValue) => json!({ "Key": key, "Offset": offset }),
        Some(ItemDamage::NotBase64) => json!({ "Key": key, "Value": "<*>", "Offset": offset }),
        Some(ItemDamage::NoObject) => json!(key),
    }
}
