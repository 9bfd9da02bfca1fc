//! Replays the configuration stream for the `history` and `diff` commands.

use clementinepick::config_replay::{ConfigReplay, Publication};
use clementinepick::ids::{Offset, OperationId, ServiceName};
use clementinepick::platform::ReadResponse;
use clementinepick::record::RecordBody;
use serde_json::{Value, json};

use crate::config_reader::ConfigReader;
use crate::exit::{ExitCode, Report};
use crate::publish::describe_verdict;

/// The part of the configuration stream that has been read.
#[derive(Debug, Default)]
pub struct History {
    reader: ConfigReader,
    published_documents: Vec<(OperationId, String)>,
}

impl History {
    /// Returns the next offset to read.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.reader.position
    }

    /// Returns the replayed configuration.
    #[must_use]
    pub const fn replay(&self) -> &ConfigReplay {
        &self.reader.replay
    }

    /// Replays a batch of the stream; returns whether there is more to read.
    pub fn replay_batch(&mut self, batch: &ReadResponse) -> bool {
        for record in self.reader.replay_batch(batch) {
            self.store_document(record.body);
        }
        self.reader.position < batch.end && !batch.records.is_empty()
    }

    fn store_document(&mut self, body: RecordBody) {
        if let RecordBody::Publish {
            operation,
            document,
            ..
        } = body
        {
            self.published_documents.push((operation, document));
        }
    }

    /// Returns the document published by `operation`, if the log still holds it.
    #[must_use]
    pub fn document_text(&self, operation: OperationId) -> Option<&str> {
        let published = self
            .published_documents
            .iter()
            .find(|(id, _)| *id == operation);
        let active = self.reader.replay.state().documents.values();
        published.map(|(_, text)| text.as_str()).or_else(|| {
            active
                .filter(|document| document.operation == operation)
                .map(|document| document.text.as_str())
                .next()
        })
    }

    /// Lists the publications of one service, or of all services.
    #[must_use]
    pub fn report(&self, service: Option<&ServiceName>) -> Report {
        let all = self.reader.replay.state().publications.iter();
        let selected: Vec<&Publication> = all
            .filter(|p| service.is_none_or(|service| p.service == *service))
            .collect();
        let lines: Vec<String> = selected.iter().map(|p| format_publication(p)).collect();
        let exit = if selected.is_empty() {
            ExitCode::NotFound
        } else {
            ExitCode::Success
        };
        let text = match exit {
            ExitCode::NotFound => "no publications found".to_owned(),
            _ => lines.join("\n"),
        };
        Report {
            text,
            json: json!({ "publications": selected }),
            exit,
        }
    }

    /// Returns the active documents as JSON.
    #[must_use]
    pub fn documents(&self) -> Value {
        json!(self.reader.replay.state().documents)
    }
}

fn format_publication(publication: &Publication) -> String {
    format!(
        "{:>8}  {}  {}  by {}  {}",
        publication.offset,
        publication.service,
        publication.operation,
        publication.author,
        describe_verdict(&publication.verdict)
    )
}
