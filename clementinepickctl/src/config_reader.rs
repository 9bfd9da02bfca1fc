//! Reads the configuration stream on, part by part, and replays it.

use clementinepick::config_replay::ConfigReplay;
use clementinepick::ids::Offset;
use clementinepick::platform::ReadResponse;
use clementinepick::record::Record;

/// What was read of the configuration stream so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigReader {
    pub(crate) replay: ConfigReplay,
    /// The next offset to read.
    pub(crate) position: Offset,
}

impl ConfigReader {
    /// Replays a part of the stream; returns the records that were new.
    pub(crate) fn replay_batch(&mut self, answer: &ReadResponse) -> Vec<Record> {
        if answer.earliest > self.position {
            self.replay.on_gap(answer.earliest);
            self.position = answer.earliest;
        }
        let mut fresh = Vec::new();
        for stored in &answer.records {
            if stored.offset < self.position {
                continue;
            }
            self.position = stored.offset.next();
            // Text that is no record of ours has no meaning to anyone.
            if let Ok(record) = serde_json::from_str::<Record>(&stored.text) {
                self.replay.apply(stored.offset, &record);
                fresh.push(record);
            }
        }
        fresh
    }
}
