//! Implements the state machine of `publish`: read the log, append the record, read it back.
//!
//! The record's id is derived from the operation's id, so readers count a record that was appended
//! twice as one publication. That makes it safe to append again after a lost response.

use clementinepick::config_replay::{Publication, Verdict};
use clementinepick::document::Document;
use clementinepick::ids::{
    Incarnation, Offset, OperationId, RecordId, Revision, ServiceName, VmId,
};
use clementinepick::journal::AppendOutcome;
use clementinepick::platform::ReadResponse;
use clementinepick::record::{Record, RecordBody};
use clementinepick::units::SpanUs;

use crate::config_reader::ConfigReader;

/// Keeps ids derived from operations apart from the ids of other records.
const RECORD_ID_MASK: u128 = 0x636c_656d_2d70_7562_6c69_7368_2d69_6431;

/// The document to publish and the limits on retries.
#[derive(Debug, Clone)]
pub struct PublishSettings {
    /// Identifies the publication across runs.
    pub operation: OperationId,
    /// The author recorded with the publication.
    pub author: VmId,
    /// The revision that the document is based on; defaults to the active one.
    pub base: Option<Revision>,
    /// Whether an earlier run may have appended the operation.
    pub is_resume: bool,
    /// The document; `None` only queries the outcome of the operation.
    pub text: Option<String>,
    /// The number of failed requests to the log after which the run ends.
    pub max_failures: u32,
    /// The delay after the first failure; it doubles with each further one, up to 16 times.
    pub backoff_us: SpanUs,
}

/// The next action of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Read from the log and report the result to [`Publish::on_read`].
    Read {
        /// The first offset to read.
        from: Offset,
        /// The delay before the request.
        after_us: SpanUs,
    },
    /// Append to the log and report the result to [`Publish::on_append`].
    Append {
        /// The record to append.
        record: Box<Record>,
        /// The delay before the request.
        after_us: SpanUs,
    },
    /// Stop; there is nothing left to do.
    Finished(PublishOutcome),
}

/// The outcome of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The log holds the publication, which carries its verdict.
    Recorded(Publication),
    /// The active document has the same text; nothing was appended.
    Unchanged {
        /// The service.
        service: ServiceName,
        /// The active revision.
        revision: Revision,
    },
    /// The document is invalid; nothing was appended.
    Invalid {
        /// The error.
        detail: String,
    },
    /// The log can't be read; nothing was appended.
    LogUnreachable,
    /// The log refused the append; nothing was appended.
    Refused,
    /// The log does not hold the operation up to the offset `end`.
    NotFound {
        /// The end of the log when it was read.
        end: Offset,
    },
    /// An append may have taken effect, but the log did not confirm it.
    Unknown {
        /// The base revision to pass when resuming.
        base: Revision,
    },
    /// The log has discarded records that no snapshot covers.
    Incomplete,
}

/// One run of `publish`.
#[derive(Debug)]
pub struct Publish {
    settings: PublishSettings,
    service: Option<ServiceName>,
    reader: ConfigReader,
    base: Option<Revision>,
    may_be_appended: bool,
    /// The offset of the last confirmed append, which reads must pass.
    appended_offset: Option<Offset>,
    failures: u32,
}

impl Publish {
    /// Creates a run; [`Publish::start`] returns its first step.
    #[must_use]
    pub fn new(settings: PublishSettings) -> Self {
        Self {
            may_be_appended: settings.is_resume,
            base: settings.base,
            settings,
            service: None,
            reader: ConfigReader::default(),
            appended_offset: None,
            failures: 0,
        }
    }

    /// Validates the document and returns the first step.
    pub fn start(&mut self) -> Step {
        if let Some(text) = &self.settings.text {
            match Document::parse(text) {
                Ok(document) => self.service = Some(document.service),
                Err(err) => {
                    let detail = err.to_string();
                    return Step::Finished(PublishOutcome::Invalid { detail });
                }
            }
        }
        self.read_after(SpanUs(0))
    }

    const fn read_after(&self, after_us: SpanUs) -> Step {
        Step::Read {
            from: self.reader.position,
            after_us,
        }
    }

