//! The configuration as the log tells it, read by the command line itself.

use clementinepick::config_replay::{ConfigReplay, Publication};
use clementinepick::ids::{Offset, OperationId, ServiceName};
use clementinepick::platform::ReadResponse;
use clementinepick::record::RecordBody;
use serde_json::{Value, json};

use crate::config_reader::ConfigReader;
use crate::exit::{ExitCode, Report};
use crate::publish::describe_verdict;

/// What was read of the configuration stream.
#[derive(Debug, Default)]
pub struct History {
    reader: ConfigReader,
    texts: Vec<(OperationId, String)>,
}

impl History {
    /// The next offset to read.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.reader.position
    }

    /// The configuration.
    #[must_use]
    pub const fn replay(&self) -> &ConfigReplay {
        &self.reader.replay
    }

    /// Takes a part of the stream; says whether there is more.
    pub fn replay_batch(&mut self, answer: &ReadResponse) -> bool {
        for record in self.reader.replay_batch(answer) {
            self.keep_text(record.body);
        }
        self.reader.position < answer.end && !answer.records.is_empty()
    }

    fn keep_text(&mut self, body: RecordBody) {
        if let RecordBody::Publish {
            operation,
            document,
            ..
        } = body
        {
            self.texts.push((operation, document));
        }
    }

    /// The text that a run of `publish` brought, while the log keeps it.
    #[must_use]
    pub fn document_text(&self, operation: OperationId) -> Option<&str> {
        let known = self.texts.iter().find(|(id, _)| *id == operation);
        let in_force = self.reader.replay.state().documents.values();
        known.map(|(_, text)| text.as_str()).or_else(|| {
            in_force
                .filter(|document| document.operation == operation)
                .map(|document| document.text.as_str())
                .next()
        })
    }

    /// The publications of one service or of all.
    #[must_use]
    pub fn report(&self, service: Option<&ServiceName>) -> Report {
        let all = self.reader.replay.state().publications.iter();
        let wanted: Vec<&Publication> = all
            .filter(|p| service.is_none_or(|service| p.service == *service))
            .collect();
        let lines: Vec<String> = wanted.iter().map(|p| line(p)).collect();
        let exit = if wanted.is_empty() {
            ExitCode::NotFound
        } else {
            ExitCode::Success
        };
        let text = match exit {
            ExitCode::NotFound => "no publication is known".to_owned(),
            _ => lines.join("\n"),
        };
        Report {
            text,
            json: json!({ "publications": wanted }),
            exit,
        }
    }

    /// The documents in force, as JSON.
    #[must_use]
    pub fn documents(&self) -> Value {
        json!(self.reader.replay.state().documents)
    }
}

fn line(publication: &Publication) -> String {
    format!(
        "{:>8}  {}  {}  by {}  {}",
        publication.offset,
        publication.service,
        publication.operation,
        publication.author,
        describe_verdict(&publication.verdict)
    )
}
