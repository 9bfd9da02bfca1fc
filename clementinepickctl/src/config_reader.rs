//! Replays the configuration stream batch by batch.

use clementinepick::config_replay::ConfigReplay;
use clementinepick::ids::Offset;
use clementinepick::platform::ReadResponse;
use clementinepick::record::Record;

/// The replayed configuration and the position in its stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigReader {
    pub(crate) replay: ConfigReplay,
    /// The next offset to read.
    pub(crate) position: Offset,
}

impl ConfigReader {
    /// Replays a batch of the stream; returns its records that were not read before.
    pub(crate) fn replay_batch(&mut self, batch: &ReadResponse) -> Vec<Record> {
        if batch.earliest > self.position {
            self.replay.on_gap(batch.earliest);
            self.position = batch.earliest;
        }
        let mut new_records = Vec::new();
        for stored in &batch.records {
            if stored.offset < self.position {
                continue;
            }
            self.position = stored.offset.next();
            // Every process ignores texts that are not records.
            if let Ok(record) = serde_json::from_str::<Record>(&stored.text) {
                self.replay.apply(stored.offset, &record);
                new_records.push(record);
            }
        }
        new_records
    }
}