    /// Handles the result of a read; `None` if it failed.
    pub fn on_read(&mut self, response: Option<&ReadResponse>) -> Step {
        let Some(response) = response else {
            return match self.record_failure() {
                Some(delay_us) => self.read_after(delay_us),
                None => Step::Finished(self.failure_outcome()),
            };
        };
        self.reader.replay_batch(response);
        if let Some(recorded) = self
            .reader
            .replay
            .state()
            .publication(self.settings.operation)
        {
            return Step::Finished(PublishOutcome::Recorded(recorded.clone()));
        }
        if self.reader.position < response.end {
            return self.read_after(SpanUs(0));
        }
        if !self.reader.replay.is_complete() {
            return Step::Finished(PublishOutcome::Incomplete);
        }
        if self
            .appended_offset
            .is_some_and(|offset| self.reader.position <= offset)
        {
            // The append was confirmed, but the read was served by a lagging replica: read again
            // rather than append again.
            return match self.record_failure() {
                Some(delay_us) => self.read_after(delay_us),
                None => Step::Finished(self.failure_outcome()),
            };
        }
        self.append_or_finish(response.end)
    }

    fn append_or_finish(&mut self, end: Offset) -> Step {
        let (Some(text), Some(service)) = (&self.settings.text, &self.service) else {
            return Step::Finished(PublishOutcome::NotFound { end });
        };
        let revision = self.reader.replay.state().revision(service);
        let current = self.reader.replay.state().documents.get(service);
        if !self.may_be_appended && current.is_some_and(|current| current.text == *text) {
            let service = service.clone();
            return Step::Finished(PublishOutcome::Unchanged { service, revision });
        }
        // Retries keep the base of the first append. A newer base would silently overwrite what
        // another operator has published in the meantime.
        let base = *self.base.get_or_insert(revision);
        let record = Record {
            id: RecordId(self.settings.operation.0 ^ RECORD_ID_MASK),
            writer: self.settings.author.clone(),
            incarnation: Incarnation(0),
            body: RecordBody::Publish {
                operation: self.settings.operation,
                service: service.clone(),
                base,
                document: text.clone(),
            },
        };
        Step::Append {
            record: Box::new(record),
            after_us: SpanUs(0),
        }
    }

    /// Handles the result of an append.
    pub fn on_append(&mut self, outcome: AppendOutcome) -> Step {
        match outcome {
            AppendOutcome::Appended(offset) => {
                self.may_be_appended = true;
                self.appended_offset = Some(offset);
                self.read_after(SpanUs(0))
            }
            AppendOutcome::Unknown => {
                self.may_be_appended = true;
                match self.record_failure() {
                    Some(delay_us) => self.read_after(delay_us),
                    None => Step::Finished(self.failure_outcome()),
                }
            }
            AppendOutcome::Refused => match self.record_failure() {
                Some(delay_us) => self.read_after(delay_us),
                None if self.may_be_appended => Step::Finished(self.failure_outcome()),
                None => Step::Finished(PublishOutcome::Refused),
            },
        }
    }

    /// Counts a failure; returns the delay before the next attempt, or `None` at the limit.
    fn record_failure(&mut self) -> Option<SpanUs> {
        self.failures += 1;
        let doublings = self.failures.saturating_sub(1).min(4);
        let delay_us = SpanUs(self.settings.backoff_us.0 << doublings);
        (self.failures < self.settings.max_failures).then_some(delay_us)
    }

    fn failure_outcome(&self) -> PublishOutcome {
        if self.may_be_appended {
            let base = self.base.unwrap_or_default();
            PublishOutcome::Unknown { base }
        } else {
            PublishOutcome::LogUnreachable
        }
    }
}

/// Describes a verdict in one sentence.
#[must_use]
pub fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision } => format!("accepted as revision {revision}"),
        Verdict::Outrun { revision, author } => {
            format!("outrun by {author}: revision {revision} is in force")
        }
        Verdict::Wrong { detail } => format!("invalid: {detail}"),
    }
}
